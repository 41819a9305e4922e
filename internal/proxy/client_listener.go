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
	"switchfork/internal/tcpconn"
)

// budgetRetryInterval is how often a client without a descriptor looks for connections that may end. It is a small part of any latency
// objective.
const budgetRetryInterval = 5 * time.Millisecond

// clientListener accepts clients while the budget has descriptors, and keeps connections between requests until a descriptor is wanted. A
// client that finds none left gets that of another: one response for each client that waits ends its connection. Otherwise clients with an
// open connection would be served over and over while one in the kernel's queue waits unread until its deadline. Where no response does so
// soon, the connections that have been idle longest are retired. Not every response ends its connection while few descriptors are left: all
// clients would come back on new connections, which cost more than there is.
type clientListener struct {
	tcp    *net.TCPListener
	budget *connlimit.Budget
	loop   *agent.Loop
	closed chan struct{} // closed with the listener

	waitingClients atomic.Int64  // clients that wait for the descriptor of another
	lingerTimeout  time.Duration // how long a connection stays half open after its last response

	mu              sync.Mutex
	conns           map[*clientConn]bool
	idleSince       map[*clientConn]time.Time // some may have started a request meanwhile
	trimRequestedAt time.Time                 // when endpoints were last asked to close connections that they don't use
	closesWhenEmpty bool                      // the listener closes when no client is connected and none waits
	closesSoon      bool                      // the listener closes as soon as none waits
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

// Accept waits for a client and then for a descriptor in the budget, so that none is wanted before a client is there. The connection that
// it holds meanwhile is one of those that the process keeps beside the budget.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.tcp.AcceptTCP()
		switch {
		case err == nil && l.acquireDescriptor():
			return l.register(tcp), nil
		case err == nil:
			_ = tcp.Close() // the listener has been shut down
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.shouldClose():
			l.shutdown()
			return nil, net.ErrClosed
		}
		l.setAcceptDeadline()
	}
}

// acquireDescriptor waits until the budget has a descriptor for one more client. It reports false where the listener is shut down before.
func (l *clientListener) acquireDescriptor() bool {
	waitingSince := time.Now()
	for !l.budget.AcquireClient() {
		waiting := 1 + tcpconn.AcceptBacklog(l.tcp)
		l.waitingClients.Store(int64(waiting))
		l.freeConnections(waiting, time.Since(waitingSince))
		select {
		case <-l.closed:
			return false
		case <-l.budget.Freed():
		case <-time.After(budgetRetryInterval):
		}
	}
	l.waitingClients.Store(0)
	return true
}

// takeWaitingClient reports whether a connection is to end for a client that waits, once for each.
func (l *clientListener) takeWaitingClient() bool {
	for {
		waiting := l.waitingClients.Load()
		if waiting <= 0 {
			return false
		}
		if l.waitingClients.CompareAndSwap(waiting, waiting-1) {
			return true
		}
	}
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
	case http.StateNew: // register has set its state already
	case http.StateActive:
		c.headReceived()
	case http.StateIdle:
		c.becomeIdle()
		l.idleSince[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		if l.conns[c] {
			delete(l.conns, c)
			l.budget.ReleaseClient()
		}
	}
}
