package admission

import "math"

// concurrencyLimit is the adaptive limit on the number of requests in progress. It is learned from what the dispatcher does
// with them. The requests that it has sent are what the endpoints take now, at whatever response time, as it holds each
// endpoint to what its response times allow. Requests that it cannot send are too many. Response times alone would
// mistake endpoints that slow down for a queue that builds up, and starve them.
//
// The limit changes once a round and stands in between. It doubles each round in slow start, until a round shows that it is
// too high; from then on it increases by a small fraction.
type concurrencyLimit struct {
	current     float64
	ceiling     float64
	inSlowStart bool

	inProgress int
	sent       int
	updatedAt  Micros // when inProgress and sent last changed

	// Measured since the start of the round.
	roundStart     Micros
	finishedCount  int
	rejectedCount  float64
	unsentTime     float64 // requests in progress that were not sent, times microseconds
	peakSent       int
	peakInProgress int
	wasReached     bool
}

const (
	// initialLimit is doubled each round until it is too high, so its size matters for some tenths of a second only.
	initialLimit = 32
	// roundInterval lets some requests finish in each round even of a small deployment, and reacts to congestion well inside any
	// latency objective.
	roundInterval = 100 * millisecond
	// unsentFraction of the limit, and no less than minUnsentAllowance requests, may be in progress without having been sent. Some
	// always are (no endpoint in their group, a cap on a release's traffic, on the way between two goroutines), and the
	// surplus shows that the dispatcher is never short of requests. As a fraction of the requests in progress instead, the
	// allowance would bring the limit down to the demand in quiet times. The least allowance amounts to some tens of
	// milliseconds of a small deployment's work; with two, a dispatcher that had lowered all its endpoints' limits was
	// given too few requests to raise them by again.
	unsentFraction     = 0.05
	minUnsentAllowance = 16.0
	// maxRejectedRatio of the finished requests may have been rejected by endpoints; single rejections may be due to the request.
	maxRejectedRatio = 0.1
	// maxDecreaseFraction of the limit is taken away when all finished requests were rejected.
	maxDecreaseFraction = 0.3
	// increaseFraction is added to the limit in a round in which it was reached.
	increaseFraction = 0.05
	// headroomFraction of the limit is available on top of it to clients that return at their reserved time.
	headroomFraction = 0.1
)

func newConcurrencyLimit(ceiling float64) concurrencyLimit {
	return concurrencyLimit{current: min(initialLimit, ceiling), ceiling: ceiling, inSlowStart: true}
}

// value returns the number of requests that may be in progress.
func (l *concurrencyLimit) value() int {
	return int(max(1, min(l.current, l.ceiling)))
}

// reservationHeadroom returns how many more requests with a reservation may be in progress.
func (l *concurrencyLimit) reservationHeadroom() int {
	return 1 + int(math.Ceil(headroomFraction*l.current))
}

// observe records how many requests are in progress from now on, and how many of them have been sent.
func (l *concurrencyLimit) observe(now Micros, inProgress, sent int) {
	elapsed := float64(now - l.updatedAt)
	l.unsentTime += elapsed * float64(l.inProgress-l.sent)
	l.updatedAt, l.inProgress, l.sent = now, inProgress, sent
	l.peakInProgress = max(l.peakInProgress, inProgress)
	l.peakSent = max(l.peakSent, sent)
	l.wasReached = l.wasReached || inProgress >= l.value()
}

// recordFinished records that a request is no longer in progress. A request that was sent and rejected in the end met
// endpoints that are at their limits. One that the dispatcher rejected without sending it was either held unsent, which
// counts by its time, or arrived too late to be worth sending, which says nothing about the limit: counted as a rejection,
// late retries would lower the limit for everyone.
func (l *concurrencyLimit) recordFinished(now Micros, result Result, isSent bool) {
	l.finishedCount++
	if result == Rejected && isSent {
		l.rejectedCount++
	}
	l.adjust(now)
}

// tick closes a round in which no request finished.
func (l *concurrencyLimit) tick(now Micros, hasWaiting bool) {
	l.wasReached = l.wasReached || hasWaiting
	l.adjust(now)
}

// adjust changes the limit where the round is over, and starts the next one.
func (l *concurrencyLimit) adjust(now Micros) {
	elapsed := now - l.roundStart
	if elapsed < roundInterval {
		return
	}
	l.observe(now, l.inProgress, l.sent)
	unsentAllowance := max(minUnsentAllowance, unsentFraction*l.current)
	rejectedRatio := min(1, l.rejectedCount/max(1, float64(l.finishedCount)))
	switch {
	case l.unsentTime > unsentAllowance*float64(elapsed):
		// The most that it had sent and the allowance beside it: never less than the endpoints take.
		l.current = min(l.current, float64(l.peakSent)+unsentAllowance)
		l.inSlowStart = false
	case l.rejectedCount > 0 && rejectedRatio > maxRejectedRatio:
		l.current = max(1, min(l.current, float64(l.peakInProgress))*(1-maxDecreaseFraction*rejectedRatio))
		l.inSlowStart = false
	case l.wasReached && l.finishedCount > 0 && l.inSlowStart:
		l.current = min(l.ceiling, 2*l.current)
	case l.wasReached && l.finishedCount > 0:
		l.current = min(l.ceiling, l.current+max(1, increaseFraction*l.current))
	}
	l.startRound(now)
}

func (l *concurrencyLimit) startRound(now Micros) {
	l.roundStart = now
	l.finishedCount = 0
	l.rejectedCount = 0
	l.unsentTime = 0
	l.peakInProgress = l.inProgress
	l.peakSent = l.sent
	l.wasReached = false
}
