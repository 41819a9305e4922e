package proxy

import (
	"time"

	"switchfork/internal/tcpconn"
)

// connState is the state of a client's connection. docs/design.md has a drawing of the transitions.
type connState int

const (
	stateNew      connState = iota // accepted, and nothing of a request has been read
	stateIdle                      // all requests that were read have been answered
	stateReading                   // at least a byte of a request has been read
	stateAwaiting                  // a request has been read completely and waits for its reply
	stateRetired                   // no request is read any more; the connection is half closed or about to be closed
)

// A connection that is silent, or has sent half of something, has to be closed within 3 s. The timeouts are well inside that.
const (
	firstByteTimeout = 1500 * time.Millisecond // from accepting the connection to the first byte
	headTimeout      = 1500 * time.Millisecond // from the first byte of a request to the end of its head
	requestTimeout   = 2 * time.Second         // from the first byte of a request to the end of its body
)

// IdleTimeout is how long a connection is kept without a request. The protocol sets it as the time after which such a connection may be
// closed; keeping it no longer frees the descriptors of clients that send one request and stay connected.
const IdleTimeout = 2 * time.Second

// pastDeadline is a deadline that ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// setState changes the state. The lock is held.
func (c *clientConn) setState(state connState) {
	c.state = state
	c.stateSince = time.Now()
}

// setStateDeadline sets the time at which the present state has lasted too long. The lock is held.
func (c *clientConn) setStateDeadline(deadline time.Time) {
	c.stateDeadline = deadline
	if c.stateTimer == nil {
		c.stateTimer = time.AfterFunc(time.Until(deadline), c.stateDeadlinePassed)
	} else {
		c.stateTimer.Reset(time.Until(deadline))
	}
}

// startReading notes that bytes of a request have been read. The lock is held.
func (c *clientConn) startReading() {
	if c.isUnused() {
		c.startRequest()
		c.setStateDeadline(c.requestStart.Add(headTimeout))
	}
}

// startRequest enters stateReading at the start of a request. The lock is held.
func (c *clientConn) startRequest() {
	c.setState(stateReading)
	c.requestStart = c.stateSince
}

// headReceived is called when net/http has read a request's head. A retired connection of which it had a complete request buffered is
// served after all.
func (c *clientConn) headReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateReading {
		c.startRequest()
	}
	c.clearTimeout()
	c.setStateDeadline(c.requestStart.Add(requestTimeout))
}

// clearTimeout takes a timeout back, as what net/http has buffered came in time after all. The timer may find a state to have lasted too
// long, or the listener may retire the connection, when the bytes that end that state have been read and net/http has not said so yet.
// Its next read would fail then, which it takes for the client's disconnection, and a request that was accepted would have no reply. The
// lock is held.
func (c *clientConn) clearTimeout() {
	c.timedOut = false
	c.setReadDeadline(time.Time{})
}

// requestReceived is called when a request has been read completely. What it waits for now has no bound here.
func (c *clientConn) requestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(stateAwaiting)
	c.clearTimeout()
	c.stateDeadline = time.Time{}
	if c.stateTimer != nil {
		c.stateTimer.Stop()
	}
}

// becomeIdle is called when net/http has written a response. What the client sent before that is the start of its next request.
func (c *clientConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWritten = false
	c.setState(stateIdle)
	if len(c.readAhead) > 0 {
		c.startReading()
		return
	}
	c.setStateDeadline(c.stateSince.Add(IdleTimeout))
}

// stateDeadlinePassed is called by the timer. It ends a state that has lasted too long.
func (c *clientConn) stateDeadlinePassed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isStale := c.stateDeadline.IsZero() || time.Now().Before(c.stateDeadline) // the deadline has been moved since the timer fired
	if !isStale && c.state == stateReading {
		c.timedOut = true
		c.setReadDeadline(pastDeadline)
	}
	if !isStale && c.isUnused() && !c.retireLocked() { // its reader is about to find a byte
		c.setStateDeadline(time.Now().Add(headTimeout))
	}
}

// isUnused reports whether a connection carries no request. The lock is held.
func (c *clientConn) isUnused() bool { return c.state == stateNew || c.state == stateIdle }

// isUnusedFor reports whether a connection has carried no request for some time.
func (c *clientConn) isUnusedFor(minIdle time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnused() && now.Sub(c.stateSince) >= minIdle
}

// retire ends a connection that carries no request, and reports whether it did. A connection with unread bytes is left alone.
//
// The client has to learn of the end at once: in whatever time passes between the look for unread bytes and the end, it finds the
// connection open and sends a request that nobody reads. So the look and the end are one step, and are not left to the reader, which would
// come milliseconds later.
func (c *clientConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retireLocked()
}

// retireLocked is retire for callers that hold the lock.
func (c *clientConn) retireLocked() bool {
	if !c.isUnused() || !tcpconn.HalfCloseIfNoInput(c.raw) {
		return false
	}
	c.setState(stateRetired)
	c.isHalfClosed = true
	c.setReadDeadline(pastDeadline)
	return true
}

// setReadDeadline sets the deadline of pending and later reads.
func (c *clientConn) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // fails only where the connection is closed, and then there is no read to end
}
