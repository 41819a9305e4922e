package main

import (
	"context"
	"log/slog"
	"time"
)

// A drain has to end before SIGKILL. By the platform's protocol, the time from SIGTERM to SIGKILL is at least killDelay plus the shorter of
// maxDrainTimeout and the longest request timeout. drainReserve leaves time for logging, and for a system that is slow to notice the exit.
const (
	killDelay       = 700 * time.Millisecond
	maxDrainTimeout = 3 * time.Second
	drainReserve    = 100 * time.Millisecond
)

// drain lets open requests finish and hands the leadership over to another agent, within the time that is left before SIGKILL.
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

// drainTimeout returns how long a drain may take.
func (p *agentProcess) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.settings.classes {
		longest = max(longest, class.Timeout)
	}
	return min(longest, maxDrainTimeout) + killDelay - drainReserve
}

// drainAndPassLeadership drains requests and hands the leadership over at the same time. A handover that is slow because of a disk or
// of agents that do not answer would otherwise use up the time for the drain, and accepted requests would get no answer.
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
