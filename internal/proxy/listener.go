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

// connState is where a client's connection stands. The drawing in docs/design.md has the ways between them.
type connState int

const (
	stateNew      connState = iota // came, and nothing of a request has been read
	stateIdle                      // all that was read has been answered
	stateReading                   // at least a byte of a request has been read
	stateAwaiting                  // a request has been read whole and waits for its answer
	stateRetired                   // nothing more is read from it; it is about to be closed
)

// A client has headTimeout for a request's head, counted from its first byte, and requestTimeout for the whole: both well inside
// the 3 s in which who says nothing, or half of something, is owed a close. firstByteTimeout is for the first byte after the connection came.
// IdleTimeout is the told time after which a connection without a request may go: who asks once and stays for good holds nothing longer.
const firstByteTimeout, headTimeout, requestTimeout, IdleTimeout = 1500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2 * time.Second

// defaultLingerTimeout is how long a connection that ends with an answer stays half open for the client to close it: closed with bytes unread, the
// system resets it, and the reset may overtake the answer. It is what http.Server waits for an answer to an overlong head.
const defaultLingerTimeout = 500 * time.Millisecond

// clientConn is one client's connection. Whether it carries a request is known in the moment of the read: bytes are taken from the
// system and the phase is changed under one lock, so that a connection that is retired has not had a byte read from it.
type clientConn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *clientListener

	mu            sync.Mutex
	state         connState
	stateSince    time.Time // in this phase
	requestStart  time.Time // the first byte of the request
	stateDeadline time.Time // when tick is to act; zero: not
	stateTimer    *time.Timer
	timedOut      bool   // the request took too long
	readAhead     []byte // read while an answer was awaited: what a client sent too early
	hasWritten    bool   // something was written since the connection was last at rest
	isLingering   bool
}

// ReadFrom keeps the library from handing the descriptor to the kernel for copying.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// readAheadLimit bounds what is kept of bytes that come before the answer to the last request.
const readAheadLimit = 4 << 10

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
			watches := c.state == stateAwaiting || len(b) == 1
			switch {
			case c.state == stateRetired:
				n, err = 0, io.EOF
				return true
			case c.timedOut:
				n, err = 0, os.ErrDeadlineExceeded
				return true
			case len(c.readAhead) > 0 && (!watches || len(c.readAhead) >= readAheadLimit):
				n = copy(b, c.readAhead)
				c.readAhead = c.readAhead[n:]
				c.startReading()
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
				c.readAhead = append(c.readAhead, into[:got]...)
			default:
				n = got
				c.startReading()
				return true
			}
		}
	})
	if failed == nil {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateRetired {
		return 0, io.EOF
	}
	return 0, failed
}

func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.hasWritten = true
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// startReading notes that bytes of a request have been read. The lock is held.
func (c *clientConn) startReading() {
	if c.state == stateNew || c.state == stateIdle {
		c.setState(stateReading)
		c.requestStart = c.stateSince
		c.setStateDeadline(c.requestStart.Add(headTimeout))
	}
}

// setState changes the phase. The lock is held.
func (c *clientConn) setState(p connState) { c.state, c.stateSince = p, time.Now() }

// setStateDeadline sets the time at which the present phase has lasted too long. The lock is held.
func (c *clientConn) setStateDeadline(due time.Time) {
	c.stateDeadline = due
	if c.stateTimer == nil {
		c.stateTimer = time.AfterFunc(time.Until(due), c.stateDeadlinePassed)
	} else {
		c.stateTimer.Reset(time.Until(due))
	}
}

// headReceived is told by the library. A retired connection of which it held a whole request is served after all.
func (c *clientConn) headReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateReading {
		c.setState(stateReading)
		c.requestStart = c.stateSince
	}
	c.clearTimeout()
	c.setStateDeadline(c.requestStart.Add(requestTimeout))
}

// clearTimeout: what the library holds came in time after all. The clock may find a phase overdue, or the listener retire the connection, when
// the bytes that end that phase have been read and the library has not said so yet; its next read would fail then, which it takes for
// the client's end, and a txn that was taken would have no answer. The lock is held.
func (c *clientConn) clearTimeout() {
	c.timedOut = false
	c.SetReadDeadline(time.Time{})
}

// requestReceived: the request is whole, and what it waits for now takes its own time.
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

// becomeIdle is told by the library after an answer. What a client sent before it is the next request's beginning.
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

// stateDeadlinePassed ends a phase that has lasted too long.
func (c *clientConn) stateDeadlinePassed() {
	c.mu.Lock()
	stale := c.stateDeadline.IsZero() || time.Now().Before(c.stateDeadline)
	late := !stale && c.state == stateReading
	if late {
		c.timedOut = true
		c.SetReadDeadline(pastDeadline)
	}
	waits := !stale && (c.state == stateNew || c.state == stateIdle)
	if waits && !tcpconn.IsQuiet(c.TCPConn) { // its reader is about to find it
		c.setStateDeadline(time.Now().Add(headTimeout))
		waits = false
	}
	c.mu.Unlock()
	if waits {
		c.retire()
	}
}

var pastDeadline = time.Unix(1, 0)

// retire ends a connection that carries no request, and tells whether it did. What the client has sent and nobody has read goes
// unread, and the client knows that it may send it again; so one with something unread is left alone, and what comes after that
// look crosses the close.
func (c *clientConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateNew && c.state != stateIdle || !tcpconn.IsQuiet(c.TCPConn) {
		return false
	}
	c.setState(stateRetired)
	c.SetReadDeadline(pastDeadline)
	return true
}

