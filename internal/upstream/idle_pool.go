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

// idlePool has the idle connections of one endpoint. It decides which of them carries the next exchange and which have been idle for too
// long, and it is where connections of the endpoint are closed, so that each descriptor is released once. It belongs to the worker's
// goroutine.
type idlePool struct {
	config         *Config
	requestSweep   func()        // has sweep called by the worker's goroutine; may be called by any goroutine
	idle           []*connection // sorted by idleSince; the last one is used first
	sweepScheduled bool
}

// take takes the usable connection that was used last, and closes those found unusable on the way; nil where there is none.
func (p *idlePool) take() *connection {
	settleCutoff := time.Now().Add(-p.config.SettleTime)
	for _, conn := range slices.Backward(slices.Clone(p.idle)) {
		switch {
		case conn.idleSince.After(settleCutoff): // it may still bring a second response
		case p.isExpired(conn):
			p.close(conn) // the sweep is late: the process has stalled
		case conn.hasNothingUnread():
			p.forget(conn)
			return conn
		default:
			p.close(conn)
		}
	}
	return nil
}

// acquireDescriptor reserves a descriptor for a new connection. Where none is left, the connection that has been idle for longest is
// closed for it: at this point all idle connections are still settling.
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

// close closes a connection, idle or not, once, and releases its descriptor.
func (p *idlePool) close(conn *connection) {
	if conn.isClosed {
		return
	}
	conn.isClosed = true
	close(conn.readNext)
	_ = conn.Close() // it is not used any more, whatever the error
	p.config.Budget.ReleaseUpstream()
	p.forget(conn)
}

func (p *idlePool) forget(conn *connection) {
	if i := slices.Index(p.idle, conn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// isExpired tells whether the endpoint may be about to close an idle connection.
func (p *idlePool) isExpired(conn *connection) bool {
	idleTimeout := p.config.IdleTimeout
	return idleTimeout > 0 && time.Since(conn.idleSince) >= idleTimeout/idleSafetyFactor
}

// closeIdleFor closes the connections that have been idle for at least a time.
func (p *idlePool) closeIdleFor(minIdle time.Duration) {
	for _, conn := range slices.Clone(p.idle) {
		if time.Since(conn.idleSince) >= minIdle {
			p.close(conn)
		}
	}
}

// closeAll closes all idle connections.
func (p *idlePool) closeAll() { p.closeIdleFor(0) }

// scheduleSweep starts the sweep timer where there are idle connections that may expire.
func (p *idlePool) scheduleSweep() {
	idleTimeout := p.config.IdleTimeout
	if len(p.idle) == 0 || p.sweepScheduled || idleTimeout <= 0 {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(idleTimeout/sweepsPerIdleTimeout, p.requestSweep)
}

// sweep closes the connections that the endpoint may be about to close.
func (p *idlePool) sweep() {
	p.sweepScheduled = false
	p.closeIdleFor(p.config.IdleTimeout / idleSafetyFactor)
	p.scheduleSweep()
}
