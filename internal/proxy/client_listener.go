package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
)

const (
	// budgetRetryInterval is how often a client without a descriptor looks for connections that have become idle. It is a small part of
	// any latency objective.
	budgetRetryInterval = 5 * time.Millisecond
	// finalAcceptWait is how long the listener waits for one more client before it closes: a connection that is in the system's queue
	// then is reset without a response.
	finalAcceptWait = 20 * time.Millisecond
)

// clientListener accepts clients while the budget has descriptors. With none left, the connection that has been idle longest is retired,
// or the next response ends its connection: one for each client that waits. Otherwise clients with an open connection would be served
// over and over while one in the kernel's queue waits unread until its deadline. Ending a connection with every response while few
// descriptors are left was tried: all clients came back on new connections, which cost more than there was.
type clientListener struct {
	tcp    *net.TCPListener
	budget *connlimit.Budget
	loop   *agent.Loop
	closed chan struct{} // closed with the listener

	isClientWaiting atomic.Bool   // a client waits for the descriptor of another
	lingerTimeout   time.Duration // how long a connection stays half open after its last response

	mu              sync.Mutex
	conns           map[*clientConn]bool
	idleSince       map[*clientConn]time.Time // some may have started a request meanwhile
	trimRequestedAt time.Time                 // when endpoints were last asked to close connections that they don't use
	closesWhenEmpty bool                      // the listener closes when no client is connected and none waits
}

func newClientListener(loop *agent.Loop, budget *connlimit.Budget) *clientListener {
	return &clientListener{
		loop:          loop,
		budget:        budget,
		closed:        make(chan struct{}),
		lingerTimeout: defaultLingerTimeout,
		conns:         map[*clientConn]bool{},
		idleSince:     map[*clientConn]time.Time{},
	}
}

// Addr returns the listener's address.
func (l *clientListener) Addr() net.Addr { return l.tcp.Addr() }

// Close is called by http.Server and does nothing: the listener is ended by closeWhenEmpty or shutdown.
func (l *clientListener) Close() error { return nil }

// Accept waits for a descriptor and then for a client.
func (l *clientListener) Accept() (net.Conn, error) {
	l.acquireDescriptor()
	for {
		tcp, err := l.tcp.AcceptTCP()
		if err == nil {
			return l.register(tcp), nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.shouldClose() {
			l.setAcceptDeadline()
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

// acquireDescriptor waits until the budget has a descriptor for one more client.
func (l *clientListener) acquireDescriptor() {
	for !l.budget.AcquireClient() {
		l.isClientWaiting.Store(true)
		l.freeConnection()
		select {
		case <-l.budget.Freed():
		case <-time.After(budgetRetryInterval):
		}
	}
	l.isClientWaiting.Store(false)
}

func (l *clientListener) register(tcp *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: tcp, listener: l}
	c.raw, _ = tcp.SyscallConn() // fails only without a connection
	c.mu.Lock()
	c.setState(stateNew)
	c.setStateDeadline(c.stateSince.Add(firstByteTimeout))
	c.mu.Unlock()
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c
}

// connStateChanged is the ConnState hook of http.Server. A closed connection's descriptor goes back to the budget.
func (l *clientListener) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idleSince, c)
	switch state {
	case http.StateActive:
		c.headReceived()
	case http.StateIdle:
		l.connIdle(c)
	case http.StateClosed, http.StateHijacked:
		if l.conns[c] {
			delete(l.conns, c)
			l.budget.Release(1, 0)
		}
	}
}

// connIdle keeps a connection that has had its response, unless there are too many idle ones. The lock is held.
func (l *clientListener) connIdle(c *clientConn) {
	c.becomeIdle()
	l.idleSince[c] = time.Now()
	if len(l.idleSince) > l.budget.MaxIdleClients() {
		l.retireLongestIdle()
	}
}

// endIdle ends the connections that carry no request. It is for the end of a drain: a connection that is ended while its client still
// uses it may lose the client's next request, which would have been answered and told of the end by its response.
func (l *clientListener) endIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.retire()
	}
}

// closeWhenEmpty closes the listener once no client is connected and none waits.
func (l *clientListener) closeWhenEmpty() {
	l.mu.Lock()
	l.closesWhenEmpty = true
	l.mu.Unlock()
	l.setAcceptDeadline()
}

// shouldClose reports whether the listener is to close and has no connection left.
func (l *clientListener) shouldClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closesWhenEmpty && len(l.conns) == 0
}

// setAcceptDeadline ends a pending accept if no client comes soon.
func (l *clientListener) setAcceptDeadline() {
	_ = l.tcp.SetDeadline(time.Now().Add(finalAcceptWait)) // fails only where the listener is closed already
}

// shutdown closes the listener.
func (l *clientListener) shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		_ = l.tcp.Close() // nothing is left to be done where it fails
		close(l.closed)
	}
}
