package proxy

import (
	"time"

	"switchfork/internal/ratelog"
)

// A connection whose client sends faster than its requests are handled never waits, and would keep a processor to itself: the Go scheduler
// looks for other connections' input only when a processor is idle, or every 10 ms. Such a connection pauses, so that it is busy for a tenth of
// the time.
const (
	maxBusyTime      = 2 * time.Millisecond // without a wait for input
	maxBusyRequests  = 16                   // likewise
	pausePerBusyTime = 9
	maxPause         = 50 * time.Millisecond
)

// busyTimer measures how long a connection has been busy. The time in which a request waits for its reply does not count.
type busyTimer struct {
	earlier  time.Duration // before the last pause
	since    time.Time     // zero: paused
	requests int           // that were answered meanwhile
}

func (b *busyTimer) restart() { *b = busyTimer{since: time.Now()} }

func (b *busyTimer) pause() {
	b.earlier = b.elapsed()
	b.since = time.Time{}
}

// resume ends a pause.
func (b *busyTimer) resume() {
	if b.since.IsZero() {
		b.since = time.Now()
	}
}

func (b *busyTimer) elapsed() time.Duration {
	if b.since.IsZero() {
		return b.earlier
	}
	return b.earlier + time.Since(b.since)
}

// isLong reports whether a connection has been busy for so long that it has to pause.
func (b *busyTimer) isLong() bool { return b.requests > maxBusyRequests && b.elapsed() > maxBusyTime }

// pace pauses a connection that has been busy for long. It is called when input was read without a wait. The caller does not hold the lock.
func (c *clientConn) pace() {
	c.mu.Lock()
	isLong, busy := c.busy.isLong(), c.busy.elapsed()
	c.mu.Unlock()
	if !isLong {
		return
	}
	ratelog.Warn("paced connection", "client sends without a pause, its connection is slowed down", "busy_us", busy.Microseconds(),
		"total", c.listener.pauses.Add(1))
	time.Sleep(min(maxPause, pausePerBusyTime*busy))
	c.mu.Lock()
	c.busy.restart()
	c.mu.Unlock()
}
