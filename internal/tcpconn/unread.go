package tcpconn

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

func IsQuiet(c any) (still bool) {
	sc, is := c.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		still = errors.Is(err, unix.EAGAIN)
	})
	return still
}

// UnreadGauge are the connections on which the list and the news come in.
type UnreadGauge struct {
	mu   sync.Mutex
	open map[*ResetConn]bool
}

// NewUnreadGauge makes a gauge of no connections.
func NewUnreadGauge() *UnreadGauge { return &UnreadGauge{open: map[*ResetConn]bool{}} }

func (f *UnreadGauge) remove(c *ResetConn) {
	f.mu.Lock()
	delete(f.open, c)
	f.mu.Unlock()
}

// HasUnread tells whether something has come in that its reader has not handed on yet.
func (f *UnreadGauge) HasUnread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		if !c.reading.Load() || !IsQuiet(c) {
			return true
		}
	}
	return false
}
