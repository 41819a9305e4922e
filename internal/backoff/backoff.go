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
	// soonest doubles up to soonMost after a break: a party that is back is found at once, and what it tells binds.
	soonest, soonMost Micros = 50_000, 800_000
	// fullGrows is the usual figure of decorrelated jitter: the next wait is drawn from the first up to three last ones.
	fullGrows = 3
	// fullFirst and fullMost are the least and the most wait after a party's word that it is full, where no time is told
	// in which to ask. Else it is that time, and firstPart of it: a call that ran out of time there may still be worked
	// on, so that asking sooner only fills the queue with calls that nobody waits for.
	fullFirst, fullMost Micros = 400_000, 3_200_000
	firstPart                  = 4
	// eachCall spreads the first calls of agents that start together: the order of what one costs a small service.
	eachCall Micros = 60_000
)

// Backoff keeps one caller's waits.
type Backoff struct {
	chance      *rand.Rand
	told        bool
	first, most Micros // after Full
	gone        int    // breaks in a row
	last        Micros // the last wait after Full
}

// New makes one for a caller that is told to ask within a time (0: not told).
func New(within Micros, seed int64) *Backoff {
	a := &Backoff{chance: rand.New(rand.NewSource(seed)), first: fullFirst, most: fullMost}
	if within > 0 {
		a.told, a.first, a.most = true, within/firstPart, within
	}
	return a
}

// Initial is the wait before the first call: alike agents that start in one moment come one after another, inside half of
// the time in which they should ask. Few agents wait next to nothing. Where no time is told there is none: the list comes
// by itself, and a drain told while an agent was away binds as soon as it is back.
func (a *Backoff) Initial(agents int) Micros {
	if !a.told {
		return 0
	}
	return a.upTo(min(a.most/2, Micros(agents-1)*eachCall))
}

// Next is the wait before the next try. After a break it grows from 50 ms with a random part. After Full it is
// decorrelated jitter: callers that were turned away together spread out within a few tries, over more time the longer the
// party stays full.
func (a *Backoff) Next(why Reason) Micros {
	if why == Overloaded {
		a.gone = 0
		a.last = a.first + a.upTo(min(a.most, fullGrows*max(a.last, a.first))-a.first)
		return a.last
	}
	wait := min(soonMost, soonest<<min(a.gone, 8))
	a.gone++
	return wait/2 + a.upTo(wait)
}

// Reset forgets the failures.
func (a *Backoff) Reset() { a.gone, a.last = 0, 0 }

func (a *Backoff) upTo(span Micros) Micros {
	if span <= 0 {
		return 0
	}
	return a.chance.Int63n(span)
}
