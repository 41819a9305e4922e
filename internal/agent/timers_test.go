package agent

import (
	"slices"
	"testing"

	"switchfork/internal/policy"
)

// Timers with equal times fire in the order in which they were set. Each timer used to be inserted before the timers with the same time, so
// that equal timers fired in reverse order. The policy sets timers without tokens, so it can't distinguish equal timers. A policy that sets
// tokens would act on its timers in the wrong order.
func TestEqualTimersKeepTheirOrder(t *testing.T) {
	var timers timerQueue
	for token, at := range []policy.Micros{20, 10, 20, 10, 20, 5} {
		timers.set(policy.SetTimer{At: at, Token: uint64(token)})
	}
	var order []uint64
	for _, timer := range timers {
		order = append(order, timer.Token)
	}
	if want := []uint64{5, 1, 3, 0, 2, 4}; !slices.Equal(order, want) {
		t.Errorf("got timers in the order %v, want %v", order, want)
	}
}

// A timer is removed from the queue once it has expired, and not before.
func TestExpiredTimersAreTakenOut(t *testing.T) {
	var timers timerQueue
	if at, found := timers.next(); found {
		t.Errorf("an empty queue has a timer at %d", at)
	}
	for token, at := range []policy.Micros{30, 10, 20} {
		timers.set(policy.SetTimer{At: at, Token: uint64(token)})
	}
	if at, found := timers.next(); !found || at != 10 {
		t.Errorf("the next timer is at %d, found: %t; want 10", at, found)
	}
	var fired []uint64
	for {
		timer, found := timers.popExpired(20)
		if !found {
			break
		}
		fired = append(fired, timer.Token)
	}
	if want := []uint64{1, 2}; !slices.Equal(fired, want) || len(timers) != 1 {
		t.Errorf("at 20 the timers %v have expired and %d are left, want %v and one", fired, len(timers), want)
	}
}
