package agent

import (
	"testing"

	"switchfork/internal/policy"
	"switchfork/internal/upstream"
)

// The loop waits for the readers once for each timer that is late by more than upstream.StallThreshold, and for no other timer.
func TestReadersAreWaitedForOncePerLateTimer(t *testing.T) {
	clock := NewClock()
	guard := newStallGuard()
	flushes := 0
	guard.addReader(func(barrier Barrier) {
		flushes++
		close(barrier.Done)
	})
	late := 2 * upstream.StallThreshold.Microseconds()
	for _, test := range []struct {
		name  string
		timer policy.Micros
		want  int
	}{
		{"a timer in time", clock.Now() + late, 0},
		{"a late timer", clock.Now() - late, 1},
		{"another late timer", clock.Now() - 2*late, 1},
	} {
		timers := timerQueue{{At: test.timer}}
		flushes = 0
		for range 3 {
			guard.waitAfterStall(&timers, clock)
		}
		if flushes != test.want {
			t.Errorf("%s: the readers were waited for %d times, want %d", test.name, flushes, test.want)
		}
	}
	flushes = 0
	guard.waitAfterStall(&timerQueue{}, clock)
	if flushes != 0 {
		t.Errorf("without a timer: the readers were waited for %d times, want 0", flushes)
	}
}
