package tcpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// ResetConn is a connection that Close resets if nothing has been read since the last write. After an ordinary close, the kernel continues
// to send the unacknowledged data for a quarter of an hour. If the network path drops all packets for some time, requests and votes that
// have been given up would be delivered seconds or minutes later, when no caller waits for them. The reset also discards data that a full
// send window holds back. A drawback is that a peer that reads slowly never sees the data that it has not read before the reset. That is
// acceptable for a call that was given up.
type ResetConn struct {
	tcp        *net.TCPConn
	unanswered atomic.Bool    // something was written and nothing has been read since
	isReading  atomic.Bool    // a reader is in Read, and has processed all that it read before
	tracker    *UnreadTracker // nil: not tracked
}

// Dial opens a ResetConn. Unless tracker is nil, tracker tracks the connection until the connection is closed.
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

// Close implements net.Conn. It resets the connection if nothing has been read since the last write.
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
