package coordinator

import (
	"time"

	"switchfork/internal/cluster/election"
)

const (
	microsPerMilli  = 1000
	microsPerSecond = 1e6
	// clockStart is the first reading of the clock. It is not 0, because the replica takes 0 to mean never.
	clockStart election.Micros = 1
)

// clock is the replica's monotonic clock. It may be read from any goroutine.
type clock struct{ startedAt time.Time }

func startClock() clock { return clock{startedAt: time.Now()} }

func (c clock) now() election.Micros { return time.Since(c.startedAt).Microseconds() + clockStart }

// until returns the time left until the clock reaches at.
func (c clock) until(at election.Micros) time.Duration {
	return time.Duration(at-c.now()) * time.Microsecond
}

// wallTime converts a reading of the clock to wall-clock time.
func (c clock) wallTime(at election.Micros) time.Time {
	return c.startedAt.Add(time.Duration(at-clockStart) * time.Microsecond)
}
