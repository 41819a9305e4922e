package admission

import "math"

const (
	// initialAdmissionLimit, in requests, is where slow start begins.
	initialAdmissionLimit = 32
	// slowStartFactor multiplies the limit in a round of slow start in which it was reached.
	slowStartFactor = 2
	// roundInterval lets some requests finish in each round even of a small deployment, and reacts to congestion well inside any
	// latency objective.
	roundInterval = 100 * millisecond
	// maxRejectedRatio of the finished requests may have been rejected by endpoints; single rejections may be due to the request.
	maxRejectedRatio = 0.1
	// maxDecreaseFraction of the limit is taken away when all finished requests were rejected.
	maxDecreaseFraction = 0.3
	// increaseFraction is added to the limit in a round in which it was reached.
	increaseFraction = 0.05
	// headroomFraction of the limit is available on top of it to clients that return at their reserved time.
	headroomFraction = 0.1
	// extraHeadroom, in requests, comes on top, so that the smallest limit, too, has room for two clients that return together.
	extraHeadroom = 1
)

// Some requests in progress have always not been sent: no endpoint in their group takes them, a cap on a release's traffic
// holds them, or they are on the way between two goroutines. The surplus shows that the dispatcher is never short of requests.
const (
	// unsentFraction of the limit may be in progress without having been sent. As a fraction of the requests in progress
	// instead, it would bring the limit down to the demand while there is little load.
	unsentFraction = 0.05
	// minUnsentAllowance, in requests, is the least number that may be: some tens of milliseconds of a small deployment's work.
	// With hardly any, a dispatcher that had lowered all its endpoints' limits would be given too few requests to raise them again.
	minUnsentAllowance = 16.0
)

// concurrencyLimit decides how many requests may be in progress, from what the dispatcher does with them. The requests that it
// has sent are what the endpoints take now, at whatever response time, as it holds each endpoint to what its response times
// allow. Requests that it cannot send are too many. Response times alone would mistake endpoints that slow down for a
// queue that builds up, and starve them.
//
// The limit changes once a round and stands in between. It doubles each round in slow start, until a round shows that it is
// too high; from then on it increases by a small fraction. The controller asks it before each admission, and reports
// what happens to each request in progress.
type concurrencyLimit struct {
	current     float64
	ceiling     float64
	inSlowStart bool

	inProgress int
	sent       int    // requests in progress that the dispatcher has sent to an endpoint
	updatedAt  Micros // when inProgress and sent last changed

	round limitRound
}

// limitRound is what was measured since the start of a round.
type limitRound struct {
	start          Micros
	finishedCount  int
	rejectedCount  float64
	unsentTime     float64 // requests in progress that were not sent, times microseconds
	peakSent       int
	peakInProgress int
	wasReached     bool
}

func newConcurrencyLimit(ceiling float64) concurrencyLimit {
	return concurrencyLimit{current: min(initialAdmissionLimit, ceiling), ceiling: ceiling, inSlowStart: true}
}

// value returns the number of requests that may be in progress.
func (l *concurrencyLimit) value() int {
	return int(max(1, min(l.current, l.ceiling)))
}

// hasCapacity returns whether one more request may be in progress.
func (l *concurrencyLimit) hasCapacity() bool { return l.inProgress < l.value() }

// hasReservedCapacity returns whether one more request with a reservation may be in progress.
func (l *concurrencyLimit) hasReservedCapacity() bool {
	headroom := extraHeadroom + int(math.Ceil(headroomFraction*l.current))
	return l.inProgress < l.value()+headroom
}

// recordAdmission records that one more request is in progress.
func (l *concurrencyLimit) recordAdmission(now Micros) { l.observe(now, l.inProgress+1, l.sent) }

// recordSent records that the dispatcher has sent a request in progress to an endpoint.
func (l *concurrencyLimit) recordSent(now Micros) { l.observe(now, l.inProgress, l.sent+1) }

// recordFinished records that a request is no longer in progress. A request that was sent and rejected in the end met
// endpoints that are at their limits. One that the dispatcher rejected without sending it either waited unsent, which
// counts by its time, or arrived too late to be worth sending, which says nothing about the limit: counted as a rejection,
// late retries would lower the limit for everyone.
func (l *concurrencyLimit) recordFinished(now Micros, result Result, isSent bool) {
	if isSent {
		l.observe(now, l.inProgress-1, l.sent-1)
	} else {
		l.observe(now, l.inProgress-1, l.sent)
	}
	l.round.finishedCount++
	if result == Rejected && isSent {
		l.round.rejectedCount++
	}
	l.adjust(now)
}

// observe records how many requests are in progress from now on, and how many of them have been sent.
func (l *concurrencyLimit) observe(now Micros, inProgress, sent int) {
	elapsed := float64(now - l.updatedAt)
	l.round.unsentTime += elapsed * float64(l.inProgress-l.sent)
	l.updatedAt = now
	l.inProgress = inProgress
	l.sent = sent
	l.round.peakInProgress = max(l.round.peakInProgress, inProgress)
	l.round.peakSent = max(l.round.peakSent, sent)
	l.round.wasReached = l.round.wasReached || inProgress >= l.value()
}

// tick closes a round in which no request finished.
func (l *concurrencyLimit) tick(now Micros, hasWaiting bool) {
	l.round.wasReached = l.round.wasReached || hasWaiting
	l.adjust(now)
}

// adjust changes the limit where the round is over, and starts the next one.
func (l *concurrencyLimit) adjust(now Micros) {
	elapsed := now - l.round.start
	if elapsed < roundInterval {
		return
	}
	l.observe(now, l.inProgress, l.sent)
	unsentAllowance := max(minUnsentAllowance, unsentFraction*l.current)
	switch {
	case l.round.unsentTime > unsentAllowance*float64(elapsed):
		// The most that it had sent and the allowance beside it: never less than the endpoints take.
		l.current = min(l.current, float64(l.round.peakSent)+unsentAllowance)
		l.inSlowStart = false
	case l.round.rejectedRatio() > maxRejectedRatio:
		decrease := 1 - maxDecreaseFraction*l.round.rejectedRatio()
		l.current = max(1, min(l.current, float64(l.round.peakInProgress))*decrease)
		l.inSlowStart = false
	case l.round.wasReached && l.round.finishedCount > 0:
		l.current = min(l.ceiling, l.increased())
	}
	l.round = limitRound{start: now, peakInProgress: l.inProgress, peakSent: l.sent}
}

// increased returns the limit after a round in which it was reached and not too high.
func (l *concurrencyLimit) increased() float64 {
	if l.inSlowStart {
		return slowStartFactor * l.current
	}
	return l.current + max(1, increaseFraction*l.current)
}

// rejectedRatio returns the part of the finished requests that was rejected.
func (r *limitRound) rejectedRatio() float64 {
	return min(1, r.rejectedCount/max(1, float64(r.finishedCount)))
}
