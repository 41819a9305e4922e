package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"

	"golang.org/x/sys/unix"
)

// phase is where a client's connection stands. The drawing in docs/design.md has the ways between them.
type phase int

const (
	fresh   phase = iota // came, and nothing of a request has been read
	idle                 // all that was read has been answered
	asking               // at least a byte of a request has been read
	asked                // a request has been read whole and waits for its answer
	retired              // nothing more is read from it; it is about to be closed
)

// A client has headTimeout for a request's head, counted from its first byte, and requestTimeout for the whole: both well inside
// the 3 s in which who says nothing, or half of something, is owed a close. firstByteTimeout is for the first byte after the connection came.
// IdleTimeout is the told time after which a connection without a request may go: who asks once and stays for good holds nothing longer.
const firstByteTimeout, headTimeout, requestTimeout, IdleTimeout = 1500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2 * time.Second

// lingerWait is how long a connection that ends with an answer stays half open for the client to close it: closed with bytes unread, the
// system resets it, and the reset may overtake the answer. It is what http.Server waits for an answer to an overlong head.
const lingerWait = 500 * time.Millisecond

// clientConn is one client's connection. Whether it carries a request is known in the moment of the read: bytes are taken from the
// system and the phase is changed under one lock, so that a connection that is retired has not had a byte read from it.
type clientConn struct {
	*net.TCPConn
	raw  syscall.RawConn
	from *clientListener

	mu      sync.Mutex
	phase   phase
	since   time.Time // in this phase
	began   time.Time // the first byte of the request
	due     time.Time // when tick is to act; zero: not
	tick    *time.Timer
	late    bool   // the request took too long
	ahead   []byte // read while an answer was awaited: what a client sent too early
	wrote   bool   // something was written since the connection was last at rest
	lingers bool
}

// ReadFrom keeps the library from handing the descriptor to the kernel for copying.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// aheadMost bounds what is kept of bytes that come before the answer to the last request.
const aheadMost = 4 << 10

// Read takes bytes and the connection's phase on in one step. While an answer is awaited it keeps what comes and goes on reading: the
// library looks for the client's end with a read of one byte, and would see nothing behind a byte too many.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	failed := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for {
			watches := c.phase == asked || len(b) == 1
			switch {
			case c.phase == retired:
				n, err = 0, io.EOF
				return true
			case c.late:
				n, err = 0, os.ErrDeadlineExceeded
				return true
			case len(c.ahead) > 0 && (!watches || len(c.ahead) >= aheadMost):
				n = copy(b, c.ahead)
				c.ahead = c.ahead[n:]
				c.asks()
				return true
			}
			into := b
			if watches {
				into = make([]byte, 256)
			}
			got, errno := unix.Read(int(fd), into)
			switch {
			case errors.Is(errno, unix.EINTR):
			case errors.Is(errno, unix.EAGAIN):
				return false
			case errno != nil:
				n, err = 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", errno)}
				return true
			case got == 0:
				n, err = 0, io.EOF
				return true
			case watches:
				c.ahead = append(c.ahead, into[:got]...)
			default:
				n = got
				c.asks()
				return true
			}
		}
	})
	if failed == nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == retired {
		return 0, io.EOF
	}
	return 0, failed
}

func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// asks notes that bytes of a request have been read. The lock is held.
func (c *clientConn) asks() {
	if c.phase == fresh || c.phase == idle {
		c.to(asking)
		c.began = c.since
		c.actAt(c.began.Add(headTimeout))
	}
}

// to changes the phase. The lock is held.
func (c *clientConn) to(p phase) { c.phase, c.since = p, time.Now() }

// actAt sets the time at which the present phase has lasted too long. The lock is held.
func (c *clientConn) actAt(due time.Time) {
	c.due = due
	if c.tick == nil {
		c.tick = time.AfterFunc(time.Until(due), c.overdue)
	} else {
		c.tick.Reset(time.Until(due))
	}
}

