package admission

import "math"

// This file owns how many txns may be in at a time. It is learned, and from what the module does with them: what it has
// out is what the fleet takes now, quick or slow, as it holds each appliance to what its answer times allow; what it keeps
// without a way is too many, and there the dearest goes first, whoever sent it. Answer times alone would take a fleet that
// slows down for a queue, and starve it. Between the rounds the limit stands.
type concurrencyLimit struct {
	current, ceiling float64
	inSlowStart      bool // nothing has been too much yet: it doubles
	roundStart       Micros
	finishedCount    int
	rejectedCount    float64
	updatedAt        Micros
	unsentTime       float64 // txns in without a way, times microseconds
	inProgress, sent int
	peakSent         int
	peakInProgress   int  // the most that were in
	wasReached       bool // the limit stood in the way
}

const (
	// initialLimit: doubled each round until it is too much, so that its size matters for some tenths of a second only.
	initialLimit = 32
	// roundInterval: some answers fall into it in a small fleet, and a jam is answered well inside any SLA time.
	roundInterval = 100 * millisecond
	// unsentFraction of the limit, and keptLeast at the least, may be without a way: some always are (their group, their build's
	// cap, on the way between two actors), and what is over shows that the module is never short of txns. Taken of those
	// in, quiet moments would bring the limit down to what they need. So many are worth some tens of milliseconds of a small
	// fleet; with two, a module that had drawn all its appliances' limits down found too few txns to raise them by again.
	unsentFraction, minUnsentAllowance = 0.05, 16.0
	// maxRejectedRatio of the answers being declines is too much; one at a time may be the txn's own.
	maxRejectedRatio = 0.1
	// maxDecreaseFraction of the limit goes when all are declined; growPart is added a round while it is wanted.
	maxDecreaseFraction, increaseFraction = 0.3, 0.05
	// headroomFraction of the limit is kept beside it for those who come back at the time they were told.
	headroomFraction = 0.1
)

func newConcurrencyLimit(ceiling float64) concurrencyLimit {
	return concurrencyLimit{current: min(initialLimit, ceiling), ceiling: ceiling, inSlowStart: true}
}

func (l *concurrencyLimit) value() int { return int(max(1, min(l.current, l.ceiling))) }

func (l *concurrencyLimit) reservationHeadroom() int {
	return 1 + int(math.Ceil(headroomFraction*l.current))
}

// observe: so many are in from now on, and so many of them have been sent.
func (l *concurrencyLimit) observe(now Micros, inProgress, sent int) {
	span := float64(now - l.updatedAt)
	l.unsentTime += span * float64(l.inProgress-l.sent)
	l.updatedAt, l.inProgress, l.sent = now, inProgress, sent
	l.peakInProgress, l.peakSent = max(l.peakInProgress, inProgress), max(l.peakSent, sent)
	l.wasReached = l.wasReached || inProgress >= l.value()
}

// recordFinished: a txn is out again. One that was sent and declined in the end was turned off by appliances that are full. One that
// the module declined without sending it was kept, which counts by its time, or came too late to be of worth, which says
// nothing of the limit: counted as too much, late next tries shut the door for all.
func (l *concurrencyLimit) recordFinished(now Micros, result Result, sent bool) {
	l.finishedCount++
	if result == Rejected && sent {
		l.rejectedCount++
	}
	l.closeRound(now)
}

// tick closes a round in which nothing ended.
func (l *concurrencyLimit) tick(now Micros, hasWaiting bool) {
	l.wasReached = l.wasReached || hasWaiting
	l.closeRound(now)
}

func (l *concurrencyLimit) closeRound(now Micros) {
	span := now - l.roundStart
	if span < roundInterval {
		return
	}
	l.observe(now, l.inProgress, l.sent)
	allowance := max(minUnsentAllowance, unsentFraction*l.current)
	rejectedRatio := min(1, l.rejectedCount/max(1, float64(l.finishedCount)))
	switch {
	case l.unsentTime > allowance*float64(span):
		// What it had out at the most, and what it may keep beside it: never less than the fleet takes.
		l.current, l.inSlowStart = min(l.current, float64(l.peakSent)+allowance), false
	case l.rejectedCount > 0 && rejectedRatio > maxRejectedRatio:
		l.current, l.inSlowStart = max(1, min(l.current, float64(l.peakInProgress))*(1-maxDecreaseFraction*rejectedRatio)), false
	case l.wasReached && l.finishedCount > 0 && l.inSlowStart:
		l.current = min(l.ceiling, 2*l.current)
	case l.wasReached && l.finishedCount > 0:
		l.current = min(l.ceiling, l.current+max(1, increaseFraction*l.current))
	}
	l.roundStart, l.finishedCount, l.rejectedCount, l.unsentTime, l.peakInProgress, l.peakSent, l.wasReached = now, 0, 0, 0, l.inProgress, l.sent, false
}
