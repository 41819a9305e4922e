package main

import (
	"context"
	"testing"
	"time"
)

// A leadership that is slow to pass does not hold the drain up, and the end waits for it within the time.
func TestDrainDoesNotWaitForLeadership(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	began, drained, hasPassed := make(chan struct{}), make(chan struct{}), false
	err := drainAndPassLeadership(ctx, func(context.Context) {
		select {
		case <-began:
		case <-ctx.Done():
			t.Error("the drain waits for the leadership")
		}
		<-drained
		hasPassed = true
	}, func(context.Context) error {
		close(began)
		close(drained)
		return nil
	})
	if err != nil || !hasPassed {
		t.Errorf("drained with %v, leadership passed on: %v", err, hasPassed)
	}
	ctx, stop = context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	stuck := func(context.Context) { select {} }
	drain := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	if err := drainAndPassLeadership(ctx, stuck, drain); err == nil {
		t.Error("no error of a drain that ran out of time")
	}
}
