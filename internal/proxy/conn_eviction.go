package proxy

import (
	"time"

	"switchfork/internal/ratelog"
	"switchfork/internal/upstream"
)

// silentConnTimeout is how long a connection may be silent while others wait: clients connect to send a request.
const silentConnTimeout = 250 * time.Millisecond

// freeConnection makes room for a client: it ends lingering connections, retires those that have sent nothing, or else the one that has
// been idle longest, and has endpoints close connections that they don't use.
func (l *clientListener) freeConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.trimRequestedAt) >= upstream.TrimIdleAfter {
		l.trimRequestedAt = now
		l.loop.ConnectionsExhausted()
	}
	freed := 0
	for c := range l.conns {
		if c.endIfUnused(now) {
			freed++
		}
	}
	if freed == 0 {
		l.retireLongestIdle()
	}
	ratelog.Warn("door", "no descriptor left for a client", "open", len(l.conns), "idle", len(l.idleSince),
		"silent", freed)
}

// endIfUnused ends a connection that lingers, or that has sent nothing for some time, and reports whether it did.
func (c *clientConn) endIfUnused(now time.Time) bool {
	c.mu.Lock()
	isSilent := c.state == stateNew && now.Sub(c.stateSince) >= silentConnTimeout
	isLingering := c.isLingering && now.Sub(c.stateSince) >= budgetRetryInterval
	c.mu.Unlock()
	if isLingering {
		c.setReadDeadline(pastDeadline)
	}
	return isLingering || isSilent && c.retire()
}

// retireLongestIdle retires the connection that has been idle longest. The lock is held.
func (l *clientListener) retireLongestIdle() {
	for {
		var oldest *clientConn
		for c, since := range l.idleSince {
			if oldest == nil || since.Before(l.idleSince[oldest]) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		delete(l.idleSince, oldest)
		if oldest.retire() {
			return
		}
	}
}
