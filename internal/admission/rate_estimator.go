package admission

const (
	// throughputWindow is the time over which throughput is measured. It is long enough that single requests don't change the
	// result much, and short enough to follow endpoints that slow down.
	throughputWindow = 1 * second
	// minAdmissionRate, in cost per microsecond, keeps divisions by the rate finite.
	minAdmissionRate = 1e-9
)

// notBacklogged is the value of backloggedSince while no request waits.
const notBacklogged Micros = -1

// rateEstimator estimates the rate at which cost can be admitted. It uses the cost that was admitted over a sliding window, the
// cost in progress, and how long there has been a backlog of waiting requests. The controller reports each admission and each
// finished request, and uses the rate for wait estimates and reservations.
type rateEstimator struct {
	throughput      throughputMeter
	inProgressCost  float64
	backloggedSince Micros // since when at least one request has been waiting, or notBacklogged
}

func newRateEstimator() rateEstimator { return rateEstimator{backloggedSince: notBacklogged} }

// recordAdmission records that a request of the given cost has been admitted.
func (e *rateEstimator) recordAdmission(now Micros, cost float64) {
	e.inProgressCost += cost
	e.throughput.add(now, cost)
}

// recordFinished records that a request of the given cost is no longer in progress.
func (e *rateEstimator) recordFinished(cost float64) { e.inProgressCost -= cost }

// recordBacklog records whether any request is waiting.
func (e *rateEstimator) recordBacklog(now Micros, hasWaiting bool) {
	switch {
	case !hasWaiting:
		e.backloggedSince = notBacklogged
	case e.backloggedSince == notBacklogged:
		e.backloggedSince = now
	}
}

// rate returns the cost per microsecond that can be admitted. If there has been a backlog for a whole window, this is the measured
// throughput. Otherwise less may have been admitted than would have been possible, so the rate is at least the cost in progress
// divided by the mean response time.
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

// throughputMeter measures the admitted cost per microsecond over a sliding window.
type throughputMeter struct {
	updatedAt Micros
	rate      float64
}

func (m *throughputMeter) add(now Micros, cost float64) {
	m.rate = m.rateAt(now) + cost/float64(throughputWindow)
	m.updatedAt = now
}

// rateAt returns the rate at now. Since the last admitted request, the rate has decayed linearly, which is as good as an
// exponential decay over the short time between two requests.
func (m *throughputMeter) rateAt(now Micros) float64 {
	return m.rate * max(0, 1-float64(now-m.updatedAt)/float64(throughputWindow))
}