// headRead is told by the library. A retired connection of which it held a whole request is served after all.
func (c *clientConn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != asking {
		c.to(asking)
		c.began = c.since
	}
	c.inTime()
	c.actAt(c.began.Add(requestTimeout))
}

// inTime: what the library holds came in time after all. The clock may find a phase overdue, or the listener retire the connection, when
// the bytes that end that phase have been read and the library has not said so yet; its next read would fail then, which it takes for
// the client's end, and a txn that was taken would have no answer. The lock is held.
func (c *clientConn) inTime() {
	c.late = false
	c.SetReadDeadline(time.Time{})
}

// wholeRead: the request is whole, and what it waits for now takes its own time.
func (c *clientConn) wholeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.to(asked)
	c.inTime()
	c.due = time.Time{}
	if c.tick != nil {
		c.tick.Stop()
	}
}

// rests is told by the library after an answer. What a client sent before it is the next request's beginning.
func (c *clientConn) rests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	c.to(idle)
	if len(c.ahead) > 0 {
		c.asks()
		return
	}
	c.actAt(c.since.Add(IdleTimeout))
}

// overdue ends a phase that has lasted too long.
func (c *clientConn) overdue() {
	c.mu.Lock()
	stale := c.due.IsZero() || time.Now().Before(c.due)
	late := !stale && c.phase == asking
	if late {
		c.late = true
		c.SetReadDeadline(longAgo)
	}
	waits := !stale && (c.phase == fresh || c.phase == idle)
	if waits && !tcpconn.IsQuiet(c.TCPConn) { // its reader is about to find it
		c.actAt(time.Now().Add(headTimeout))
		waits = false
	}
	c.mu.Unlock()
	if waits {
		c.retire()
	}
}

var longAgo = time.Unix(1, 0)

// retire ends a connection that carries no request, and tells whether it did. What the client has sent and nobody has read goes
// unread, and the client knows that it may send it again; so one with something unread is left alone, and what comes after that
// look crosses the close.
func (c *clientConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != fresh && c.phase != idle || !tcpconn.IsQuiet(c.TCPConn) {
		return false
	}
	c.to(retired)
	c.SetReadDeadline(longAgo)
	return true
}

// Close ends a connection. Where something was written that the client may not have read yet, it is half closed first and waited for:
// until the client closes too, or lingerWait, or another client needs its place.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.tick != nil {
		c.tick.Stop()
	}
	c.due = time.Time{}
	c.lingers = c.wrote && !c.lingers
	c.to(retired)
	lingers := c.lingers
	c.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(c.from.lingers))
		c.raw.Read(func(fd uintptr) bool {
			var first [1]byte
			n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			// Bytes behind the request stay unread, as they are no part of anything that was taken.
			return n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		})
	}
	return c.TCPConn.Close()
}

// clientListener lets clients in while there are descriptors. With none, the client that has been idle longest is retired, or the
// next answer ends its connection: one for each that waits, or those with an open connection would be served over and
// over while one in the kernel's queue waits unread until its time is over. That every answer ends its connection when
// few are left was tried: all clients came back on new ones, which cost more than there was.
type clientListener struct {
	tcp   *net.TCPListener
	purse *connlimit.Budget
	core  *agent.Loop
	waits atomic.Bool   // a client waits for another's place
	ended chan struct{} // closed with the listener
	// lingers is how long a connection stays half open behind its last answer.
	lingers time.Duration

	mu     sync.Mutex
	in     map[*clientConn]bool
	idle   map[*clientConn]time.Time // at rest since; some may have begun to ask meanwhile
	asked  time.Time                 // when appliances were last asked to drop what they don't use
	drains bool                      // no connection is kept
	leaves bool                      // to be closed once no client is there and none waits
}

func newClientListener(core *agent.Loop, purse *connlimit.Budget) *clientListener {
	return &clientListener{core: core, purse: purse, ended: make(chan struct{}), lingers: lingerWait, in: map[*clientConn]bool{}, idle: map[*clientConn]time.Time{}}
}

