// Package backoff decides how long a caller waits before it retries a failed call to a service. It is meant for calls that all
// agents make, to service discovery and to the rollout controller. Retries of a single agent are harmless, but synchronized retries of
// many agents are a retry storm, which keeps a service down that would otherwise have recovered (a metastable failure).
//
// A Backoff belongs to one caller and is not safe for concurrent use. It does no I/O and reads no clock.
package backoff

import "math/rand"

// Micros is a duration in whole microseconds.
type Micros = int64

// Reason says why a call failed.
type Reason int

const (
	// Unreachable means that the connection broke, was refused or delivered no data. The service may be back at any moment.
	Unreachable Reason = iota
	// Overloaded means that the service answered that it is overloaded.
	Overloaded
)

const millisecond Micros = 1000

// Constants of the delay after Unreachable.
const (
	// minReconnectDelay is the delay after the first Unreachable, before jitter. Each further Unreachable doubles the delay, up to
	// maxReconnectDelay. The first delay is short, so that the caller reconnects at once when the service is back. The
	// changes that the service reports have to take effect from that moment.
	minReconnectDelay = 50 * millisecond
	maxReconnectDelay = 800 * millisecond
	// maxDoublings keeps the doubled delay from overflowing. Fewer doublings already exceed maxReconnectDelay.
	maxDoublings = 8
)

// Constants of the delay after Overloaded.
const (
	// jitterMultiplier times the last delay is the upper bound of the next one, as is usual for decorrelated jitter.
	jitterMultiplier = 3
	// defaultMinOverloadDelay is the shortest delay for a caller without a deadline.
	defaultMinOverloadDelay = 400 * millisecond
	// defaultMaxOverloadDelay is the longest delay for a caller without a deadline.
	defaultMaxOverloadDelay = 3200 * millisecond
	// minDelayDivisor divides the longest delay to give the shortest delay for a caller with a deadline. The service may still be
	// working on a call that timed out, and an earlier retry would only fill its queue with calls whose callers have given up.
	minDelayDivisor = 4
)

// startSpacing is the mean time between the first calls of agents that start together. It is about the time that a small service
// takes for one call.
const startSpacing = 60 * millisecond

// Backoff computes the delays of one caller.
type Backoff struct {
	random            *rand.Rand
	hasDeadline       bool
	minOverloadDelay  Micros
	maxOverloadDelay  Micros
	lastOverloadDelay Micros
	unreachableCount  int // number of consecutive Unreachable failures
}

// New returns the Backoff of a caller that has to make at least one call within each deadline. A deadline of 0 means none.
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

// Initial returns the delay before the first call. The calls of agents that start at the same time are spread over up to half of
// the deadline. If there are few agents, the delay is close to 0. Without a deadline there is no delay: the service then
// pushes the endpoint list, and a drain that was announced while an agent was disconnected has to take effect as soon as the agent
// is connected again.
func (b *Backoff) Initial(agents int) Micros {
	if !b.hasDeadline {
		return 0
	}
	return b.randomDelay(min(b.maxOverloadDelay/2, Micros(agents-1)*startSpacing))
}

// Spread returns a random delay below limit, for a call that many agents make for the same reason at the same time.
func (b *Backoff) Spread(limit Micros) Micros { return b.randomDelay(limit) }

// Next returns the delay before the next call. After Unreachable, the delay grows exponentially from 50 ms, with jitter. After
// Overloaded, Next uses decorrelated jitter: calls of callers that were rejected together spread out within a few retries, and the
// longer the service stays overloaded, the longer the time over which they spread.
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

// Reset forgets the past failures. It has to be called after a successful call.
func (b *Backoff) Reset() {
	b.unreachableCount = 0
	b.lastOverloadDelay = 0
}

// randomDelay returns a random delay below limit, or 0 if limit is not positive.
func (b *Backoff) randomDelay(limit Micros) Micros {
	if limit <= 0 {
		return 0
	}
	return b.random.Int63n(limit)
}
