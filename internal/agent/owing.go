package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file owns how a connection ends on which something is unanswered. It must never end one by itself.

// owing is a connection that is reset where it ends before what was written has an answer's first byte. Closed, the system would go
// on sending the rest by itself for a quarter of an hour: a posting or a vote that was given up came out of a way that had dropped
// everything, seconds or minutes later, when nobody remembered it any more. It also catches what a full window holds back. It may
// harm where the other side reads slowly: what it has not read by then it never sees, which a call that was given up may suffer.
type owing struct {
	tcp   *net.TCPConn
	owed  atomic.Bool
	waits atomic.Bool // a reader waits here: all that it has read before is handed on
	among *inflows    // nil: nobody asks
}

func (c *owing) Read(b []byte) (int, error) {
	c.waits.Store(true)
	n, err := c.tcp.Read(b)
	c.waits.Store(false)
	if n > 0 {
		c.owed.Store(false)
	}
	return n, err
}

func (c *owing) Write(b []byte) (int, error) {
	c.owed.Store(true)
	return c.tcp.Write(b)
}

func (c *owing) Close() error {
	if c.owed.Load() {
		c.tcp.SetLinger(0)
	}
	if c.among != nil {
		c.among.forget(c)
	}
	return c.tcp.Close()
}

// inflows are the connections on which the list and the news come in.
type inflows struct {
	mu   sync.Mutex
	open map[*owing]bool
}

func (f *inflows) forget(c *owing) {
	f.mu.Lock()
	delete(f.open, c)
	f.mu.Unlock()
}

// behind tells whether something has come in that its reader has not handed on yet.
func (f *inflows) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		if !c.waits.Load() || !nothingCame(c) {
			return true
		}
	}
	return false
}

func (c *owing) LocalAddr() net.Addr                   { return c.tcp.LocalAddr() }
func (c *owing) RemoteAddr() net.Addr                  { return c.tcp.RemoteAddr() }
func (c *owing) SetDeadline(t time.Time) error         { return c.tcp.SetDeadline(t) }
func (c *owing) SetReadDeadline(t time.Time) error     { return c.tcp.SetReadDeadline(t) }
func (c *owing) SetWriteDeadline(t time.Time) error    { return c.tcp.SetWriteDeadline(t) }
func (c *owing) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// dialOwing dials one; among, unless it is nil, keeps it while it is open.
func dialOwing(ctx context.Context, d *net.Dialer, address string, among *inflows) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, is := c.(*net.TCPConn); is {
		o := &owing{tcp: tcp, among: among}
		if among != nil {
			among.mu.Lock()
			among.open[o] = true
			among.mu.Unlock()
		}
		return o, nil
	}
	return c, nil
}
