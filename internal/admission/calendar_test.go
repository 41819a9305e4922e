package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// The calendar holds the reserved cost, less the released cost, of all slots that have not passed. A map is the reference.
func TestCalendarHoldsReservedCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reservedTime calendar
		want := map[int64]float64{}
		current := rapid.Int64Range(0, 1000).Draw(t, "start")
		reservedTime.advance(current)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			slot := current + rapid.Int64Range(0, calendarSlots).Draw(t, "slot")
			cost := float64(rapid.IntRange(1, 1000).Draw(t, "cost"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				current += rapid.Int64Range(0, 2*calendarSlots).Draw(t, "passed")
				reservedTime.advance(current)
				for passed := range want {
					if passed < current {
						delete(want, passed)
					}
				}
			case 1:
				reservedTime.release(slot, cost)
				want[slot] = max(0, want[slot]-cost)
			case 2:
				reservedTime.release(current-1, cost) // a slot that has passed
			default:
				*reservedTime.at(slot) += cost
				want[slot] += cost
			}
			total := 0.0
			for slot, cost := range want {
				total += cost
				if got := *reservedTime.at(slot); got != cost {
					t.Fatalf("slot %d: got cost %v, want %v", slot, got, cost)
				}
			}
			if got := reservedTime.total(); got != total {
				t.Fatalf("got total cost %v, want %v", got, total)
			}
		}
	})
}
