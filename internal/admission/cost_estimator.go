package admission

import "switchfork/internal/stats"

const (
	// initialCostDivisor of its class's latency objective is a request's cost until some have been measured.
	initialCostDivisor = 8
	// smoothingFactor is the weight of a new sample in an exponentially weighted moving average: it looks back over some
	// fifty requests.
	smoothingFactor = 0.02
	// minHintFraction of its class's mean cost is the least that a cost hint counts for: a client that claims that all its
	// requests are small gains four times its share at the most.
	minHintFraction = 0.25
	// minMeanCost in microseconds keeps a request's cost positive.
	minMeanCost = 1.0
)

const (
	// maxWaitFraction of its latency objective is the longest that a request waits for admission.
	maxWaitFraction = 0.5
	// responseTimeMultiple of the mean response time has to be left of the latency objective after the wait: a request
	// admitted too late is given up after all, having cost an endpoint its work.
	responseTimeMultiple = 3.0
	// minWaitFraction of its latency objective a request may wait however slow responses are.
	minWaitFraction = 0.05
)

// costEstimator estimates the cost of a request, which is the work that it takes an endpoint, in microseconds, and how long it
// may wait: from the cost hints of clients and the response times of admitted requests. Costs are the unit of fair
// queueing, of wait estimates and of reservations. The controller asks it for each arrival and reports each success.
type costEstimator struct {
	classes          []RequestClass
	meanCosts        []float64 // by class
	meanResponseTime float64   // from admission to the answer, in microseconds
}

func newCostEstimator(classes []RequestClass) costEstimator {
	e := costEstimator{classes: classes, meanCosts: make([]float64, len(classes))}
	for i, class := range classes {
		e.meanCosts[i] = float64(class.LatencyObjective) / initialCostDivisor
		e.meanResponseTime = max(e.meanResponseTime, e.meanCosts[i])
	}
	return e
}

// estimate returns the cost that a request is charged: its hint, or else the mean of its class.
func (e *costEstimator) estimate(arrival *Arrival) float64 {
	meanCost := max(e.meanCosts[arrival.Class], minMeanCost)
	if arrival.CostHint > 0 {
		return max(float64(arrival.CostHint), minHintFraction*meanCost)
	}
	return meanCost
}

// maxWait returns how long a request of a class may wait for admission.
func (e *costEstimator) maxWait(class int) Micros {
	objective := float64(e.classes[class].LatencyObjective)
	longest := min(maxWaitFraction*objective, objective-responseTimeMultiple*e.meanResponseTime)
	return Micros(max(minWaitFraction*objective, longest))
}

// recordArrival updates the mean cost of a request's class with its hint, if it has one.
func (e *costEstimator) recordArrival(arrival *Arrival) {
	if arrival.CostHint > 0 {
		e.updateMeanCost(arrival.Class, arrival.CostHint)
	}
}

// recordResponseTime updates the means with a request that succeeded. Its class's mean cost already contains the hint where
// the client gave one.
func (e *costEstimator) recordResponseTime(arrival *Arrival, responseTime Micros) {
	if arrival.CostHint == 0 {
		e.updateMeanCost(arrival.Class, responseTime)
	}
	e.meanResponseTime = stats.MovingMean(e.meanResponseTime, float64(responseTime), smoothingFactor)
}

func (e *costEstimator) updateMeanCost(class int, cost Micros) {
	e.meanCosts[class] = stats.MovingMean(e.meanCosts[class], float64(cost), smoothingFactor)
}
