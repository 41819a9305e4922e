package agent

import (
	"time"

	"switchfork/internal/policy"
)

// Clock gives the policy's time in microseconds since the Unix epoch. It reads the wall clock once and counts monotonically from there:
// so it never runs back, and the start times of endpoints can be compared with it.
type Clock struct{ start time.Time }

// NewClock starts a clock from the present wall time.
func NewClock() Clock { return Clock{time.Now()} }

// At converts a time to the policy's.
func (c Clock) At(t time.Time) policy.Micros {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}

// Now is the present time.
func (c Clock) Now() policy.Micros { return c.At(time.Now()) }

// Time converts the policy's time back.
func (c Clock) Time(at policy.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
