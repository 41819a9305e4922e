package tcpconn

import "sync"

// UnreadTracker tracks a set of connections and reports whether any of them has input that its reader has not processed. It may be used by
// any goroutine.
type UnreadTracker struct {
	mu   sync.Mutex
	open map[*ResetConn]bool
}

// NewUnreadTracker returns a tracker without connections. Dial adds them.
func NewUnreadTracker() *UnreadTracker { return &UnreadTracker{open: map[*ResetConn]bool{}} }

// HasUnread reports whether any of the connections may have input that its reader has not processed. This is the case if the connection's
// reader is not in Read, or if the connection has unread input.
func (t *UnreadTracker) HasUnread() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		if !conn.isReading.Load() || !IsOpenWithoutInput(conn) {
			return true
		}
	}
	return false
}

func (t *UnreadTracker) add(conn *ResetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = true
}

func (t *UnreadTracker) remove(conn *ResetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
}
