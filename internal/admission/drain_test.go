package admission

import "testing"

// Without an announcement, isOver and endsBefore are false for any time. After it, isOver is true from the deadline on, and
// endsBefore is true for times after the deadline.
func TestDrainDeadline(t *testing.T) {
	var d drain
	if d.isAnnounced() || d.isOver(second) || d.endsBefore(second) {
		t.Errorf("without an announcement: got announced %t, over %t, ends before %t, want false for all", d.isAnnounced(), d.isOver(second), d.endsBefore(second))
	}
	d.announce(second)
	for now, want := range map[Micros]struct{ isOver, endsBefore bool }{
		second - 1: {false, false},
		second:     {true, false},
		second + 1: {true, true},
	} {
		if !d.isAnnounced() || d.isOver(now) != want.isOver || d.endsBefore(now) != want.endsBefore {
			t.Errorf("at %d: got over %t, ends before %t, want %+v", now, d.isOver(now), d.endsBefore(now), want)
		}
	}
	if d.announce(0); !d.isAnnounced() {
		t.Error("a drain with deadline 0 counts as not announced")
	}
}
