package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"switchfork/internal/connlimit"
	"switchfork/internal/ratelog"

	"golang.org/x/sys/unix"
)

const (
	// defaultLingerTimeout is how long a connection stays half closed after its last response, so that the client can close it. The kernel
	// resets a connection that is closed with unread bytes, and the reset may overtake the response. http.Server waits equally long after
	// its response to an oversized head.
	defaultLingerTimeout = 500 * time.Millisecond
	// readAheadLimitBytes bounds the read-ahead buffer, which holds bytes that a client sends before the response to its last request.
	readAheadLimitBytes = 4 << 10
	// readAheadChunkBytes is the maximum number of bytes that one read adds to the read-ahead buffer.
	readAheadChunkBytes = 256
	// discardChunkBytes is the size of the buffer for bytes that are read and discarded.
	discardChunkBytes = 1 << 10
)

// clientConn is a client's connection. It reads bytes from the socket and changes its state while holding one lock, so that a connection
// from which bytes of a request have been read is not retired.
type clientConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *clientListener

	mu            sync.Mutex
	state         connState
	stateSince    time.Time
	busy          busyTimer // since the connection last waited for input
	requestStart  time.Time // when the first byte of the request was read
	stateDeadline time.Time // when the state times out; zero: never
	stateTimer    *time.Timer
	timedOut      bool                   // the head or the body of the request took too long to arrive, or the head needs too much memory
	readAhead     []byte                 // bytes that the client sent before the response to its last request
	hasWritten    bool                   // something was written since the connection was last idle
	isPipelined   bool                   // bytes of the next request arrived before the response to the last one was written
	lastFraming   requestFraming         // of the last request whose head has been read
	memory        *connlimit.Reservation // of the request that the connection carries; nil: none
	head          headMeter              // of the request whose head is being read
	isHeadRead    bool                   // net/http has the head of the request
	isHalfClosed  bool                   // half closed by retire, so that the client is notified of the close
	isEnding      bool                   // the next response is the connection's last
	isLingering   bool                   // half closed by Close, which waits for the client to close
}

// ReadFrom copies through Write. It hides the ReadFrom of net.TCPConn, which may have the kernel copy the data and bypass Write.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read reads bytes and changes the state in one step. While a request awaits its reply, Read buffers what arrives and continues to read.
// The reason is that net/http detects a disconnection with a read of one byte. If that read returned an early byte of the next request,
// net/http would not detect a later disconnection.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	detectsDisconnection := len(b) == 1
	hasWaited := false
	pollErr := c.raw.Read(func(fd uintptr) (isDone bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, isDone, err = c.readAvailable(int(fd), b)
		if hasWaited && !detectsDisconnection {
			c.busy.restart()
		}
		hasWaited = !isDone
		return isDone
	})
	if pollErr == nil {
		if !hasWaited && !detectsDisconnection {
			c.pace()
		}
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateRetired {
		return 0, io.EOF
	}
	return 0, pollErr
}

// readAvailable reads without blocking. If isDone is false, there is no result yet, and Read has to call readAvailable again once the
// socket is readable. The lock is held.
func (c *clientConn) readAvailable(fd int, b []byte) (n int, isDone bool, err error) {
	for {
		buffersInput := c.state == stateAwaiting || len(b) == 1
		isReadAheadFull := len(c.readAhead) >= readAheadLimitBytes
		returnsReadAhead := len(c.readAhead) > 0 && (!buffersInput || isReadAheadFull)
		switch {
		case c.state == stateRetired:
			return 0, true, io.EOF
		case c.timedOut:
			return 0, true, os.ErrDeadlineExceeded
		case returnsReadAhead:
			n = copy(b, c.readAhead)
			c.readAhead = c.readAhead[n:]
			n, err = c.passOn(fd, b[:n])
			return n, true, err
		}
		buffer := b
		if buffersInput {
			buffer = make([]byte, readAheadChunkBytes)
		}
		n, err = unix.Read(fd, buffer)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return 0, false, nil
		case err != nil:
			return 0, true, c.readError(err)
		case n == 0:
			return 0, true, io.EOF
		case buffersInput:
			c.readAhead = append(c.readAhead, buffer[:n]...)
		default:
			n, err = c.passOn(fd, b[:n])
			return n, true, err
		}
	}
}

// passOn records that bytes of a request have been read, and returns their number. If there is not enough memory for the request's head, it
// rejects the request and ends the connection's input instead. The lock is held.
func (c *clientConn) passOn(fd int, arrived []byte) (int, error) {
	c.startReading()
	if !c.reserveHead(arrived) {
		c.rejectHead(fd)
		return 0, os.ErrDeadlineExceeded
	}
	return len(arrived), nil
}

// readError wraps an error of the read system call as package net does.
func (c *clientConn) readError(err error) error {
	return &net.OpError{
		Op:     "read",
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError("read", err),
	}
}

// Write writes to the client, and records that something was written, so that Close half closes the connection first.
func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.hasWritten = true
	if len(c.readAhead) > 0 {
		c.isPipelined = true
	}
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// Close closes a connection. If the client may not have read a response yet, or may send a request before it notices that its unused
// connection was retired, the connection is only half closed at first. It is then closed when the client closes its side, when the linger
// timeout expires, or when another client needs the descriptor. Bytes that arrive until then are read and discarded: closing with unread
// bytes would send a reset, which may overtake a response and does not tell the client that its request was not read.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.stateTimer != nil {
		c.stateTimer.Stop()
	}
	c.stateDeadline = time.Time{}
	needsLinger := c.hasWritten || c.isHalfClosed // a response may be unread, or a request in transit
	c.isLingering = needsLinger && !c.isLingering
	wasRetired := c.isHalfClosed
	c.setState(stateRetired)
	isLingering := c.isLingering
	c.mu.Unlock()
	if isLingering {
		c.linger(wasRetired)
	}
	return c.TCPConn.Close()
}

// linger half closes a connection and waits for the client to close it. A connection that was retired is half closed already.
func (c *clientConn) linger(wasRetired bool) {
	if !wasRetired && c.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(c.listener.lingerTimeout))
	dropped := c.discardUntilClosed()
	if wasRetired && dropped > 0 {
		ratelog.Warn("unread request", "request arrived on an unused connection that was closing; it was not read", "bytes", dropped)
	}
}

// discardUntilClosed reads and discards what the client sends until the client closes its side or the read deadline passes. It returns the
// number of bytes.
func (c *clientConn) discardUntilClosed() (dropped int) {
	buffer := make([]byte, discardChunkBytes)
	for {
		n, err := c.TCPConn.Read(buffer)
		dropped += n
		if err != nil { // EOF, a failed connection, or the read deadline
			return dropped
		}
	}
}
