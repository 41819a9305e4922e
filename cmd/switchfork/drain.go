package main

import (
	"context"
	"log/slog"
	"time"
)

// A drain has to be over when SIGKILL comes: by the protocol no sooner than killDelay after the longest request timeout, which counts as
// maxDrainTimeout where it is longer. drainReserve is left for the log, and for an exit that the system is slow to notice.
const (
	killDelay       = 700 * time.Millisecond
	maxDrainTimeout = 3 * time.Second
	drainReserve    = 100 * time.Millisecond
)

// drain lets open requests finish and passes the leadership on, in the time that is left before the process is killed.
func (p *agentProcess) drain(ctx context.Context) {
	slog.Info("drain started")
	ctx, cancel := context.WithTimeout(ctx, p.drainTimeout())
	defer cancel()
	passLeadership := func(context.Context) {}
	if p.coordinator != nil {
		passLeadership = p.coordinator.coordinator.Leave
	}
	if err := drainAndPassLeadership(ctx, passLeadership, p.proxy.Drain); err != nil {
		slog.Warn("drain timed out with open requests", "err", err)
	}
	if p.admission != nil {
		p.admission.Close(ctx)
	}
}

// drainTimeout is the longest that a drain may take.
func (p *agentProcess) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.settings.classes {
		longest = max(longest, class.Timeout)
	}
	return min(longest, maxDrainTimeout) + killDelay - drainReserve
}

// drainAndPassLeadership does both at the same time: a leadership that is slow to pass, behind a disk or agents that are silent, would
// use up the time in which clients are still answered, and leave the requests that were accepted without an answer.
func drainAndPassLeadership(ctx context.Context, passLeadership func(context.Context), drain func(context.Context) error) error {
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		passLeadership(ctx)
	}()
	err := drain(ctx)
	select {
	case <-passed:
	case <-ctx.Done():
	}
	return err
}
