package admission

import "math"

const (
	// initialAdmissionLimit, in requests, is the limit at the beginning of slow start.
	initialAdmissionLimit = 32
	// slowStartFactor multiplies the limit after each round of slow start in which it was reached.
	slowStartFactor = 2
	// roundInterval is the length of a round. In this time some requests finish even in a small deployment, and the limit reacts
	// to congestion well within any latency objective.
	roundInterval = 100 * millisecond
	// maxRejectedRatio is the highest ratio of rejected to finished requests that does not lower the limit. Single rejections may
	// be due to the requests themselves.
	maxRejectedRatio = 0.1
	// maxDecreaseFraction is the fraction by which the limit decreases if all finished requests were rejected.
	maxDecreaseFraction = 0.3
	// increaseFraction is the fraction by which the limit increases, after slow start, in each round in which it was reached.
	increaseFraction = 0.05
	// headroomFraction is how far the limit may be exceeded for clients that return at their reserved time, as a fraction of the
	// limit.
	headroomFraction = 0.1
	// extraHeadroom, in requests, is added to the headroom that headroomFraction gives, so that two clients can return together even
	// at the smallest limit.
	extraHeadroom = 1
)

// At any time some requests in progress have not been sent: no endpoint that is eligible for them accepts them, a cap on the
// requests to a new build holds them back, or they are on the way between two goroutines. As long as there are unsent requests, the
// dispatcher is not short of requests.
const (
	// unsentFraction is how many requests in progress may be unsent, as a fraction of the limit. It is not a fraction of the
	// requests in progress, because that would reduce the limit to the demand whenever there is little load.
	unsentFraction = 0.05
	// minUnsentAllowance is the number of requests in progress that may be unsent however low the limit is. This many requests are
	// some tens of milliseconds of work for a small deployment. If the allowance were much smaller, a dispatcher that has lowered
	// the limits of all its endpoints would get too few requests to raise them again.
	minUnsentAllowance = 16.0
)

// concurrencyLimit decides how many requests may be in progress, based on how many of them the dispatcher sends. The dispatcher
// limits each endpoint according to its response times, so the number of sent requests is what the endpoints can handle at
// present, at any response time. If more requests stay unsent than the unsent allowance, the limit is too high. A limit based on
// response times alone would mistake endpoints that slow down for a growing queue, and would give them too few requests.
//
// The limit is adjusted once per round. In slow start it doubles in each round in which it was reached, until a round shows that
// the limit is too high. After that the limit increases by a small fraction per round. The controller checks the limit before
// each admission, and reports what happens to each request in progress.
type concurrencyLimit struct {
	current     float64
	ceiling     float64
	inSlowStart bool

	inProgress int
	sent       int    // requests in progress that the dispatcher has sent to an endpoint
	updatedAt  Micros // time of the last update of round.unsentTime

	round limitRound
}

// limitRound holds the measurements since the start of a round.
type limitRound struct {
	start          Micros
	finishedCount  int
	rejectedCount  float64 // sent requests that were rejected
	unsentTime     float64 // integral over time of the number of unsent requests in progress, in request-microseconds
	peakSent       int
	peakInProgress int
	wasReached     bool // the limit was reached
}

func newConcurrencyLimit(ceiling float64) concurrencyLimit {
	return concurrencyLimit{current: min(initialAdmissionLimit, ceiling), ceiling: ceiling, inSlowStart: true}
}

// value returns the number of requests that may be in progress.
func (l *concurrencyLimit) value() int {
	return int(max(1, min(l.current, l.ceiling)))
}

// hasCapacity reports whether one more request may be in progress.
func (l *concurrencyLimit) hasCapacity() bool { return l.inProgress < l.value() }

// hasReservedCapacity reports whether one more request with a reservation may be in progress.
func (l *concurrencyLimit) hasReservedCapacity() bool {
	headroom := extraHeadroom + int(math.Ceil(headroomFraction*l.current))
	return l.inProgress < l.value()+headroom
}

// recordAdmission records that a request has been admitted and is now in progress.
func (l *concurrencyLimit) recordAdmission(now Micros) { l.observe(now, l.inProgress+1, l.sent) }

// recordSent records that the dispatcher has sent a request in progress to an endpoint.
func (l *concurrencyLimit) recordSent(now Micros) { l.observe(now, l.inProgress, l.sent+1) }

// recordFinished records that a request is no longer in progress. A request that was sent and finally rejected has met endpoints
// that are at their limits, so it counts as a rejection. A request that was rejected unsent does not count. If it waited unsent,
// unsentTime already contains this wait. If it arrived too late to be worth sending, it says nothing about the limit: if such
// requests counted as rejections, late retries would lower the limit for all requests.
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

// observe sets the number of requests in progress, and how many of them have been sent. It first adds the time since the last
// update to unsentTime.
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

// tick adjusts the limit if the round has lasted for roundInterval. Without tick, a round in which no request finishes would not
// end. If requests are waiting, the limit counts as reached in this round.
func (l *concurrencyLimit) tick(now Micros, hasWaiting bool) {
	l.round.wasReached = l.round.wasReached || hasWaiting
	l.adjust(now)
}

// adjust adjusts the limit and starts the next round, if the current round has lasted for roundInterval.
func (l *concurrencyLimit) adjust(now Micros) {
	elapsed := now - l.round.start
	if elapsed < roundInterval {
		return
	}
	l.observe(now, l.inProgress, l.sent)
	unsentAllowance := max(minUnsentAllowance, unsentFraction*l.current)
	switch {
	case l.round.unsentTime > unsentAllowance*float64(elapsed):
		// The round's largest number of sent requests, plus the allowance, is at least what the endpoints can handle.
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

// increased returns the limit after a round in which it was reached and was not too high.
func (l *concurrencyLimit) increased() float64 {
	if l.inSlowStart {
		return slowStartFactor * l.current
	}
	return l.current + max(1, increaseFraction*l.current)
}

// rejectedRatio returns the ratio of rejected to finished requests.
func (r *limitRound) rejectedRatio() float64 {
	return min(1, r.rejectedCount/max(1, float64(r.finishedCount)))
}
