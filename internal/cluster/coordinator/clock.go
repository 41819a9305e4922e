package coordinator

import (
	"time"

	"switchfork/internal/cluster/election"
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1e6
	// clockStart is the replica's first time, because the replica reads 0 as never.
	clockStart election.Micros = 1
)

// clock is the replica's monotonic time. It may be read from any goroutine.
type clock struct{ startedAt time.Time }

func startClock() clock { return clock{startedAt: time.Now()} }

func (c clock) now() election.Micros { return time.Since(c.startedAt).Microseconds() + clockStart }

// until returns how long it is until the replica's time has come to a point.
func (c clock) until(at election.Micros) time.Duration {
	return time.Duration(at-c.now()) * time.Microsecond
}

// wallTime converts the replica's time.
func (c clock) wallTime(at election.Micros) time.Time {
	return c.startedAt.Add(time.Duration(at-clockStart) * time.Microsecond)
}
