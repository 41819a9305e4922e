package admission

import "switchfork/internal/stats"

const (
	// initialCostDivisor divides the latency objective of a class. The quotient is the mean cost of the class until requests of the
	// class have been measured.
	initialCostDivisor = 8
	// smoothingFactor is the weight of a new sample in an exponentially weighted moving average, which therefore covers about the
	// last fifty requests.
	smoothingFactor = 0.02
	// minHintFraction is the lowest cost that a request is charged even if its cost hint is lower, as a fraction of the mean cost
	// of its class. A client that claims that all its requests are small thus gains at most four times its share.
	minHintFraction = 0.25
	// minMeanCost, in microseconds, keeps the cost of a request positive.
	minMeanCost = 1.0
)

const (
	// maxWaitFraction is the longest time that a request may wait for admission, as a fraction of its latency objective.
	maxWaitFraction = 0.5
	// responseTimeMultiple is how much of the latency objective has to remain after the wait, in mean response times. A request
	// that is admitted with less time left is likely to be given up after an endpoint has worked on it.
	responseTimeMultiple = 3.0
	// minWaitFraction is the fraction of its latency objective that a request may always wait, however slow responses are.
	minWaitFraction = 0.05
)

// costEstimator estimates the cost of a request, and how long the request may wait. The cost is the work of an endpoint on the
// request, in microseconds. The estimates are based on the cost hints of clients and on the response times of admitted requests.
// Fair queueing, wait estimates and reservations all count in cost. The controller asks for estimates on each arrival, and
// reports each arrival and each success.
type costEstimator struct {
	classes          []RequestClass
	meanCosts        []float64 // by class
	meanResponseTime float64   // over all classes, from admission to the answer, in microseconds
}

func newCostEstimator(classes []RequestClass) costEstimator {
	e := costEstimator{classes: classes, meanCosts: make([]float64, len(classes))}
	for i, class := range classes {
		e.meanCosts[i] = float64(class.LatencyObjective) / initialCostDivisor
		e.meanResponseTime = max(e.meanResponseTime, e.meanCosts[i])
	}
	return e
}

// estimate returns the cost that a request is charged: its cost hint, or the mean cost of its class if it has none.
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

// recordArrival updates the mean cost of a request's class with the request's cost hint, if there is one.
func (e *costEstimator) recordArrival(arrival *Arrival) {
	if arrival.CostHint > 0 {
		e.updateMeanCost(arrival.Class, arrival.CostHint)
	}
}

// recordResponseTime updates the mean response time, and the mean cost of the request's class, after a request has succeeded. If
// the client gave a cost hint, recordArrival has already updated the mean cost with it.
func (e *costEstimator) recordResponseTime(arrival *Arrival, responseTime Micros) {
	if arrival.CostHint == 0 {
		e.updateMeanCost(arrival.Class, responseTime)
	}
	e.meanResponseTime = stats.MovingMean(e.meanResponseTime, float64(responseTime), smoothingFactor)
}

func (e *costEstimator) updateMeanCost(class int, cost Micros) {
	e.meanCosts[class] = stats.MovingMean(e.meanCosts[class], float64(cost), smoothingFactor)
}
