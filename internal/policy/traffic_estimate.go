package policy

import "switchfork/internal/stats"

const (
	// trafficMeanWeight of one request in the moving means.
	trafficMeanWeight = 0.02
	// initialCostShare of the longest latency objective is the mean cost before the first request.
	initialCostShare = 0.25
	// maxArrivalInterval bounds what one pause in the traffic counts.
	maxArrivalInterval = 10 * second
)

// trafficEstimate estimates what a request costs and how often one arrives, from the requests and results of this agent. Slow
// start, key placement and capacity are scaled by it. The dispatcher feeds it.
type trafficEstimate struct {
	meanCost        float64 // µs: moving mean of the cost hints, or else of answer times
	arrivalInterval float64 // µs: moving mean of the time between two requests
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

// expectedCost is never below the mean: hints that are too small would overfill the budget of an endpoint in slow start.
func (t *trafficEstimate) expectedCost(req *request) float64 {
	return max(float64(req.CostHint), t.meanCost)
}
