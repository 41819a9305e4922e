package simulation

import (
	"slices"
	"testing"
)

// Events run in the order of their times. Events of the same time run in the order in which they were scheduled. Events after
// the end wait for a later run.
func TestTimelineRunsEventsInOrder(t *testing.T) {
	var line timeline
	var order []int
	for i, at := range []int64{20, 10, 20, 30, 10} {
		line.schedule(at, func() { order = append(order, i) })
	}
	line.runUntil(20)
	if want := []int{1, 4, 0, 2}; !slices.Equal(order, want) || line.now != 20 {
		t.Errorf("up to 20: ran %v, the time is %d, want %v and 20", order, line.now, want)
	}
	line.schedule(5, func() { order = append(order, 5) }) // the time has passed, so it runs at 20
	line.runUntil(30)
	if want := []int{1, 4, 0, 2, 5, 3}; !slices.Equal(order, want) || line.now != 30 {
		t.Errorf("up to 30: ran %v, the time is %d, want %v and 30", order, line.now, want)
	}
}
