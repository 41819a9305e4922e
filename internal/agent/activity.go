package agent

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// activityInterval is the shortest time between two lines of the activity log.
const activityInterval = 5 * time.Second

// activityCounts are the counters that only the loop's goroutine touches.
type activityCounts struct {
	arrived, succeeded, rejected, failed, cancelledByClient                  int
	attempts, retries, healthChecks, votes, votesRejected, cancelledAttempts int
}

// activity counts what the agent has done since its last line in the log.
type activity struct {
	activityCounts
	dials, listCalls atomic.Int64 // counted by other goroutines than the loop's
	since            time.Time
}

// log writes a line when one is due, and none where nothing was done.
func (a *activity) log(now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	elapsed := now.Sub(a.since)
	if elapsed < activityInterval {
		return
	}
	dials, listCalls := a.dials.Swap(0), a.listCalls.Swap(0)
	if a.arrived+a.attempts+a.healthChecks+a.votes > 0 || dials+listCalls > 0 {
		slog.Info("activity", "interval_ms", elapsed.Milliseconds(), "arrived", a.arrived, "succeeded", a.succeeded, "rejected", a.rejected,
			"failed", a.failed, "cancelled_by_client", a.cancelledByClient, "attempts", a.attempts, "retries", a.retries,
			"cancelled_attempts", a.cancelledAttempts, "health_checks", a.healthChecks, "votes", a.votes, "votes_rejected", a.votesRejected,
			"dials", dials, "list_calls", listCalls)
	}
	a.activityCounts = activityCounts{}
	a.since = now
}
