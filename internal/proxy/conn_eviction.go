package proxy

import (
	"maps"
	"slices"
	"time"

	"switchfork/internal/ratelog"
	"switchfork/internal/upstream"
)

const (
	// silentConnTimeout is how long a new connection may stay silent while other clients wait. Clients connect in order to send a request.
	silentConnTimeout = 250 * time.Millisecond
	// responseWait is how long clients wait for descriptors of connections that close with a response. After that, idle connections are
	// retired. The client of an idle connection may be about to use the connection, while a close that a response announces costs the
	// client nothing.
	responseWait = 4 * budgetRetryInterval
	// minIdleTime is how long a connection has to be idle before it is retired. Until then, net/http may have the client's next request in
	// a buffer.
	minIdleTime = budgetRetryInterval
	// idleBatchDivisor bounds how many idle connections are retired at a time: one, plus one for every idleBatchDivisor idle connections.
	// The other waiting clients may still get the descriptors of connections that close with a response.
	idleBatchDivisor = 8
)

// freeConnections frees descriptors for waiting clients. waiting is the number of these clients, and waited is how long the first of them
// has waited. freeConnections closes lingering connections and retires connections that have sent nothing. If there are none of either kind
// and waited is at least responseWait, it retires the connections that have been idle longest. It also has the event loop close unused
// connections to endpoints, at most once per upstream.TrimIdleAfter.
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
		if c.endIfSilentOrLingering(now) {
			freed++
		}
	}
	retired := 0
	if freed == 0 && waited >= responseWait {
		retired = l.retireLongestIdle(min(waiting, 1+len(l.idleSince)/idleBatchDivisor), now)
	}
	ratelog.Warn("client descriptor", "no descriptor left for a client", "open", len(l.conns), "idle", len(l.idleSince),
		"silent", freed, "retired", retired, "waiting", waiting)
}

// endIfSilentOrLingering ends a lingering connection, or retires a connection that has sent nothing for silentConnTimeout. It reports
// whether it did either.
func (c *clientConn) endIfSilentOrLingering(now time.Time) bool {
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

// retireLongestIdle retires up to limit of the connections that have been idle longest, and returns how many. The lock is held.
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
