package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// The flow with the lowest start tag is first in the heap, and each flow has the right heap index, whichever flows are activated,
// charged and deactivated.
func TestFairSchedulerServesLowestStartTagFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := newFairScheduler[int](8)
		flows := make([]fairFlow[int], 40)
		for i := range flows {
			flows[i].heapIndex = -1
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			flow := &flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")]
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case flow.heapIndex < 0:
				scheduler.activate(flow)
			case action == 0:
				scheduler.deactivate(flow)
			default:
				scheduler.charge(flow, rapid.Float64Range(0, 5).Draw(t, "cost"), action < 3)
			}
			activeCount := 0
			for i := range flows {
				if flow := &flows[i]; flow.heapIndex >= 0 {
					activeCount++
					if entry := scheduler.active[flow.heapIndex]; entry.flow != flow || entry.startTag != flow.startTag {
						t.Fatalf("flow %d is not at its heap index %d", i, flow.heapIndex)
					}
					if flow.startTag < scheduler.active[0].startTag {
						t.Fatalf("flow %d has start tag %v, which is lower than that of the first flow, %v", i, flow.startTag, scheduler.active[0].startTag)
					}
				}
			}
			if activeCount != len(scheduler.active) {
				t.Fatalf("the heap holds %d flows, but %d flows have a heap index", len(scheduler.active), activeCount)
			}
		}
	})
}
