package netfault

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// This file owns how a listener is made mute: with a full queue of its own connections that nobody accepts, the system answers
// no further one, as if the machine were cut off. A caller's system asks again after a second, then two, then four.

type mute struct {
	l       *net.TCPListener
	mu      sync.Mutex
	on      bool
	asleep  chan struct{} // the accepting loop has stopped
	again   chan struct{} // it may go on
	fillers []net.Conn
	ports   map[int]bool
	closed  <-chan struct{}
}

const (
	// fillWait: a connection to a listener on this machine that is not up by then is not going to be.
	fillWait = 60 * time.Millisecond
	// fillMost: a queue for none takes one or two.
	fillMost = 4
	// backlog of a listener that is not mute.
	backlog = 1024
)

func newMute(l *net.TCPListener, closed <-chan struct{}) *mute {
	return &mute{l: l, closed: closed, asleep: make(chan struct{}, 1), ports: map[int]bool{}}
}

// rest is where the accepting loop waits while the listener is mute; false: it is over.
func (m *mute) rest() bool {
	m.mu.Lock()
	again := m.again
	m.mu.Unlock()
	if again == nil {
		return true
	}
	m.asleep <- struct{}{}
	select {
	case <-again:
		return true
	case <-m.closed:
		return false
	}
}

// filler tells whether a connection is one of those that filled the queue.
func (m *mute) filler(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	port := c.RemoteAddr().(*net.TCPAddr).Port
	is := m.ports[port]
	delete(m.ports, port)
	return is
}

func (m *mute) room(n int) {
	if raw, err := m.l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// set makes the listener mute, or lets it hear again; it tells whether it has just become mute. Only one goroutine calls it.
func (m *mute) set(on bool) bool {
	if on == m.on {
		return false
	}
	if m.on = on; !on {
		for _, c := range m.fillers {
			c.Close()
		}
		m.fillers = nil
		m.room(backlog)
		m.l.SetDeadline(time.Time{})
		m.mu.Lock()
		close(m.again)
		m.again = nil
		m.mu.Unlock()
		return false
	}
	m.mu.Lock()
	m.again = make(chan struct{})
	m.mu.Unlock()
	m.l.SetDeadline(time.Unix(1, 0))
	select {
	case <-m.asleep:
	case <-m.closed:
		return true
	}
	m.room(0)
	for range fillMost {
		m.mu.Lock() // no connection of ours is accepted before its port is known
		c, err := net.DialTimeout("tcp", m.l.Addr().String(), fillWait)
		if err == nil {
			m.fillers = append(m.fillers, c)
			m.ports[c.LocalAddr().(*net.TCPAddr).Port] = true
		}
		m.mu.Unlock()
		if err != nil {
			break
		}
	}
	return true
}
