package policy

import "switchfork/internal/stats"

const (
	endpointReportWeight = 0.1  // weight of one load report in the moving means of its endpoint
	fleetReportWeight    = 0.01 // weight of one load report in the mean over all endpoints
	minUtilization       = 0.15 // lowest utilization at which a load report shows the capacity
	maxCapacityRatio     = 3.0  // highest ratio of an endpoint's reported capacity to the mean of all; the lowest is its inverse
	minCapacity          = 1e-9 // avoids a division by 0
)

// capacity returns the capacity of an endpoint, by which traffic is distributed. It is the endpoint's weight in the list or, if
// the list gives no weights, the requests per second that load reports show. Both are multiplied by the warm-up factor.
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

// loadAverage holds the moving means of the load reports that an endpoint sends while it is warm.
type loadAverage struct {
	rate        float64 // requests per second
	utilization float64
}

func (a *loadAverage) add(utilization, rate float64) {
	a.rate = stats.MovingMean(a.rate, rate, endpointReportWeight)
	a.utilization = stats.MovingMean(a.utilization, utilization, endpointReportWeight)
}

// capacity returns the rate that the endpoint could serve at full utilization, bounded by maxCapacityRatio. mean is the mean
// capacity of all endpoints; capacity returns mean itself if the utilization is too low to tell.
func (a *loadAverage) capacity(mean float64) float64 {
	if a.utilization < minUtilization {
		return mean
	}
	estimate := a.rate / a.utilization
	return min(max(estimate, mean/maxCapacityRatio), mean*maxCapacityRatio)
}

// updateMeanCapacity adds one sample to meanCapacity, which starts at the first sample.
func (s *endpointSet) updateMeanCapacity(capacity float64) {
	if s.meanCapacity == 0 {
		s.meanCapacity = capacity
	}
	s.meanCapacity = stats.MovingMean(s.meanCapacity, capacity, fleetReportWeight)
}

// updateWarmConcurrency estimates by Little's law how many requests a warm endpoint serves concurrently. meanCost is in µs.
func (s *endpointSet) updateWarmConcurrency(meanCost float64) {
	s.warmConcurrency = max(1, s.meanCapacity*meanCost/float64(second))
}
