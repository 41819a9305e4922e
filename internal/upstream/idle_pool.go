package upstream

import (
	"slices"
	"time"
)

// TrimIdleAfter is how long a connection may be idle while descriptors are short. A connection that has been idle for longer is not needed
// at the current rate of requests.
const TrimIdleAfter = 500 * time.Millisecond

const (
	// idleSafetyFactor divides the idle timeout: connections are closed once they have been idle for the quotient. This is well before the
	// endpoint closes them. A request that is written while the endpoint closes its connection ends as a reset.
	idleSafetyFactor = 2
	// sweepsPerIdleTimeout is how many times per idle timeout the idle connections are checked for expiry.
	sweepsPerIdleTimeout = 8
)

// idlePool holds the idle connections of one endpoint. It decides which of them carries the next exchange and which have been idle for too
// long. Every connection of the endpoint, idle or not, is closed through the pool, so that each descriptor is released once. Only the
// worker's goroutine uses it.
type idlePool struct {
	config         *Config
	requestSweep   func()        // makes the worker's goroutine call sweep; any goroutine may call it
	idle           []*connection // sorted by idleSince; the last one is used first
	sweepScheduled bool
}

// take removes and returns the usable connection that was used last, or returns nil if there is none. It closes the unusable connections
// that it finds on the way and skips those that are still settling.
func (p *idlePool) take() *connection {
	settleCutoff := time.Now().Add(-p.config.SettleTime)
	for _, conn := range slices.Backward(slices.Clone(p.idle)) {
		switch {
		case conn.idleSince.After(settleCutoff): // a second response may still arrive on it
		case p.isExpired(conn):
			p.close(conn) // the sweep is late because the process has stalled
		case conn.isOpenWithoutInput():
			p.remove(conn)
			return conn
		default:
			p.close(conn)
		}
	}
	return nil
}

// acquireDescriptor reserves a descriptor for a new connection. If none is left, it closes the connection that has been idle longest. It is
// called when take has found no usable connection, so all idle connections are still settling.
func (p *idlePool) acquireDescriptor() bool {
	if p.config.Budget.AcquireUpstream() {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.close(p.idle[0])
	return p.config.Budget.AcquireUpstream()
}

// add keeps an open connection for the next exchange.
func (p *idlePool) add(conn *connection) {
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	p.scheduleSweep()
}

// putBack returns a connection that take has removed and that was not used. To the endpoint, it has been idle all the time.
func (p *idlePool) putBack(conn *connection) {
	after := slices.IndexFunc(p.idle, func(other *connection) bool { return other.idleSince.After(conn.idleSince) })
	if after < 0 {
		after = len(p.idle)
	}
	p.idle = slices.Insert(p.idle, after, conn)
	p.scheduleSweep()
}

// close closes a connection, idle or not, once, and releases its descriptor.
func (p *idlePool) close(conn *connection) {
	if conn.isClosed {
		return
	}
	conn.isClosed = true
	close(conn.readNext)
	_ = conn.Close() // the connection is no longer used, so an error does not matter
	p.config.Budget.ReleaseUpstream()
	p.remove(conn)
}

func (p *idlePool) remove(conn *connection) {
	if i := slices.Index(p.idle, conn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// isExpired reports whether a connection has been idle so long that the endpoint may be about to close it.
func (p *idlePool) isExpired(conn *connection) bool {
	idleTimeout := p.config.IdleTimeout
	return idleTimeout > 0 && time.Since(conn.idleSince) >= idleTimeout/idleSafetyFactor
}

// closeIdleFor closes the connections that have been idle for at least minIdle.
func (p *idlePool) closeIdleFor(minIdle time.Duration) {
	for _, conn := range slices.Clone(p.idle) {
		if time.Since(conn.idleSince) >= minIdle {
			p.close(conn)
		}
	}
}

// closeAll closes all idle connections.
func (p *idlePool) closeAll() { p.closeIdleFor(0) }

// scheduleSweep starts the sweep timer if it is not running and there are idle connections that may expire.
func (p *idlePool) scheduleSweep() {
	idleTimeout := p.config.IdleTimeout
	if len(p.idle) == 0 || p.sweepScheduled || idleTimeout <= 0 {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(idleTimeout/sweepsPerIdleTimeout, p.requestSweep)
}

// sweep closes the connections that the endpoint may be about to close, and schedules the next sweep.
func (p *idlePool) sweep() {
	p.sweepScheduled = false
	p.closeIdleFor(p.config.IdleTimeout / idleSafetyFactor)
	p.scheduleSweep()
}
