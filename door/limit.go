package door

import "math"

// This file owns how many txns may be in at a time. It is learned, and from what the module does with them: one that
// finds no way for a txn at once, or none at all, has been given too many. The module itself holds each appliance to what
// its answer times allow, so its waits say how much the fleet takes now, quick or slow; answer times alone would take a
// fleet that slows down for a queue, and starve it. Between the rounds the limit stands.
type limit struct {
	now, cap float64
	quick    bool // nothing has been too much yet: it doubles
	roundAt  Micros
	ends     int
	bad      float64
	work     float64 // what an answer takes, from the module's sending on
	peak     int     // the most that were in
	reached  bool    // the limit stood in the way
}

const (
	// firstLimit: doubled each round until it is too much, so that its size matters for some tenths of a second only.
	firstLimit = 32
	// roundEvery: some answers fall into it in a small fleet, and a jam is answered well inside any SLA time.
	roundEvery = 100 * ms
	// heldPart of what an answer takes, and heldLeast at the least: a txn that finds no way for so long is a sign that too
	// many are in. jamShare of such signs is too much; one at a time may be the txn's own (its group, its build's cap).
	heldPart, heldLeast, jamShare = 0.5, 5 * ms, 0.1
	// workFade: what an answer takes, over some fifty of them.
	workFade = 0.02
	// cutMost of the limit goes when all signs are bad; growPart is added a round while it is wanted.
	cutMost, growPart = 0.3, 0.05
	// reservePart of the limit is kept beside it for those who come back at the time they were told.
	reservePart = 0.1
)

func newLimit(cap float64) limit { return limit{now: min(firstLimit, cap), cap: cap, quick: true} }

func (l *limit) most() int { return int(max(1, min(l.now, l.cap))) }

func (l *limit) reserve() int { return 1 + int(math.Ceil(reservePart*l.now)) }

// sent: the module has found a way after some time.
func (l *limit) sent(waited Micros, in int) {
	if float64(waited) > max(float64(heldLeast), heldPart*l.work) {
		l.bad++
	}
	l.seen(in)
}

// ended: a txn is out again.
func (l *limit) ended(now, took Micros, how How, sent bool, in int) {
	l.ends++
	if how == Settled {
		l.work += (float64(took) - l.work) * workFade
	}
	if !sent && how != Left && how != Settled {
		l.bad++
	}
	l.seen(in)
	l.round(now)
}

func (l *limit) seen(in int) {
	l.peak = max(l.peak, in)
	l.reached = l.reached || in >= l.most()
}

// tick closes a round in which nothing ended.
func (l *limit) tick(now Micros, waits bool, in int) {
	l.reached = l.reached || waits
	l.peak = max(l.peak, in)
	l.round(now)
}

func (l *limit) round(now Micros) {
	if now-l.roundAt < roundEvery {
		return
	}
	share := min(1, l.bad/max(1, float64(l.ends)))
	switch {
	case l.bad > 0 && share > jamShare:
		l.now = max(1, min(l.now, float64(l.peak))*(1-cutMost*share))
		l.quick = false
	case l.reached && l.ends > 0 && l.quick:
		l.now = min(l.cap, 2*l.now)
	case l.reached && l.ends > 0:
		l.now = min(l.cap, l.now+max(1, growPart*l.now))
	}
	l.roundAt, l.ends, l.bad, l.peak, l.reached = now, 0, 0, 0, false
}
