package policy

import "switchfork/internal/stats"

const (
	endpointReportWeight = 0.1  // of one load report in the moving means of its endpoint
	fleetReportWeight    = 0.01 // of one load report in the mean over all endpoints
	minUtilization       = 0.15 // of an endpoint, for its report to tell the capacity
	maxCapacityRatio     = 3.0  // of the capacity that reports give an endpoint, to the mean of all
	minCapacity          = 1e-9 // so that it can be divided by
)

// capacity decides how much of the traffic an endpoint gets, in requests a second or the list's own unit: the configured
// weight, or else what load reports show, times the warm-up factor.
func (e *endpointRecord) capacity() float64 {
	capacity := e.Weight
	if mean := e.endpoints.meanCapacity; !e.endpoints.hasWeights && mean > 0 {
		capacity = e.load.capacity(mean)
	}
	return max(capacity, minCapacity) * e.warmUpFactor()
}

// recordLoad learns the capacity of a warm endpoint from a load report.
func (e *endpointRecord) recordLoad(load []float32, format LoadReportFormat) {
	utilization, rate, isReported := format.read(load)
	if !isReported || e.isWarmingUp() {
		return
	}
	e.load.add(utilization, rate)
	if utilization >= minUtilization {
		e.endpoints.updateMeanCapacity(rate / utilization)
	}
}

// loadAverage is what an endpoint's load reports show: moving means, while it is warm.
type loadAverage struct {
	rate        float64 // requests a second
	utilization float64
}

func (a *loadAverage) add(utilization, rate float64) {
	a.rate = stats.MovingMean(a.rate, rate, endpointReportWeight)
	a.utilization = stats.MovingMean(a.utilization, utilization, endpointReportWeight)
}

// capacity is the rate that the endpoint serves, by how busy that makes it, within bounds around the mean of all.
func (a *loadAverage) capacity(mean float64) float64 {
	if a.utilization < minUtilization {
		return mean
	}
	shown := a.rate / a.utilization
	return min(max(shown, mean/maxCapacityRatio), mean*maxCapacityRatio)
}

// updateMeanCapacity adds one sample to the mean, which begins with the first one.
func (s *endpointSet) updateMeanCapacity(capacity float64) {
	if s.meanCapacity == 0 {
		s.meanCapacity = capacity
	}
	s.meanCapacity = stats.MovingMean(s.meanCapacity, capacity, fleetReportWeight)
}

// updateWarmConcurrency estimates by Little's law how many requests a warm endpoint serves at one time. The mean cost is in µs.
func (s *endpointSet) updateWarmConcurrency(meanCost float64) {
	s.warmConcurrency = max(1, s.meanCapacity*meanCost/float64(second))
}
