package agent

import (
	"slices"
	"time"

	"switchfork/internal/upstream"
)

// After a stall, the readers of the endpoint list and of rollout updates get readerGrace before requests are handled, and up to
// maxReaderWait while input that has arrived is not handed on yet: behind hundreds of requests on a full core a short grace was not
// enough (scenario still-over-drain, 4 of 20 plays). It guards against all that stops an agent (a frozen machine, a starved core); it
// costs a little where the core is merely full.
const (
	readerGrace   = 20 * time.Millisecond
	maxReaderWait = 500 * time.Millisecond

	unreadPollInterval = time.Millisecond
)

// AddReader adds a goroutine that hands on the endpoint list or rollout updates. After a stall, flush is called with a barrier that the
// reader has to answer once it has handed on all that it had read.
func (l *Loop) AddReader(flush func(Barrier)) {
	l.readersMutex.Lock()
	defer l.readersMutex.Unlock()
	l.readers = append(l.readers, flush)
}

// handleUrgent handles endpoint list changes and rollout updates ahead of everything else. If the process has stalled, it first lets
// their readers catch up.
func (l *Loop) handleUrgent() {
	if l.hasStalled() {
		l.lateTimerWaited = l.timers[0].At
		l.waitForReaders()
	}
	for _, message := range l.urgent.Take(nil) {
		l.dispatch(message)
	}
}

// hasStalled tells whether the next timer is late by more than a stall's time. The readers are waited for once for each late timer.
func (l *Loop) hasStalled() bool {
	if len(l.timers) == 0 || l.timers[0].At == l.lateTimerWaited {
		return false
	}
	return l.clock.Now()-l.timers[0].At > upstream.StallThreshold.Microseconds()
}

// waitForReaders waits until all input that had arrived is in the mailbox, at most about maxReaderWait.
func (l *Loop) waitForReaders() {
	time.Sleep(readerGrace)
	end := time.Now().Add(maxReaderWait)
	for l.unread.HasUnread() && time.Now().Before(end) {
		time.Sleep(unreadPollInterval)
	}
	l.readersMutex.Lock()
	readers := slices.Clone(l.readers)
	l.readersMutex.Unlock()
	for _, flush := range readers {
		done := make(chan struct{})
		flush(Barrier{done})
		select {
		case <-done:
		case <-time.After(time.Until(end)):
		}
	}
}
