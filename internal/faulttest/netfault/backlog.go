package netfault

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// fillerDialTimeout: a connection to a listener on this machine that is not up by then is not going to be.
	fillerDialTimeout = 60 * time.Millisecond
	// maxFillers: a queue of length zero takes one or two.
	maxFillers = 4
	// openBacklog is the queue's length while the listener is reachable.
	openBacklog = 1024
)

// backlogBlocker makes a listener unreachable: with a full queue of the blocker's own connections that nobody accepts, the system answers
// no further one, as if the machine were cut off. A client's system asks again after a second, then two, then four.
//
// setBlocked is called by one goroutine only, the accepting loop calls waitUntilUnblocked and isFiller.
type backlogBlocker struct {
	listener     *net.TCPListener
	closed       <-chan struct{}
	acceptPaused chan struct{} // the accepting loop has stopped
	isBlocked    bool
	fillers      []net.Conn

	mu            sync.Mutex
	acceptResumed chan struct{} // closed when the accepting loop may go on; nil while it isn't paused
	fillerPorts   map[int]bool
}

func newBacklogBlocker(l *net.TCPListener, closed <-chan struct{}) *backlogBlocker {
	return &backlogBlocker{listener: l, closed: closed, acceptPaused: make(chan struct{}, 1), fillerPorts: map[int]bool{}}
}

// waitUntilUnblocked is where the accepting loop waits while the listener is blocked; false: the relay is closed.
func (b *backlogBlocker) waitUntilUnblocked() bool {
	b.mu.Lock()
	resumed := b.acceptResumed
	b.mu.Unlock()
	if resumed == nil {
		return true
	}
	b.acceptPaused <- struct{}{}
	select {
	case <-resumed:
		return true
	case <-b.closed:
		return false
	}
}

// isFiller tells whether a connection is one of those that filled the queue.
func (b *backlogBlocker) isFiller(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	port := c.RemoteAddr().(*net.TCPAddr).Port
	isFiller := b.fillerPorts[port]
	delete(b.fillerPorts, port)
	return isFiller
}

// setBacklog changes the length of the listener's queue. It fails only once the listener is closed, and then nothing depends on it.
func (b *backlogBlocker) setBacklog(length int) {
	raw, err := b.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

// setBlocked makes the listener unreachable or reachable again, and tells whether it has just become unreachable.
func (b *backlogBlocker) setBlocked(blocked bool) bool {
	if blocked == b.isBlocked {
		return false
	}
	b.isBlocked = blocked
	if blocked {
		b.block()
	} else {
		b.unblock()
	}
	return blocked
}

func (b *backlogBlocker) unblock() {
	for _, c := range b.fillers {
		_ = c.Close() // nothing was sent on it
	}
	b.fillers = nil
	b.setBacklog(openBacklog)
	_ = b.listener.SetDeadline(time.Time{}) // fails only once the listener is closed
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.acceptResumed)
	b.acceptResumed = nil
}

func (b *backlogBlocker) block() {
	b.mu.Lock()
	b.acceptResumed = make(chan struct{})
	b.mu.Unlock()
	_ = b.listener.SetDeadline(time.Unix(1, 0)) // interrupts Accept; fails only once the listener is closed
	select {
	case <-b.acceptPaused:
	case <-b.closed:
		return
	}
	b.setBacklog(0)
	for range maxFillers {
		if !b.addFiller() {
			return
		}
	}
}

// addFiller makes a connection that stays in the queue; false: the queue is full.
func (b *backlogBlocker) addFiller() bool {
	b.mu.Lock() // no filler is accepted before its port is known
	defer b.mu.Unlock()
	dialer := net.Dialer{Timeout: fillerDialTimeout}
	c, err := dialer.DialContext(context.Background(), "tcp", b.listener.Addr().String())
	if err != nil {
		return false
	}
	b.fillers = append(b.fillers, c)
	b.fillerPorts[c.LocalAddr().(*net.TCPAddr).Port] = true
	return true
}
