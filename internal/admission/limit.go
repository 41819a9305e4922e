package admission

import "math"

// This file owns how many txns may be in at a time. It is learned, and from what the module does with them: what it has
// out is what the fleet takes now, quick or slow, as it holds each appliance to what its answer times allow; what it keeps
// without a way is too many, and there the dearest goes first, whoever sent it. Answer times alone would take a fleet that
// slows down for a queue, and starve it. Between the rounds the limit stands.
type limit struct {
	now, cap float64
	quick    bool // nothing has been too much yet: it doubles
	roundAt  Micros
	ends     int
	bad      float64
	seenAt   Micros
	kept     float64 // txns in without a way, times microseconds
	in, out  int
	outMost  int
	peak     int  // the most that were in
	reached  bool // the limit stood in the way
}

const (
	// firstLimit: doubled each round until it is too much, so that its size matters for some tenths of a second only.
	firstLimit = 32
	// roundEvery: some answers fall into it in a small fleet, and a jam is answered well inside any SLA time.
	roundEvery = 100 * ms
	// keptPart of the limit, and keptLeast at the least, may be without a way: some always are (their group, their build's
	// cap, on the way between two actors), and what is over shows that the module is never short of txns. Taken of those
	// in, quiet moments would bring the limit down to what they need. So many are worth some tens of milliseconds of a small
	// fleet; with two, a module that had drawn all its appliances' limits down found too few txns to raise them by again.
	keptPart, keptLeast = 0.05, 16.0
	// declinedPart of the answers being declines is too much; one at a time may be the txn's own.
	declinedPart = 0.1
	// cutMost of the limit goes when all are declined; growPart is added a round while it is wanted.
	cutMost, growPart = 0.3, 0.05
	// reservePart of the limit is kept beside it for those who come back at the time they were told.
	reservePart = 0.1
)

func newLimit(cap float64) limit { return limit{now: min(firstLimit, cap), cap: cap, quick: true} }

func (l *limit) most() int { return int(max(1, min(l.now, l.cap))) }

func (l *limit) reserve() int { return 1 + int(math.Ceil(reservePart*l.now)) }

// moved: so many are in from now on, and so many of them have been sent.
func (l *limit) moved(now Micros, in, out int) {
	span := float64(now - l.seenAt)
	l.kept += span * float64(l.in-l.out)
	l.seenAt, l.in, l.out = now, in, out
	l.peak, l.outMost = max(l.peak, in), max(l.outMost, out)
	l.reached = l.reached || in >= l.most()
}

// ended: a txn is out again. One that was sent and declined in the end was turned off by appliances that are full. One that
// the module declined without sending it was kept, which counts by its time, or came too late to be of worth, which says
// nothing of the limit: counted as too much, late next tries shut the door for all.
func (l *limit) ended(now Micros, how Result, sent bool) {
	l.ends++
	if how == Rejected && sent {
		l.bad++
	}
	l.round(now)
}

// tick closes a round in which nothing ended.
func (l *limit) tick(now Micros, waits bool) {
	l.reached = l.reached || waits
	l.round(now)
}

func (l *limit) round(now Micros) {
	span := now - l.roundAt
	if span < roundEvery {
		return
	}
	l.moved(now, l.in, l.out)
	over := max(keptLeast, keptPart*l.now)
	declined := min(1, l.bad/max(1, float64(l.ends)))
	switch {
	case l.kept > over*float64(span):
		// What it had out at the most, and what it may keep beside it: never less than the fleet takes.
		l.now, l.quick = min(l.now, float64(l.outMost)+over), false
	case l.bad > 0 && declined > declinedPart:
		l.now, l.quick = max(1, min(l.now, float64(l.peak))*(1-cutMost*declined)), false
	case l.reached && l.ends > 0 && l.quick:
		l.now = min(l.cap, 2*l.now)
	case l.reached && l.ends > 0:
		l.now = min(l.cap, l.now+max(1, growPart*l.now))
	}
	l.roundAt, l.ends, l.bad, l.kept, l.peak, l.outMost, l.reached = now, 0, 0, 0, l.in, l.out, false
}
