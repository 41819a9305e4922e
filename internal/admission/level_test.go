package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// The lowest start stands first, whatever wakes, pays and sleeps, and each flow knows its place.
func TestLevelKeepsTheLowestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l level
		l.init(8)
		flows := make([]flowOf, 40)
		for i := range flows {
			flows[i].place = -1
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f := &flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")]
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case f.place < 0:
				l.wake(f)
			case what == 0:
				l.sleep(f)
			default:
				l.pay(f, rapid.Float64Range(0, 5).Draw(t, "cost"), what < 3)
			}
			there := 0
			for i := range flows {
				if f := &flows[i]; f.place >= 0 {
					there++
					if r := l.active[f.place]; r.flowOf != f || r.start != f.start {
						t.Fatalf("flow %d is not at its place %d", i, f.place)
					}
					if f.start < l.active[0].start {
						t.Fatalf("flow %d starts at %v, before the first, %v", i, f.start, l.active[0].start)
					}
				}
			}
			if there != len(l.active) {
				t.Fatalf("%d flows stand in it, %d have a place", len(l.active), there)
			}
		}
	})
}
