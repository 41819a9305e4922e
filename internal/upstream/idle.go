package upstream

import (
	"slices"
	"time"
)

// TrimIdleAfter is how long a connection may be idle while descriptors are short: those idle for longer are more than present traffic
// needs.
const TrimIdleAfter = 500 * time.Millisecond

const (
	// Connections are closed once they have been idle for the idle timeout divided by idleSafetyFactor. That keeps well clear of the
	// moment at which the endpoint closes them: a request that crosses its close ends as a reset.
	idleSafetyFactor = 2
	// sweepsPerIdleTimeout is how often in an idle timeout the idle connections are looked at.
	sweepsPerIdleTimeout = 8
)

// takeIdle takes the usable connection that was used last, and closes those found unusable on the way; nil where there is none.
func (e *Endpoint) takeIdle() *connection {
	settleCutoff := time.Now().Add(-e.pool.config.SettleTime)
	for _, conn := range slices.Backward(slices.Clone(e.idle)) {
		switch {
		case conn.idleSince.After(settleCutoff): // it may still bring a second response
		case e.isExpired(conn):
			e.closeConnection(conn) // the sweep is late: the process has stalled
		case conn.hasNothingUnread():
			e.forgetIdle(conn)
			return conn
		default:
			e.closeConnection(conn)
		}
	}
	return nil
}

// acquireDescriptor reserves a descriptor for a new connection. Where none is left, the connection that has been idle for longest is
// closed for it: at this point all idle connections are still settling.
func (e *Endpoint) acquireDescriptor() bool {
	if e.pool.config.Budget.AcquireUpstream() {
		return true
	}
	if len(e.idle) == 0 {
		return false
	}
	e.closeConnection(e.idle[0])
	return e.pool.config.Budget.AcquireUpstream()
}

// makeIdle keeps a connection for the next exchange, unless it leads to a process that was replaced or removed.
func (e *Endpoint) makeIdle(conn *connection) {
	if conn.isClosed || !e.isCurrent(conn) {
		e.closeConnection(conn)
		return
	}
	conn.idleSince = time.Now()
	e.idle = append(e.idle, conn)
	e.scheduleSweep()
}

// closeConnection closes a connection, once, and releases its descriptor.
func (e *Endpoint) closeConnection(conn *connection) {
	if conn.isClosed {
		return
	}
	conn.isClosed = true
	close(conn.readNext)
	_ = conn.Close() // it is not used any more, whatever the error
	e.pool.config.Budget.ReleaseUpstream()
	e.forgetIdle(conn)
}

func (e *Endpoint) forgetIdle(conn *connection) {
	if i := slices.Index(e.idle, conn); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
}

// isExpired tells whether the endpoint may be about to close an idle connection.
func (e *Endpoint) isExpired(conn *connection) bool {
	idleTimeout := e.pool.config.IdleTimeout
	return idleTimeout > 0 && time.Since(conn.idleSince) >= idleTimeout/idleSafetyFactor
}

// closeIdle closes the connections that have been idle for at least a time.
func (e *Endpoint) closeIdle(minIdle time.Duration) {
	for _, conn := range slices.Clone(e.idle) {
		if time.Since(conn.idleSince) >= minIdle {
			e.closeConnection(conn)
		}
	}
}

// scheduleSweep starts the sweep timer where there are idle connections that may expire.
func (e *Endpoint) scheduleSweep() {
	idleTimeout := e.pool.config.IdleTimeout
	if len(e.idle) == 0 || e.sweepScheduled || idleTimeout <= 0 {
		return
	}
	e.sweepScheduled = true
	time.AfterFunc(idleTimeout/sweepsPerIdleTimeout, func() { e.mailbox.Put(sweepTimer{}) })
}

// sweepIdle closes the connections that the endpoint may be about to close.
func (e *Endpoint) sweepIdle() {
	e.sweepScheduled = false
	e.closeIdle(e.pool.config.IdleTimeout / idleSafetyFactor)
	e.scheduleSweep()
}
