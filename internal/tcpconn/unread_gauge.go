package tcpconn

import "sync"

// UnreadGauge tells whether input has arrived on a set of connections that their readers have not handed on. It may be used by any
// goroutine.
type UnreadGauge struct {
	mu   sync.Mutex
	open map[*ResetConn]bool
}

// NewUnreadGauge makes a gauge of no connections; Dial adds them.
func NewUnreadGauge() *UnreadGauge { return &UnreadGauge{open: map[*ResetConn]bool{}} }

// HasUnread tells whether something has arrived that its reader has not handed on yet.
func (g *UnreadGauge) HasUnread() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.open {
		if !conn.isReading.Load() || !IsOpenWithoutInput(conn) {
			return true
		}
	}
	return false
}

func (g *UnreadGauge) add(conn *ResetConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[conn] = true
}

func (g *UnreadGauge) remove(conn *ResetConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, conn)
}
