// Package backoff decides when a call that failed is made again. It is for the calls that all agents make alike, to
// discovery and the launcher: what one agent repeats without harm, many in step make a storm of, which keeps a party
// down that would long be back (a metastable overload). It does no I/O and reads no clock.
package backoff

import "math/rand"

// Micros is a span in whole microseconds.
type Micros = int64

// Reason is why a call brought nothing.
type Reason int

const (
	Unreachable Reason = iota // the connection broke, was refused or was silent: the party may be back at once
	Overloaded                // the party said that it has too much to do
)

const (
	// minReconnectDelay doubles up to soonMost after a break: a party that is back is found at once, and what it tells binds.
	minReconnectDelay, maxReconnectDelay Micros = 50_000, 800_000
	// jitterMultiplier is the usual figure of decorrelated jitter: the next wait is drawn from the first up to three last ones.
	jitterMultiplier = 3
	// defaultMinOverloadDelay and fullMost are the least and the most wait after a party's word that it is full, where no time is told
	// in which to ask. Else it is that time, and firstPart of it: a call that ran out of time there may still be worked
	// on, so that asking sooner only fills the queue with calls that nobody waits for.
	defaultMinOverloadDelay, defaultMaxOverloadDelay Micros = 400_000, 3_200_000
	minDelayDivisor                                         = 4
	// startSpacing spreads the first calls of agents that start together: the order of what one costs a small service.
	startSpacing Micros = 60_000
)

// Backoff keeps one caller's waits.
type Backoff struct {
	random                             *rand.Rand
	hasMaxDelay                        bool
	minOverloadDelay, maxOverloadDelay Micros // after Full
	unreachableCount                   int    // breaks in a row
	lastOverloadDelay                  Micros // the last wait after Full
}

// New makes one for a caller that is told to ask within a time (0: not told).
func New(maxDelay Micros, seed int64) *Backoff {
	b := &Backoff{random: rand.New(rand.NewSource(seed)), minOverloadDelay: defaultMinOverloadDelay, maxOverloadDelay: defaultMaxOverloadDelay}
	if maxDelay > 0 {
		b.hasMaxDelay, b.minOverloadDelay, b.maxOverloadDelay = true, maxDelay/minDelayDivisor, maxDelay
	}
	return b
}

// Initial is the wait before the first call: alike agents that start in one moment come one after another, inside half of
// the time in which they should ask. Few agents wait next to nothing. Where no time is told there is none: the list comes
// by itself, and a drain told while an agent was away binds as soon as it is back.
func (b *Backoff) Initial(agents int) Micros {
	if !b.hasMaxDelay {
		return 0
	}
	return b.randomDelay(min(b.maxOverloadDelay/2, Micros(agents-1)*startSpacing))
}

// Next is the wait before the next try. After a break it grows from 50 ms with a random part. After Full it is
// decorrelated jitter: callers that were turned away together spread out within a few tries, over more time the longer the
// party stays full.
func (b *Backoff) Next(reason Reason) Micros {
	if reason == Overloaded {
		b.unreachableCount = 0
		b.lastOverloadDelay = b.minOverloadDelay + b.randomDelay(min(b.maxOverloadDelay, jitterMultiplier*max(b.lastOverloadDelay, b.minOverloadDelay))-b.minOverloadDelay)
		return b.lastOverloadDelay
	}
	delay := min(maxReconnectDelay, minReconnectDelay<<min(b.unreachableCount, 8))
	b.unreachableCount++
	return delay/2 + b.randomDelay(delay)
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.unreachableCount, b.lastOverloadDelay = 0, 0 }

func (b *Backoff) randomDelay(limit Micros) Micros {
	if limit <= 0 {
		return 0
	}
	return b.random.Int63n(limit)
}
