package admission

import "testing"

// Without an announcement the process never ends; a deadline that is reached is over, and not yet before itself.
func TestDrainDeadline(t *testing.T) {
	var d drain
	if d.isAnnounced() || d.isOver(second) || d.endsBefore(second) {
		t.Errorf("without an announcement: announced %t, over %t, ends before %t", d.isAnnounced(), d.isOver(second), d.endsBefore(second))
	}
	d.announce(second)
	for now, want := range map[Micros]struct{ isOver, endsBefore bool }{
		second - 1: {false, false},
		second:     {true, false},
		second + 1: {true, true},
	} {
		if !d.isAnnounced() || d.isOver(now) != want.isOver || d.endsBefore(now) != want.endsBefore {
			t.Errorf("at %d: over %t, ends before %t, want %+v", now, d.isOver(now), d.endsBefore(now), want)
		}
	}
	if d.announce(0); !d.isAnnounced() {
		t.Error("an end at time 0 is not announced")
	}
}
