package admission

const (
	// throughputWindow is long enough that single requests don't move the measured throughput, and short enough to follow
	// endpoints that slow down.
	throughputWindow = 1 * second
	// minAdmissionRate, in cost a microsecond, keeps divisions by the rate finite.
	minAdmissionRate = 1e-9
)

// notBacklogged is the value of backloggedSince while no request waits.
const notBacklogged Micros = -1

// rateEstimator estimates at what rate cost can be admitted: from the cost that was admitted over a sliding window, the cost in
// progress, and for how long requests have been waiting. The controller reports each admission and each end of a request, and
// uses the rate for wait estimates and reservations.
type rateEstimator struct {
	throughput      throughputMeter
	inProgressCost  float64
	backloggedSince Micros // start of the time for which requests have been waiting
}

func newRateEstimator() rateEstimator { return rateEstimator{backloggedSince: notBacklogged} }

// recordAdmission records that a request of the given cost is in progress from now on.
func (e *rateEstimator) recordAdmission(now Micros, cost float64) {
	e.inProgressCost += cost
	e.throughput.add(now, cost)
}

// recordFinished records that a request of the given cost is no longer in progress.
func (e *rateEstimator) recordFinished(cost float64) { e.inProgressCost -= cost }

// recordBacklog records whether requests wait from now on.
func (e *rateEstimator) recordBacklog(now Micros, hasWaiting bool) {
	switch {
	case !hasWaiting:
		e.backloggedSince = notBacklogged
	case e.backloggedSince == notBacklogged:
		e.backloggedSince = now
	}
}

// rate returns the cost a microsecond that can be admitted. While requests have waited for a whole window, that is what was
// admitted; before, less was admitted than could have been, and the rate is at least what is in progress over the time
// that it takes.
func (e *rateEstimator) rate(now Micros, meanResponseTime float64) float64 {
	rate := e.throughput.rateAt(now)
	if !e.isBackloggedForWindow(now) {
		rate = max(rate, e.inProgressCost/max(meanResponseTime, 1))
	}
	return max(rate, minAdmissionRate)
}

func (e *rateEstimator) isBackloggedForWindow(now Micros) bool {
	return e.backloggedSince != notBacklogged && now-e.backloggedSince >= throughputWindow
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
