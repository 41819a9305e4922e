package netfault

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// fillerDialTimeout bounds the dial of a filler, which is a connection that fills the accept queue. A dial within this machine that does
	// not succeed by then has met a full queue.
	fillerDialTimeout = 60 * time.Millisecond
	// maxFillers bounds the number of fillers. A queue of length zero holds one or two fillers.
	maxFillers = 4
	// openBacklog is the length of the accept queue while the listener is reachable.
	openBacklog = 1024
)

// backlogBlocker makes a listener unreachable. It opens connections to the listener that fill the accept queue and are not accepted. The
// operating system then ignores further connection attempts, as if the machine were cut off. A client's system retries after one second,
// then after two, then after four.
//
// Only one goroutine calls setBlocked. The accept loop calls waitUntilUnblocked and isFiller.
type backlogBlocker struct {
	listener     *net.TCPListener
	closed       <-chan struct{}
	acceptPaused chan struct{} // receives a value when the accept loop has stopped
	isBlocked    bool
	fillers      []net.Conn

	mu            sync.Mutex
	acceptResumed chan struct{} // closed when the accept loop may continue; nil while the listener is not blocked
	fillerPorts   map[int]bool
}

func newBacklogBlocker(l *net.TCPListener, closed <-chan struct{}) *backlogBlocker {
	return &backlogBlocker{listener: l, closed: closed, acceptPaused: make(chan struct{}, 1), fillerPorts: map[int]bool{}}
}

// waitUntilUnblocked waits while the listener is blocked. It returns false if the relay is closed.
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

// isFiller reports whether a connection is one of those that filled the accept queue.
func (b *backlogBlocker) isFiller(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	port := c.RemoteAddr().(*net.TCPAddr).Port
	isFiller := b.fillerPorts[port]
	delete(b.fillerPorts, port)
	return isFiller
}

// setBacklog changes the length of the accept queue. It fails only if the listener is closed. The length no longer matters then.
func (b *backlogBlocker) setBacklog(length int) {
	raw, err := b.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

// setBlocked makes the listener unreachable, or reachable again. It reports whether the listener has just become unreachable.
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
	_ = b.listener.SetDeadline(time.Time{}) // fails only if the listener is closed
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.acceptResumed)
	b.acceptResumed = nil
}

func (b *backlogBlocker) block() {
	b.mu.Lock()
	b.acceptResumed = make(chan struct{})
	b.mu.Unlock()
	_ = b.listener.SetDeadline(time.Unix(1, 0)) // interrupts Accept; fails only if the listener is closed
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

// addFiller opens a connection that stays in the accept queue. It returns false if the queue is full.
func (b *backlogBlocker) addFiller() bool {
	b.mu.Lock() // makes isFiller wait until the port is recorded
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
