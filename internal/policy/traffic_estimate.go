package policy

import "switchfork/internal/stats"

const (
	// trafficMeanWeight is the weight of one request in the moving means.
	trafficMeanWeight = 0.02
	// initialCostShare is the mean cost before the first request, as a share of the longest latency objective.
	initialCostShare = 0.25
	// maxArrivalInterval is an upper bound on each measured time between two requests. It limits the effect of one pause in the
	// traffic.
	maxArrivalInterval = 10 * second
)

// trafficEstimate estimates the cost of a request and the time between two requests, from the requests and results of this
// agent. Slow start, key placement and capacity are scaled by these estimates. The dispatcher updates them.
type trafficEstimate struct {
	meanCost        float64 // in µs; moving mean of the cost hints, or of response times where there is no hint
	arrivalInterval float64 // in µs; moving mean of the time between two requests
	lastArrivalAt   Micros
}

func newTrafficEstimate(classes []RequestClass) *trafficEstimate {
	estimate := &trafficEstimate{}
	for _, class := range classes {
		estimate.meanCost = max(estimate.meanCost, float64(class.LatencyObjective)*initialCostShare)
	}
	return estimate
}

func (t *trafficEstimate) recordCost(cost Micros) {
	t.meanCost = stats.MovingMean(t.meanCost, float64(cost), trafficMeanWeight)
}

func (t *trafficEstimate) recordArrival(acceptedAt Micros) {
	interval := float64(min(acceptedAt-t.lastArrivalAt, maxArrivalInterval))
	t.arrivalInterval = stats.MovingMean(t.arrivalInterval, interval, trafficMeanWeight)
	t.lastArrivalAt = acceptedAt
}

// expectedCost returns a request's cost hint, but at least the mean cost. With hints that are too small, an agent
// would exceed its budget for an endpoint in slow start.
func (t *trafficEstimate) expectedCost(req *request) float64 {
	return max(float64(req.CostHint), t.meanCost)
}
