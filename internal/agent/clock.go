package agent

import (
	"time"

	"switchfork/internal/policy"
)

// Clock gives the policy's time in microseconds since the Unix epoch. It reads the wall clock once and counts monotonically from there, so
// that its time never goes back and can be compared with the start times of endpoints.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall-clock time.
func NewClock() Clock { return Clock{time.Now()} }

// At converts a time.Time to the policy's time.
func (c Clock) At(t time.Time) policy.Micros {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}

// Now returns the current time as the policy's time.
func (c Clock) Now() policy.Micros { return c.At(time.Now()) }

// Time converts the policy's time to a time.Time.
func (c Clock) Time(at policy.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}
