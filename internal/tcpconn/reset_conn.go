package tcpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// ResetConn is a connection that is reset where it is closed before the first byte of a response to what was written has come. Closed as
// usual, the system would go on sending the rest by itself for a quarter of an hour: a request or a vote that was given up was delivered
// seconds or minutes later, out of a path that had dropped everything, when nothing waited for it any more. It also catches what a full
// send window holds back. It may harm where the other side reads slowly: what it has not read by then it never sees, which a call that
// was given up may suffer.
type ResetConn struct {
	tcp        *net.TCPConn
	unanswered atomic.Bool    // something was written and nothing has come since
	isReading  atomic.Bool    // a reader waits in Read: all that it has read before is handed on
	tracker    *UnreadTracker // nil: not tracked
}

// Dial opens a ResetConn. Unless tracker is nil, it tracks the connection until the connection is closed.
func Dial(ctx context.Context, dialer *net.Dialer, address string, tracker *UnreadTracker) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	reset := &ResetConn{tcp: tcp, tracker: tracker}
	if tracker != nil {
		tracker.add(reset)
	}
	return reset, nil
}

// Read implements net.Conn.
func (c *ResetConn) Read(b []byte) (int, error) {
	c.isReading.Store(true)
	n, err := c.tcp.Read(b)
	c.isReading.Store(false)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Write implements net.Conn.
func (c *ResetConn) Write(b []byte) (int, error) {
	c.unanswered.Store(true)
	return c.tcp.Write(b)
}

// Close implements net.Conn. It resets the connection where the last write has no response.
func (c *ResetConn) Close() error {
	if c.unanswered.Load() {
		_ = c.tcp.SetLinger(0) // fails only on a closed connection, which Close reports
	}
	if c.tracker != nil {
		c.tracker.remove(c)
	}
	return c.tcp.Close()
}

// LocalAddr implements net.Conn.
func (c *ResetConn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *ResetConn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *ResetConn) SetDeadline(t time.Time) error { return c.tcp.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *ResetConn) SetReadDeadline(t time.Time) error { return c.tcp.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *ResetConn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

// SyscallConn implements syscall.Conn.
func (c *ResetConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
