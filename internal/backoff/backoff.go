// Package backoff decides how long a caller waits before it calls a service again that failed. It is for the calls that all
// agents make alike, to service discovery and to the rollout controller: what one agent repeats without harm, many agents in
// step make a retry storm of, which keeps a service down that would have long recovered (a metastable failure).
//
// A Backoff belongs to one caller and is not safe for concurrent use. It does no I/O and reads no clock.
package backoff

import "math/rand"

// Micros is a duration in whole microseconds.
type Micros = int64

// Reason says why a call failed.
type Reason int

const (
	// Unreachable means that the connection broke, was refused or stayed silent: the service may be back at any moment.
	Unreachable Reason = iota
	// Overloaded means that the service answered that it has too much to do.
	Overloaded
)

const millisecond Micros = 1000

// The delay after Unreachable.
const (
	// minReconnectDelay doubles with each Unreachable up to maxReconnectDelay. It is short, so that a service that is back is found
	// at once: the changes that it reports bind from that moment.
	minReconnectDelay = 50 * millisecond
	maxReconnectDelay = 800 * millisecond
	// maxDoublings keeps the doubled delay from overflowing; it is beyond maxReconnectDelay already.
	maxDoublings = 8
)

// The delay after Overloaded.
const (
	// jitterMultiplier of the last delay is the longest next one, as is usual for decorrelated jitter.
	jitterMultiplier = 3
	// defaultMinOverloadDelay is the shortest delay for a caller without a deadline.
	defaultMinOverloadDelay = 400 * millisecond
	// defaultMaxOverloadDelay is the longest delay for a caller without a deadline.
	defaultMaxOverloadDelay = 3200 * millisecond
	// minDelayDivisor of the longest delay is the shortest one for a caller with a deadline. A call that timed out may still be
	// worked on by the service, so that an earlier retry only fills its queue with calls that nobody waits for.
	minDelayDivisor = 4
)

// startSpacing spreads the first calls of agents that start together, by about the time that one call costs a small service.
const startSpacing = 60 * millisecond

// Backoff computes the delays of one caller.
type Backoff struct {
	random            *rand.Rand
	hasDeadline       bool
	minOverloadDelay  Micros
	maxOverloadDelay  Micros
	lastOverloadDelay Micros
	unreachableCount  int // in a row
}

// New returns the backoff of a caller that has to call at least once within a deadline (0: it has none).
func New(deadline Micros, seed int64) *Backoff {
	b := &Backoff{
		random:           rand.New(rand.NewSource(seed)),
		minOverloadDelay: defaultMinOverloadDelay,
		maxOverloadDelay: defaultMaxOverloadDelay,
	}
	if deadline > 0 {
		b.hasDeadline = true
		b.minOverloadDelay = deadline / minDelayDivisor
		b.maxOverloadDelay = deadline
	}
	return b
}

// Initial returns the delay before the first call. Agents that start at the same moment call one after another within half of
// the deadline; few agents wait next to nothing. Without a deadline there is no delay: the endpoint list then arrives by
// itself, and a drain announced while an agent was away binds as soon as it is back.
func (b *Backoff) Initial(agents int) Micros {
	if !b.hasDeadline {
		return 0
	}
	return b.randomDelay(min(b.maxOverloadDelay/2, Micros(agents-1)*startSpacing))
}

// Spread returns a random delay below a limit, for a call that many agents make for the same reason at the same time.
func (b *Backoff) Spread(limit Micros) Micros { return b.randomDelay(limit) }

// Next returns the delay before the next call. After Unreachable it grows exponentially from 50 ms, with jitter. After Overloaded
// it uses decorrelated jitter: callers that were rejected together spread out within a few retries, over a longer time the
// longer the service stays overloaded.
func (b *Backoff) Next(reason Reason) Micros {
	if reason == Overloaded {
		return b.nextOverloadDelay()
	}
	delay := min(maxReconnectDelay, minReconnectDelay<<min(b.unreachableCount, maxDoublings))
	b.unreachableCount++
	return delay/2 + b.randomDelay(delay)
}

func (b *Backoff) nextOverloadDelay() Micros {
	b.unreachableCount = 0
	longest := min(b.maxOverloadDelay, jitterMultiplier*max(b.lastOverloadDelay, b.minOverloadDelay))
	b.lastOverloadDelay = b.minOverloadDelay + b.randomDelay(longest-b.minOverloadDelay)
	return b.lastOverloadDelay
}

// Reset forgets the failures; it is called after a call that succeeded.
func (b *Backoff) Reset() {
	b.unreachableCount = 0
	b.lastOverloadDelay = 0
}

// randomDelay returns a random delay below a limit; 0 where the limit is not positive.
func (b *Backoff) randomDelay(limit Micros) Micros {
	if limit <= 0 {
		return 0
	}
	return b.random.Int63n(limit)
}
