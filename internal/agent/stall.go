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
	// maxReaderWait bounds the wait for readers while input that has arrived is not handed on yet: behind hundreds of requests on a
	// full core, readerGrace alone is too short.
	maxReaderWait = 500 * time.Millisecond
	// unreadPollInterval is how often the unread input is looked at meanwhile.
	unreadPollInterval = time.Millisecond
)

// stallGuard notices that the process has stood still, by a timer that is late by more than a stall's time, and then waits until changes
// of the endpoint list and rollout updates that arrived meanwhile have been handed on: requests must not be routed by what was true
// before the stall. It guards against all that stops an agent, such as a frozen machine or a starved core, and costs a little where
// the core is merely full.
//
// Readers may be added by any goroutine; the other methods are for the loop's goroutine, which sleeps in them after a stall.
type stallGuard struct {
	unread *tcpconn.UnreadTracker // the connections on which the endpoint list and rollout updates arrive

	mutex   sync.Mutex
	readers []func(Barrier) // the goroutines that read from those connections; guarded by mutex

	lateTimer policy.Micros // the time of the late timer for which the readers were last waited for
}

func newStallGuard() stallGuard { return stallGuard{unread: tcpconn.NewUnreadTracker()} }

// addReader adds a goroutine that hands on the endpoint list or rollout updates.
func (g *stallGuard) addReader(flush func(Barrier)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.readers = append(g.readers, flush)
}

// waitAfterStall waits for the readers where the next timer is late by more than a stall's time, once for each late timer.
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

// waitForReaders waits until all input that had arrived is in the mailbox, at most about maxReaderWait.
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
