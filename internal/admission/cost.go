package admission

// The cost of a request is the work that it takes an endpoint, in microseconds. Costs are estimated on arrival and are the
// currency of fair queueing, of wait estimates and of reservations.

const (
	// initialCostDivisor of its class's latency objective is a request's cost until some have been measured.
	initialCostDivisor = 8
	// smoothingFactor is the weight of a new sample in an exponentially weighted moving average: it looks back over some
	// fifty requests.
	smoothingFactor = 0.02
	// minHintFraction of its class's mean cost is the least that a cost hint counts for: a client that claims that all its
	// requests are small gains four times its share at the most.
	minHintFraction = 0.25
	// throughputWindow is long enough that single requests don't move the measured throughput, and short enough to follow
	// endpoints that slow down.
	throughputWindow = 1 * second
	// minAdmissionRate keeps divisions by the rate finite.
	minAdmissionRate = 1e-9
)

const (
	// maxWaitFraction of its latency objective is the longest that a request waits here.
	maxWaitFraction = 0.5
	// responseTimeMultiple of the mean response time has to be left of the latency objective after the wait: a request
	// admitted too late is given up after all, having cost an endpoint its work.
	responseTimeMultiple = 3.0
	// minWaitFraction of its latency objective a request may wait however slow responses are.
	minWaitFraction = 0.05
)

// average moves an exponentially weighted moving average towards a sample.
func average(mean *float64, sample float64) {
	*mean += (sample - *mean) * smoothingFactor
}

// maxWait returns how long a request of a class may wait here.
func (c *Controller) maxWait(class int) Micros {
	objective := float64(c.classes[class].LatencyObjective)
	longest := min(maxWaitFraction*objective, objective-responseTimeMultiple*c.meanResponseTime)
	return Micros(max(minWaitFraction*objective, longest))
}

// estimatedCost returns the cost that a request is charged: its hint, or else the mean of its class.
func (c *Controller) estimatedCost(request *trackedRequest) float64 {
	meanCost := max(c.meanCosts[request.Class], 1)
	if request.CostHint > 0 {
		return max(float64(request.CostHint), minHintFraction*meanCost)
	}
	return meanCost
}

// recordResponseTime updates the averages with a request that succeeded. Its class's mean cost already contains the hint
// where the client gave one.
func (c *Controller) recordResponseTime(request *trackedRequest, responseTime Micros) {
	if request.CostHint == 0 {
		average(&c.meanCosts[request.Class], float64(responseTime))
	}
	average(&c.meanResponseTime, float64(responseTime))
}

// throughputMeter measures the admitted cost a microsecond over a sliding window.
type throughputMeter struct {
	updatedAt Micros
	rate      float64
}

func (m *throughputMeter) add(now Micros, cost float64) {
	m.rate = m.rateAt(now) + cost/float64(throughputWindow)
	m.updatedAt = now
}

// rateAt decays linearly, which between two requests is as good as an exponential.
func (m *throughputMeter) rateAt(now Micros) float64 {
	return m.rate * max(0, 1-float64(now-m.updatedAt)/float64(throughputWindow))
}

// admissionRate returns the cost a microsecond that can be admitted. While requests have waited for a whole window, that is
// what was admitted; before, less was admitted than could have been, and the rate is at least what is in progress over
// the time that it takes.
func (c *Controller) admissionRate() float64 {
	rate := c.throughput.rateAt(c.now)
	if c.backloggedSince < 0 || c.now-c.backloggedSince < throughputWindow {
		rate = max(rate, c.inProgressCost/max(c.meanResponseTime, 1))
	}
	return max(rate, minAdmissionRate)
}
