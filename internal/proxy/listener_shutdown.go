package proxy

import (
	"context"
	"time"

	"switchfork/internal/tcpconn"
)

const (
	// finalAcceptWait is how long the listener waits for one more client before it closes: a connection that is in the system's queue
	// then is reset without a response.
	finalAcceptWait = 20 * time.Millisecond
	// drainIdleTime is for how long a connection has been unused that the end of a drain ends.
	drainIdleTime = 50 * time.Millisecond
	// emptyPollInterval is how often a closed listener looks whether its last connections have ended.
	emptyPollInterval = 2 * time.Millisecond
)

// endIdle ends the connections that have carried no request for some time. It is for the end of a drain: a connection that is ended while
// its client still uses it may lose the client's next request, which would have been answered with a response that announces the end. One that
// was just accepted is about to get a request.
func (l *clientListener) endIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := range l.conns {
		if c.isUnusedFor(minIdle, now) {
			c.retire()
		}
	}
}

// closeWhenEmpty closes the listener once no client is connected and none waits.
func (l *clientListener) closeWhenEmpty() {
	l.mu.Lock()
	l.closesWhenEmpty = true
	l.mu.Unlock()
	l.setAcceptDeadline()
}

// closeSoon closes the listener once it has accepted all that wait, whoever is connected. On a busy machine somebody waits at any moment, so
// that no more are accepted.
func (l *clientListener) closeSoon() {
	tcpconn.RefuseNew(l.tcp)
	l.mu.Lock()
	l.closesSoon = true
	l.mu.Unlock()
	l.setAcceptDeadline()
}

// shouldClose reports whether the listener is to close. The system resets the connections that wait when it closes.
func (l *clientListener) shouldClose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEmpty := len(l.conns) == 0
	isDone := l.closesSoon || (l.closesWhenEmpty && isEmpty)
	return isDone && tcpconn.AcceptBacklog(l.tcp) == 0
}

// whenEmpty returns a channel that is closed once no client is connected any more; the context ends the wait.
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
