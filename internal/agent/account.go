package agent

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// This file owns an agent's account of what it did, one log line in a while: what many agents do together is counted from
// their logs (`switchfork-lab logs`). It must never be read by anything that acts.

// accountEvery bounds it to a line so often, and none while nothing was done.
const accountEvery = 5 * time.Second

// account counts since its last line.
type account struct {
	taken, settled, declined, voided, left                 int
	submissions, again, probes, votes, voteFull, calledOff int
	dials, listCalls                                       atomic.Int64 // counted by others than the core
	since                                                  time.Time
}

// say writes the line when it is due.
func (a *account) say(now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	if now.Sub(a.since) < accountEvery {
		return
	}
	dials, calls := a.dials.Swap(0), a.listCalls.Swap(0)
	if a.taken+a.submissions+a.probes+a.votes > 0 || dials+calls > 0 {
		slog.Info("account", "ms", now.Sub(a.since).Milliseconds(), "taken", a.taken, "settled", a.settled, "declined", a.declined,
			"voided", a.voided, "left", a.left, "submissions", a.submissions, "again", a.again, "called_off", a.calledOff, "probes", a.probes,
			"votes", a.votes, "vote_full", a.voteFull, "dials", dials, "list_calls", calls)
	}
	a.taken, a.settled, a.declined, a.voided, a.left = 0, 0, 0, 0, 0
	a.submissions, a.again, a.probes, a.votes, a.voteFull, a.calledOff = 0, 0, 0, 0, 0, 0
	a.since = now
}
