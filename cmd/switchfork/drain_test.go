package main

import (
	"context"
	"testing"
	"time"
)

// A slow handover of the leadership does not delay the drain of requests. drainAndPassLeadership waits for the handover until the
// timeout.
func TestDrainDoesNotWaitForLeadership(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	began, drained, hasPassed := make(chan struct{}), make(chan struct{}), false
	err := drainAndPassLeadership(ctx, func(context.Context) {
		select {
		case <-began:
		case <-ctx.Done():
			t.Error("the drain of requests waited for the handover of the leadership")
		}
		<-drained
		hasPassed = true
	}, func(context.Context) error {
		close(began)
		close(drained)
		return nil
	})
	if err != nil || !hasPassed {
		t.Errorf("got error %v, leadership handed over: %v, want no error and true", err, hasPassed)
	}
	ctx, stop = context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	stuck := func(context.Context) { select {} }
	drain := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	if err := drainAndPassLeadership(ctx, stuck, drain); err == nil {
		t.Error("got no error from a drain that timed out")
	}
}
