package proxy

import (
	"maps"
	"slices"
	"time"

	"switchfork/internal/ratelog"
	"switchfork/internal/upstream"
)

const (
	// silentConnTimeout is how long a connection may be silent while others wait: clients connect to send a request.
	silentConnTimeout = 250 * time.Millisecond
	// responseWait is how long a client waits for a response to end a connection before an idle one is ended: its client may be about to
	// use it, and a response costs it nothing.
	responseWait = 4 * budgetRetryInterval
	// minIdleTime keeps connections from being ended on which net/http may have a next request in its buffer.
	minIdleTime = budgetRetryInterval
	// idleBatchParts bounds how many idle connections are ended at a time, as a part of all: some of those that wait get the descriptors
	// of connections that end with their responses.
	idleBatchParts = 8
)

// freeConnections makes room for clients that wait, the first of them for some time already: it ends lingering connections, retires those
// that have sent nothing, or else those that have been idle longest, and has endpoints close connections that they don't use.
func (l *clientListener) freeConnections(waiting int, waited time.Duration) {
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
	retired := 0
	if freed == 0 && waited >= responseWait {
		retired = l.retireLongestIdle(min(waiting, 1+len(l.idleSince)/idleBatchParts), now)
	}
	ratelog.Warn("client descriptor", "no descriptor left for a client", "open", len(l.conns), "idle", len(l.idleSince),
		"silent", freed, "retired", retired, "waiting", waiting)
}

// endIfUnused ends a connection that lingers, or that has sent nothing for some time, and reports whether it did.
func (c *clientConn) endIfUnused(now time.Time) bool {
	c.mu.Lock()
	isSilent := c.state == stateNew && now.Sub(c.stateSince) >= silentConnTimeout
	isLingering := c.isLingering && now.Sub(c.stateSince) >= budgetRetryInterval
	c.mu.Unlock()
	if isLingering {
		c.setReadDeadline(pastDeadline)
		return true
	}
	return isSilent && c.retire()
}

// retireLongestIdle retires at most limit of the connections that have been idle longest, and returns how many. The lock is held.
func (l *clientListener) retireLongestIdle(limit int, now time.Time) (retired int) {
	idle := slices.SortedFunc(maps.Keys(l.idleSince), func(a, b *clientConn) int {
		return l.idleSince[a].Compare(l.idleSince[b])
	})
	for _, c := range idle {
		if retired == limit || now.Sub(l.idleSince[c]) < minIdleTime {
			break
		}
		delete(l.idleSince, c)
		if c.retire() {
			retired++
		}
	}
	return retired
}
