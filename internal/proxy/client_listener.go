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

// budgetRetryInterval is how often the listener looks for connections to close while a client waits for a descriptor. It is a small
// fraction of any latency objective.
const budgetRetryInterval = 5 * time.Millisecond

// clientListener accepts clients while the budget has descriptors, and keeps connections open between requests until a descriptor is
// needed. If no descriptor is left, one connection is closed for each waiting client, with a response that announces the close. Otherwise
// clients with an open connection would be served over and over, while a request of a client in the kernel's accept queue would not be read
// before its deadline. All other responses leave their connections open, apart from the exceptions in closeConnIfNeeded, because a client
// whose connection is closed reconnects, and the agent can't afford so many new connections. If no response closes a connection soon, the
// connections that have been idle longest are retired.
type clientListener struct {
	tcp    *net.TCPListener
	budget *connlimit.Budget
	memory *connlimit.MemoryBudget // for the requests that connections carry
	loop   *agent.Loop
	closed chan struct{} // closed when the listener is closed

	pauses         atomic.Int64  // of connections whose clients send too fast
	waitingClients atomic.Int64  // clients that wait for another client's descriptor
	lingerTimeout  time.Duration // how long a connection stays half closed after its last response

	mu                 sync.Mutex
	conns              map[*clientConn]bool
	idleSince          map[*clientConn]time.Time // when net/http reported each connection as idle; some may have started a request since
	trimRequestedAt    time.Time                 // when closing unused connections to endpoints was last requested
	closesWhenEmpty    bool                      // the listener closes when no client is connected and the accept queue is empty
	closesAfterBacklog bool                      // the listener closes when the accept queue is empty
}

func newClientListener(loop *agent.Loop, budget *connlimit.Budget, memory *connlimit.MemoryBudget) *clientListener {
	return &clientListener{
		loop:          loop,
		budget:        budget,
		memory:        memory,
		closed:        make(chan struct{}),
		lingerTimeout: defaultLingerTimeout,
		conns:         map[*clientConn]bool{},
		idleSince:     map[*clientConn]time.Time{},
	}
}

// Addr returns the listener's address.
func (l *clientListener) Addr() net.Addr { return l.tcp.Addr() }

// Close is called by http.Server and does nothing. The listener is closed by closeWhenEmpty, closeAfterBacklog or shutdown.
func (l *clientListener) Close() error { return nil }

// Accept waits for a client and then for a descriptor in the budget, so that no descriptor is taken before there is a client for it. During
// the second wait, the client's connection uses one of the descriptors that the process reserves outside the budget.
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

// acquireDescriptor waits until the budget has a descriptor for one more client. It returns false if the listener is shut down before that.
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

// takeWaitingClient reports whether a connection is to be closed for a waiting client. It returns true once for each waiting client.
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
	c.raw, _ = tcp.SyscallConn() // fails only if tcp is nil
	c.mu.Lock()
	c.setState(stateNew)
	c.busy.restart()
	c.setStateDeadline(c.stateSince.Add(firstByteTimeout))
	c.mu.Unlock()
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c
}

// connStateChanged is the ConnState hook of http.Server. It returns the descriptor of a closed connection to the budget.
func (l *clientListener) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idleSince, c)
	switch state {
	case http.StateNew: // register has already set the connection's state
	case http.StateActive:
		c.headReceived()
	case http.StateIdle:
		c.becomeIdle()
		l.idleSince[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		if l.conns[c] {
			c.closed()
			delete(l.conns, c)
			l.budget.ReleaseClient()
		}
	}
}
