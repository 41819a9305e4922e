package agent

import (
	"time"

	"switchfork/internal/policy"
)

// Clock counts microseconds: one look at the wall, then monotonic, so that times of starts fit it and it never
// runs back.
type Clock struct{ start time.Time }

func NewClock() Clock { return Clock{time.Now()} }

func (c Clock) At(t time.Time) policy.Micros {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}

func (c Clock) Now() policy.Micros { return c.At(time.Now()) }

// Time is the other way round.
func (c Clock) Time(at policy.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
