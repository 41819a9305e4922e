package agent

import (
	"slices"
	"sync"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"
)

const (
	// readerGrace is how long the readers of the endpoint list and of rollout updates get after a stall before requests are handled.
	readerGrace = 20 * time.Millisecond
	// maxReaderWait bounds the wait for readers that have not yet handed all arrived input to the loop. readerGrace alone is too short for
	// readers that wait behind hundreds of requests on a fully loaded core.
	maxReaderWait = 500 * time.Millisecond
	// unreadPollInterval is how often the connections are checked for unread input while the loop waits for the readers.
	unreadPollInterval = time.Millisecond
)

// stallGuard detects that the process has stalled, by a timer that is late by more than upstream.StallThreshold. It then waits until the
// readers have handed the loop the endpoint list changes and rollout updates that arrived during the stall, because requests must not be
// routed by outdated state. It guards against everything that stops an agent, such as a frozen machine or a core on which the process is
// not scheduled. Timers may also be late on a core that is merely fully loaded; the guard then delays requests a little.
//
// Readers may be added by any goroutine; the other methods are for the loop's goroutine, which sleeps in them after a stall.
type stallGuard struct {
	unread *tcpconn.UnreadTracker // the connections on which the endpoint list and rollout updates arrive

	mutex   sync.Mutex
	readers []func(Barrier) // the goroutines that read from those connections; guarded by mutex

	lateTimer policy.Micros // due time of the late timer after which the loop last waited for the readers
}

func newStallGuard() stallGuard { return stallGuard{unread: tcpconn.NewUnreadTracker()} }

// addReader registers a goroutine that hands the endpoint list or rollout updates to the loop; see Loop.AddReader.
func (g *stallGuard) addReader(flush func(Barrier)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.readers = append(g.readers, flush)
}

// waitAfterStall waits for the readers if the next timer is late by more than upstream.StallThreshold, once for each late timer.
func (g *stallGuard) waitAfterStall(timers *timerQueue, clock Clock) {
	at, found := timers.next()
	if !found || at == g.lateTimer {
		return
	}
	if clock.Now()-at > upstream.StallThreshold.Microseconds() {
		g.lateTimer = at
		g.waitForReaders()
	}
}

// waitForReaders waits until all input that had arrived before the call has been handed to the loop, for about maxReaderWait at most.
func (g *stallGuard) waitForReaders() {
	time.Sleep(readerGrace)
	end := time.Now().Add(maxReaderWait)
	for g.unread.HasUnread() && time.Now().Before(end) {
		time.Sleep(unreadPollInterval)
	}
	g.mutex.Lock()
	readers := slices.Clone(g.readers)
	g.mutex.Unlock()
	for _, flush := range readers {
		done := make(chan struct{})
		flush(Barrier{done})
		select {
		case <-done:
		case <-time.After(time.Until(end)):
		}
	}
}
