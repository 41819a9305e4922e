package proxy

import (
	"time"

	"switchfork/internal/tcpconn"
)

// connState is the state of a client's connection. docs/design.md has a diagram of the transitions.
type connState int

const (
	stateNew      connState = iota // accepted; no byte of a request has been read
	stateIdle                      // all requests that were read have been answered
	stateReading                   // at least one byte of a request has been read
	stateAwaiting                  // a request has been read completely and waits for its reply
	stateRetired                   // no further request is read; the connection is half closed or about to be closed
)

// A connection that is silent or has sent an incomplete request has to be closed within 3 s. The timeouts are well below that.
const (
	firstByteTimeout = 1500 * time.Millisecond // from accepting the connection to the first byte
	headTimeout      = 1500 * time.Millisecond // from the first byte of a request to the end of its head
	requestTimeout   = 2 * time.Second         // from the first byte of a request to the end of its body
)

// IdleTimeout is how long a connection without a request is kept open. The protocol allows an agent to close such a connection after this
// time. Closing it as soon as allowed frees the descriptors of clients that send one request and stay connected.
const IdleTimeout = 2 * time.Second

// pastDeadline is a deadline that ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// setState changes the state. The lock is held.
func (c *clientConn) setState(state connState) {
	c.state = state
	c.stateSince = time.Now()
}

// setStateDeadline sets the time at which the current state times out. The lock is held.
func (c *clientConn) setStateDeadline(deadline time.Time) {
	c.stateDeadline = deadline
	if c.stateTimer == nil {
		c.stateTimer = time.AfterFunc(time.Until(deadline), c.stateDeadlinePassed)
	} else {
		c.stateTimer.Reset(time.Until(deadline))
	}
}

// startReading records that bytes of a request have been read. The lock is held.
func (c *clientConn) startReading() {
	if c.isUnused() {
		c.startRequest()
		c.setStateDeadline(c.requestStart.Add(headTimeout))
	}
}

// startRequest enters stateReading at the start of a request. The lock is held.
func (c *clientConn) startRequest() {
	c.setState(stateReading)
	c.releaseMemory()
	c.memory = c.listener.memory.Reserve()
	c.head, c.isHeadRead = headMeter{}, false
	c.requestStart = c.stateSince
}

// headReceived is called when net/http has read a request's head. If the connection was retired while net/http had the request in its
// buffer, the request is served nevertheless.
func (c *clientConn) headReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateReading { // no byte was read since the last response: the request was in net/http's buffer
		c.isPipelined = true
		c.startRequest()
	}
	c.isHeadRead = true
	c.clearTimeout()
	c.setStateDeadline(c.requestStart.Add(requestTimeout))
}

// clearTimeout undoes a timeout of the state or the retirement of the connection, as the bytes in net/http's buffer arrived in time. Either
// may happen after the last byte of a head or body has been read and before headReceived or requestReceived is called. The next read of
// net/http would then fail. net/http would take the failure for the client's disconnection, and a request that was accepted would get no
// reply. The lock is held.
func (c *clientConn) clearTimeout() {
	c.timedOut = false
	c.setReadDeadline(time.Time{})
}

// requestReceived is called when a request has been read completely. The wait for its reply has no state deadline.
func (c *clientConn) requestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setState(stateAwaiting)
	c.busy.pause()
	c.clearTimeout()
	c.stateDeadline = time.Time{}
	if c.stateTimer != nil {
		c.stateTimer.Stop()
	}
}

// becomeIdle is called when net/http has written a response. Bytes that the client sent before that are the start of its next request.
func (c *clientConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy.resume()
	c.busy.requests++
	c.hasWritten = false
	c.releaseMemory()
	c.setState(stateIdle)
	if len(c.readAhead) > 0 {
		c.startReading()
		return
	}
	c.setStateDeadline(c.stateSince.Add(IdleTimeout))
}

// closed is called when the connection has been closed.
func (c *clientConn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseMemory()
}

// endWithResponse makes the next response the connection's last.
func (c *clientConn) endWithResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEnding = true
}

// stateDeadlinePassed is called by stateTimer. If the state has timed out, stateDeadlinePassed ends the pending read or retires the connection.
func (c *clientConn) stateDeadlinePassed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isStale := c.stateDeadline.IsZero() || time.Now().Before(c.stateDeadline) // the deadline has been moved since the timer fired
	if !isStale && c.state == stateReading {
		c.timedOut = true
		c.setReadDeadline(pastDeadline)
	}
	if !isStale && c.isUnused() && !c.retireLocked() { // an unread byte has arrived, which the reader is about to read
		c.setStateDeadline(time.Now().Add(headTimeout))
	}
}

// isUnused reports whether a connection carries no request. The lock is held.
func (c *clientConn) isUnused() bool { return c.state == stateNew || c.state == stateIdle }

// isUnusedFor reports whether a connection has carried no request for at least minIdle.
func (c *clientConn) isUnusedFor(minIdle time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnused() && now.Sub(c.stateSince) >= minIdle
}

// retire half closes a connection that carries no request, and reports whether it did. It leaves a connection with unread bytes open.
//
// The client has to be notified of the close at once. Between the check for unread bytes and the half close, the client finds the connection
// open and may send a request that is never read. So the check and the half close are one step. They are not left to the goroutine that
// reads from the connection, which would run milliseconds later.
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
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection, which has no read to end
}
