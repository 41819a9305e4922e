package agent

import (
	"slices"
	"testing"

	"switchfork/internal/policy"
)

// Timers with equal times fire in the order in which they were set. What happened: each was inserted before those of the same time, so
// that they fired in reverse. The policy sets timers without a token, which can't be told apart; one with tokens would act out of order.
func TestEqualTimersKeepTheirOrder(t *testing.T) {
	loop := NewLoop(nil, NewClock())
	for token, at := range []policy.Micros{20, 10, 20, 10, 20, 5} {
		loop.setTimer(policy.SetTimer{At: at, Token: uint64(token)})
	}
	var order []uint64
	for _, timer := range loop.timers {
		order = append(order, timer.Token)
	}
	if want := []uint64{5, 1, 3, 0, 2, 4}; !slices.Equal(order, want) {
		t.Errorf("fire in the order %v, want %v", order, want)
	}
}
