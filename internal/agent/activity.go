package agent

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// activityInterval bounds it to a line so often, and none while nothing was done.
const activityInterval = 5 * time.Second

// activity counts since its last line.
type activity struct {
	arrived, succeeded, rejected, failed, cancelledByClient                  int
	attempts, retries, healthChecks, votes, votesRejected, cancelledAttempts int
	dials, listCalls                                                         atomic.Int64 // counted by others than the core
	since                                                                    time.Time
}

// log writes the line when it is due.
func (a *activity) log(now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	if now.Sub(a.since) < activityInterval {
		return
	}
	dials, calls := a.dials.Swap(0), a.listCalls.Swap(0)
	if a.arrived+a.attempts+a.healthChecks+a.votes > 0 || dials+calls > 0 {
		slog.Info("account", "ms", now.Sub(a.since).Milliseconds(), "taken", a.arrived, "settled", a.succeeded, "declined", a.rejected,
			"voided", a.failed, "left", a.cancelledByClient, "submissions", a.attempts, "again", a.retries, "called_off", a.cancelledAttempts, "probes", a.healthChecks,
			"votes", a.votes, "vote_full", a.votesRejected, "dials", dials, "list_calls", calls)
	}
	a.arrived, a.succeeded, a.rejected, a.failed, a.cancelledByClient = 0, 0, 0, 0, 0
	a.attempts, a.retries, a.healthChecks, a.votes, a.votesRejected, a.cancelledAttempts = 0, 0, 0, 0, 0, 0
	a.since = now
}
