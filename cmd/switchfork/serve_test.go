package main

import (
	"context"
	"testing"
	"time"
)

// A lead that is slow to go does not hold the drain up, and the drain's end waits for it within the time.
func TestDepart(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	began, drained, left := make(chan struct{}), make(chan struct{}), false
	err := depart(ctx, func(context.Context) {
		select {
		case <-began:
		case <-ctx.Done():
			t.Error("the drain waits for the lead")
		}
		<-drained
		left = true
	}, func(context.Context) error {
		close(began)
		close(drained)
		return nil
	})
	if err != nil || !left {
		t.Errorf("departed with %v, lead passed on: %v", err, left)
	}
	ctx, stop = context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	if err := depart(ctx, func(context.Context) { select {} }, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }); err == nil {
		t.Error("nothing said of a drain that ran out")
	}
}
