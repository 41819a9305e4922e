package proxy

import (
	"context"
	"time"

	"switchfork/internal/tcpconn"
)

const (
	// finalAcceptWait is how long the listener waits for one more client before it closes. The close resets connections in the kernel's
	// accept queue without a response.
	finalAcceptWait = 20 * time.Millisecond
	// drainMinIdleTime is how long a connection has to be unused to be retired at the end of a drain.
	drainMinIdleTime = 50 * time.Millisecond
	// emptyPollInterval is how often a closed listener checks whether its last connections are closed.
	emptyPollInterval = 2 * time.Millisecond
)

// retireIdle retires the connections that have carried no request for minIdle. It is meant for the end of a drain. Retiring a connection
// that its client still uses may lose the client's next request, which would otherwise get a response that announces the close. minIdle
// also spares connections that were just accepted, because their clients are about to send a request.
func (l *clientListener) retireIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := range l.conns {
		if c.isUnusedFor(minIdle, now) {
			c.retire()
		}
	}
}

// closeWhenEmpty closes the listener once no client is connected and the accept queue is empty.
func (l *clientListener) closeWhenEmpty() {
	l.mu.Lock()
	l.closesWhenEmpty = true
	l.mu.Unlock()
	l.setAcceptDeadline()
}

// closeAfterBacklog closes the listener once it has accepted all connections in the accept queue, even if clients are connected. It has the
// kernel admit no more connections to the queue, as on a busy machine the queue would never be empty otherwise.
func (l *clientListener) closeAfterBacklog() {
	tcpconn.RefuseNew(l.tcp)
	l.mu.Lock()
	l.closesAfterBacklog = true
	l.mu.Unlock()
	l.setAcceptDeadline()
}

// shouldClose reports whether the listener is to close. The accept queue has to be empty, as the close resets the connections in it.
func (l *clientListener) shouldClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEmpty := len(l.conns) == 0
	isDone := l.closesAfterBacklog || (l.closesWhenEmpty && isEmpty)
	return isDone && tcpconn.AcceptBacklog(l.tcp) == 0
}

// whenEmpty returns a channel that is closed once all clients have disconnected. If the context ends first, the channel stays open.
func (l *clientListener) whenEmpty(ctx context.Context) <-chan struct{} {
	empty := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			if l.isEmpty() {
				close(empty)
				return
			}
			time.Sleep(emptyPollInterval)
		}
	}()
	return empty
}

func (l *clientListener) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) == 0
}

// setAcceptDeadline ends a pending accept if no client connects within finalAcceptWait.
func (l *clientListener) setAcceptDeadline() {
	_ = l.tcp.SetDeadline(time.Now().Add(finalAcceptWait)) // fails only if the listener is already closed
}

// shutdown closes the listener.
func (l *clientListener) shutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
	default:
		_ = l.tcp.Close() // nothing can be done about an error
		close(l.closed)
	}
}
