package agent

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// activityInterval is the shortest time between two lines of the activity log.
const activityInterval = 5 * time.Second

// activityCounts holds the counters that only the loop's goroutine uses.
type activityCounts struct {
	arrived           int
	succeeded         int
	rejected          int
	failed            int
	cancelledByClient int

	attempts          int
	retries           int
	cancelledAttempts int
	healthChecks      int
	votes             int
	votesRejected     int
}

// activity counts what the agent has done in the current interval of the activity log.
type activity struct {
	activityCounts
	dials     atomic.Int64 // counted, like listCalls, by goroutines other than the loop's
	listCalls atomic.Int64
	since     time.Time // start of the current interval
}

// log ends the interval if it has lasted activityInterval. It writes a line unless nothing was done in the interval.
func (a *activity) log(now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	elapsed := now.Sub(a.since)
	if elapsed < activityInterval {
		return
	}
	dials := a.dials.Swap(0)
	listCalls := a.listCalls.Swap(0)
	if a.hasActivity() || dials+listCalls > 0 {
		slog.Info("activity", "interval_ms", elapsed.Milliseconds(), "arrived", a.arrived, "succeeded", a.succeeded, "rejected", a.rejected,
			"failed", a.failed, "cancelled_by_client", a.cancelledByClient, "attempts", a.attempts, "retries", a.retries,
			"cancelled_attempts", a.cancelledAttempts, "health_checks", a.healthChecks, "votes", a.votes, "votes_rejected", a.votesRejected,
			"dials", dials, "list_calls", listCalls)
	}
	a.activityCounts = activityCounts{}
	a.since = now
}

// hasActivity reports whether any request arrived, or any attempt, health check or vote was made.
func (c *activityCounts) hasActivity() bool {
	return c.arrived+c.attempts+c.healthChecks+c.votes > 0
}
