package tcpconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// ResetConn is a connection that is reset where it ends before what was written has an answer's first byte. Closed, the system would go
// on sending the rest by itself for a quarter of an hour: a posting or a vote that was given up came out of a way that had dropped
// everything, seconds or minutes later, when nobody remembered it any more. It also catches what a full window holds back. It may
// harm where the other side reads slowly: what it has not read by then it never sees, which a call that was given up may suffer.
type ResetConn struct {
	tcp        *net.TCPConn
	unanswered atomic.Bool
	reading    atomic.Bool  // a reader waits here: all that it has read before is handed on
	gauge      *UnreadGauge // nil: nobody asks
}

func (c *ResetConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.tcp.Read(b)
	c.reading.Store(false)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

func (c *ResetConn) Write(b []byte) (int, error) {
	c.unanswered.Store(true)
	return c.tcp.Write(b)
}

func (c *ResetConn) Close() error {
	if c.unanswered.Load() {
		c.tcp.SetLinger(0)
	}
	if c.gauge != nil {
		c.gauge.remove(c)
	}
	return c.tcp.Close()
}

func (c *ResetConn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

func (c *ResetConn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

func (c *ResetConn) SetDeadline(t time.Time) error { return c.tcp.SetDeadline(t) }

func (c *ResetConn) SetReadDeadline(t time.Time) error { return c.tcp.SetReadDeadline(t) }

func (c *ResetConn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

func (c *ResetConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Dial dials one; among, unless it is nil, keeps it while it is open.
func Dial(ctx context.Context, d *net.Dialer, address string, among *UnreadGauge) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, is := c.(*net.TCPConn); is {
		o := &ResetConn{tcp: tcp, gauge: among}
		if among != nil {
			among.mu.Lock()
			among.open[o] = true
			among.mu.Unlock()
		}
		return o, nil
	}
	return c, nil
}
