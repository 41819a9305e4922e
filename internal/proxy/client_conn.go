package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"switchfork/internal/ratelog"

	"golang.org/x/sys/unix"
)

const (
	// defaultLingerTimeout is how long a connection that ends with a response stays half open for the client to close it. A connection
	// that is closed with bytes unread is reset by the system, and the reset may overtake the response. http.Server waits as long after
	// its response to a head that is too long.
	defaultLingerTimeout = 500 * time.Millisecond
	// readAheadLimitBytes bounds what is kept of bytes that come before the response to the last request.
	readAheadLimitBytes = 4 << 10
	// readAheadChunkBytes is how much of them is read at a time.
	readAheadChunkBytes = 256
	// discardChunkBytes is how much is read at a time of what nobody waits for.
	discardChunkBytes = 1 << 10
)

// clientConn is a client's connection. Whether it carries a request is known in the moment of the read: bytes are taken from the system
// and the state is changed under one lock, so that no byte has been read from a connection that is retired.
type clientConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *clientListener

	mu            sync.Mutex
	state         connState
	stateSince    time.Time
	requestStart  time.Time // when the first byte of the request was read
	stateDeadline time.Time // when stateTimer is to act; zero: not at all
	stateTimer    *time.Timer
	timedOut      bool   // the request took too long
	readAhead     []byte // bytes that the client sent before the response to its last request
	hasWritten    bool   // something was written since the connection was last idle
	isHalfClosed  bool   // retired: the client has been notified of the end
	isLingering   bool   // half closed, and waiting for the client to close
}

// ReadFrom keeps net/http from handing the descriptor to the kernel for copying, which would bypass Write.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read reads bytes and changes the state in one step. While a request awaits its reply, Read keeps what comes and goes on reading:
// net/http detects a disconnection with a read of one byte, and would see nothing behind a byte that came too early.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	pollErr := c.raw.Read(func(fd uintptr) (isDone bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, isDone, err = c.readAvailable(int(fd), b)
		return isDone
	})
	if pollErr == nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateRetired {
		return 0, io.EOF
	}
	return 0, pollErr
}

// readAvailable reads without waiting. It reports whether Read is done, and not to be called again when more has come. The lock is held.
func (c *clientConn) readAvailable(fd int, b []byte) (n int, isDone bool, err error) {
	for {
		keepsBytes := c.state == stateAwaiting || len(b) == 1
		isReadAheadFull := len(c.readAhead) >= readAheadLimitBytes
		handsOnReadAhead := len(c.readAhead) > 0 && (!keepsBytes || isReadAheadFull)
		switch {
		case c.state == stateRetired:
			return 0, true, io.EOF
		case c.timedOut:
			return 0, true, os.ErrDeadlineExceeded
		case handsOnReadAhead:
			n = copy(b, c.readAhead)
			c.readAhead = c.readAhead[n:]
			c.startReading()
			return n, true, nil
		}
		buffer := b
		if keepsBytes {
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
		case keepsBytes:
			c.readAhead = append(c.readAhead, buffer[:n]...)
		default:
			c.startReading()
			return n, true, nil
		}
	}
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

// Write writes to the client, and records it: Close then half closes the connection first.
func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.hasWritten = true
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// Close ends a connection. Where something was written that the client may not have read yet, or a request may cross the end of an unused
// connection, the connection is half closed first, until the client closes it too, the linger timeout is over, or another client needs its
// descriptor. What comes meanwhile is read and dropped: a close with bytes unread is a reset, which may overtake a response, and from which
// a client does not know that its request was not read.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.stateTimer != nil {
		c.stateTimer.Stop()
	}
	c.stateDeadline = time.Time{}
	mayCross := c.hasWritten || c.isHalfClosed // a response may be unread, or a request on its way
	c.isLingering = mayCross && !c.isLingering
	wasRetired := c.isHalfClosed
	c.setState(stateRetired)
	isLingering := c.isLingering
	c.mu.Unlock()
	if isLingering {
		c.linger(wasRetired)
	}
	return c.TCPConn.Close()
}

// linger half closes a connection, unless it was retired and is half closed already, and waits for the client to close it.
func (c *clientConn) linger(wasRetired bool) {
	if !wasRetired && c.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(c.listener.lingerTimeout))
	dropped := c.discardUntilClosed()
	if wasRetired && dropped > 0 {
		ratelog.Warn("unread request", "a request crossed the end of an unused connection and was not read", "bytes", dropped)
	}
}

// discardUntilClosed reads and drops what the client sends until it closes its side, or until the read deadline. It returns how many bytes
// came.
func (c *clientConn) discardUntilClosed() (dropped int) {
	buffer := make([]byte, discardChunkBytes)
	for {
		n, err := c.TCPConn.Read(buffer)
		dropped += n
		if err != nil { // the client's end, a failed connection, or the deadline's
			return dropped
		}
	}
}