// Close ends a connection. Where something was written that the client may not have read yet, it is half closed first and waited for:
// until the client closes too, or lingerWait, or another client needs its place.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.stateTimer != nil {
		c.stateTimer.Stop()
	}
	c.stateDeadline = time.Time{}
	c.isLingering = c.hasWritten && !c.isLingering
	c.setState(stateRetired)
	lingers := c.isLingering
	c.mu.Unlock()
	if lingers && c.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(c.listener.lingerTimeout))
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
	tcp             *net.TCPListener
	budget          *connlimit.Budget
	loop            *agent.Loop
	isClientWaiting atomic.Bool   // a client waits for another's place
	closed          chan struct{} // closed with the listener
	// lingers is how long a connection stays half open behind its last answer.
	lingerTimeout time.Duration

	mu              sync.Mutex
	conns           map[*clientConn]bool
	idleSince       map[*clientConn]time.Time // at rest since; some may have begun to ask meanwhile
	trimRequestedAt time.Time                 // when appliances were last asked to drop what they don't use
	isDraining      bool                      // no connection is kept
	closesWhenEmpty bool                      // to be closed once no client is there and none waits
}

func newClientListener(core *agent.Loop, purse *connlimit.Budget) *clientListener {
	return &clientListener{loop: core, budget: purse, closed: make(chan struct{}), lingerTimeout: defaultLingerTimeout, conns: map[*clientConn]bool{}, idleSince: map[*clientConn]time.Time{}}
}

// budgetRetryInterval is how often a client without a place looks for others that have fallen idle: a small part of any SLA time. lastLook is how
// long the listener looks for one more client before it closes: whoever is in the system's queue then would be reset unanswered.
const budgetRetryInterval, finalAcceptWait = 5 * time.Millisecond, 20 * time.Millisecond

func (l *clientListener) Addr() net.Addr { return l.tcp.Addr() }

// Close is the library's; the listener ends by leave or stop.
func (l *clientListener) Close() error { return nil }

func (l *clientListener) Accept() (net.Conn, error) {
	for !l.budget.AcquireClient() {
		l.isClientWaiting.Store(true)
		l.freeConnection()
		select {
		case <-l.budget.Freed():
		case <-time.After(budgetRetryInterval):
		}
	}
	l.isClientWaiting.Store(false)
	for {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil {
			return l.register(tcp), nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.shouldClose() {
			l.tcp.SetDeadline(time.Now().Add(finalAcceptWait))
			continue
		}
		l.budget.Release(1, 0)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.shutdown()
			err = net.ErrClosed
		}
		return nil, err
	}
}

func (l *clientListener) register(tcp *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: tcp, listener: l}
	c.raw, _ = tcp.SyscallConn() // fails for a connection that is not there only
	c.mu.Lock()
	c.setState(stateNew)
	c.setStateDeadline(c.stateSince.Add(firstByteTimeout))
	c.mu.Unlock()
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c
}

func (l *clientListener) shouldClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closesWhenEmpty && len(l.conns) == 0
}

// startDrain keeps no connection from here on: those at rest end at once, the others with their answers.
func (l *clientListener) startDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDraining = true
	for c := range l.idleSince {
		c.retire()
	}
	clear(l.idleSince)
}

// closeWhenEmpty closes the listener once no client is there and none waits.
func (l *clientListener) closeWhenEmpty() {
	l.mu.Lock()
	l.closesWhenEmpty = true
	l.mu.Unlock()
	l.tcp.SetDeadline(time.Now().Add(finalAcceptWait))
}

// shutdown closes the listener.
func (l *clientListener) shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		l.tcp.Close()
		close(l.closed)
	}
}

// silentConnTimeout: clients connect to ask. Who has said nothing for so long makes room for those who wait.
const silentConnTimeout = 250 * time.Millisecond

// freeConnection ends what waits for clients that have had their answer, retires those that came and said nothing, or else the one that has
// been idle longest, and lets appliances drop what they don't use.
func (l *clientListener) freeConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.trimRequestedAt) >= upstream.TrimIdleAfter {
		l.trimRequestedAt = now
		l.loop.ConnectionsExhausted()
	}
	silent := 0
	for c := range l.conns {
		c.mu.Lock()
		silence, lingers := c.state == stateNew && now.Sub(c.stateSince) >= silentConnTimeout, c.isLingering && now.Sub(c.stateSince) >= budgetRetryInterval
		c.mu.Unlock()
		if lingers {
			c.SetReadDeadline(pastDeadline)
		}
		if lingers || silence && c.retire() {
			silent++
		}
	}
	if silent == 0 {
		l.retireLongestIdle()
	}
	ratelog.Warn("door", "no descriptor left for a client", "open", len(l.conns), "idle", len(l.idleSince),
		"silent", silent)
}

// retireLongestIdle ends the client's connection that has been idle longest. The lock is held.
func (l *clientListener) retireLongestIdle() {
	for {
		var oldest *clientConn
		for c, since := range l.idleSince {
			if oldest == nil || since.Before(l.idleSince[oldest]) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		delete(l.idleSince, oldest)
		if oldest.retire() {
			return
		}
	}
}

// connStateChanged is told by the library; a closed connection's place is free again.
func (l *clientListener) connStateChanged(nc net.Conn, s http.ConnState) {
	c, is := nc.(*clientConn)
	if !is {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idleSince, c)
	switch s {
	case http.StateActive:
		c.headReceived()
	case http.StateIdle:
		c.becomeIdle()
		if l.isDraining {
			c.retire()
			return
		}
		if l.idleSince[c] = time.Now(); len(l.idleSince) > l.budget.MaxIdleClients() {
			l.retireLongestIdle()
		}
	case http.StateClosed, http.StateHijacked:
		if l.conns[c] {
			delete(l.conns, c)
			l.budget.Release(1, 0)
		}
	}
}