// placeWait is how often a client without a place looks for others that have fallen idle: a small part of any SLA time. lastLook is how
// long the listener looks for one more client before it closes: whoever is in the system's queue then would be reset unanswered.
const placeWait, lastLook = 5 * time.Millisecond, 20 * time.Millisecond

func (l *clientListener) Addr() net.Addr { return l.tcp.Addr() }

// Close is the library's; the listener ends by leave or stop.
func (l *clientListener) Close() error { return nil }

func (l *clientListener) Accept() (net.Conn, error) {
	for !l.purse.AcquireClient() {
		l.waits.Store(true)
		l.makeRoom()
		select {
		case <-l.purse.Freed():
		case <-time.After(placeWait):
		}
	}
	l.waits.Store(false)
	for {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil {
			return l.enter(tcp), nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.empty() {
			l.tcp.SetDeadline(time.Now().Add(lastLook))
			continue
		}
		l.purse.Release(1, 0)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.stop()
			err = net.ErrClosed
		}
		return nil, err
	}
}

func (l *clientListener) enter(tcp *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: tcp, from: l}
	c.raw, _ = tcp.SyscallConn() // fails for a connection that is not there only
	c.mu.Lock()
	c.to(fresh)
	c.actAt(c.since.Add(firstByteTimeout))
	c.mu.Unlock()
	l.mu.Lock()
	l.in[c] = true
	l.mu.Unlock()
	return c
}

func (l *clientListener) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaves && len(l.in) == 0
}

// drain keeps no connection from here on: those at rest end at once, the others with their answers.
func (l *clientListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains = true
	for c := range l.idle {
		c.retire()
	}
	clear(l.idle)
}

// leave closes the listener once no client is there and none waits.
func (l *clientListener) leave() {
	l.mu.Lock()
	l.leaves = true
	l.mu.Unlock()
	l.tcp.SetDeadline(time.Now().Add(lastLook))
}

// stop closes the listener.
func (l *clientListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.ended:
	default:
		l.tcp.Close()
		close(l.ended)
	}
}

// silentWait: clients connect to ask. Who has said nothing for so long makes room for those who wait.
const silentWait = 250 * time.Millisecond

// makeRoom ends what waits for clients that have had their answer, retires those that came and said nothing, or else the one that has
// been idle longest, and lets appliances drop what they don't use.
func (l *clientListener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.asked) >= upstream.TrimIdleAfter {
		l.asked = now
		l.core.ConnectionsExhausted()
	}
	silent := 0
	for c := range l.in {
		c.mu.Lock()
		silence, lingers := c.phase == fresh && now.Sub(c.since) >= silentWait, c.lingers && now.Sub(c.since) >= placeWait
		c.mu.Unlock()
		if lingers {
			c.SetReadDeadline(longAgo)
		}
		if lingers || silence && c.retire() {
			silent++
		}
	}
	if silent == 0 {
		l.retireOldest()
	}
	ratelog.Warn("door", "no descriptor left for a client", "open", len(l.in), "idle", len(l.idle),
		"silent", silent)
}

// retireOldest ends the client's connection that has been idle longest. The lock is held.
func (l *clientListener) retireOldest() {
	for {
		var oldest *clientConn
		for c, since := range l.idle {
			if oldest == nil || since.Before(l.idle[oldest]) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		delete(l.idle, oldest)
		if oldest.retire() {
			return
		}
	}
}

// state is told by the library; a closed connection's place is free again.
func (l *clientListener) state(nc net.Conn, s http.ConnState) {
	c, is := nc.(*clientConn)
	if !is {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	switch s {
	case http.StateActive:
		c.headRead()
	case http.StateIdle:
		c.rests()
		if l.drains {
			c.retire()
			return
		}
		if l.idle[c] = time.Now(); len(l.idle) > l.purse.MaxIdleClients() {
			l.retireOldest()
		}
	case http.StateClosed, http.StateHijacked:
		if l.in[c] {
			delete(l.in, c)
			l.purse.Release(1, 0)
		}
	}
}
