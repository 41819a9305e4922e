package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// A request expires at most two ticks before its deadline and never after it, whichever other requests are added and removed. A
// removed request does not expire.
func TestTimingWheelExpiresRequestsAtTheirDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wheel timingWheel
		now := rapid.Int64Range(0, 100*second).Draw(t, "start")
		wheel.expire(now, nil)
		contained := map[uint64]*trackedRequest{}
		for id := uint64(1); id <= uint64(rapid.IntRange(1, 200).Draw(t, "steps")); id++ {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				now += rapid.Int64Range(1, 3*tickInterval).Draw(t, "time")
			case 1:
				if removed, found := drawKey(t, contained, "removed"); found {
					wheel.remove(contained[removed])
					delete(contained, removed)
				}
			default:
				// The longest deadlines are beyond one turn of the wheel.
				wait := rapid.Int64Range(3*tickInterval, 2*timingWheelSlots*tickInterval).Draw(t, "wait")
				request := &trackedRequest{Arrival: Arrival{ID: id}, waitDeadline: now + wait}
				wheel.add(request)
				contained[id] = request
			}
			wheel.expire(now, func(request *trackedRequest) {
				if contained[request.ID] == nil {
					t.Fatalf("request %d expired, but it is not in the wheel", request.ID)
				}
				if request.waitDeadline-now > 2*tickInterval {
					t.Fatalf("request %d expired at %d, more than two ticks before its deadline %d", request.ID, now, request.waitDeadline)
				}
				wheel.remove(request)
				delete(contained, request.ID)
			})
			for _, request := range contained {
				if request.waitDeadline < now {
					t.Fatalf("request %d has not expired at %d, after its deadline %d", request.ID, now, request.waitDeadline)
				}
			}
			checkWheelContains(t, &wheel, contained)
		}
	})
}

func checkWheelContains(t *rapid.T, wheel *timingWheel, want map[uint64]*trackedRequest) {
	t.Helper()
	visited := map[uint64]int{}
	wheel.forEach(func(request *trackedRequest) { visited[request.ID]++ })
	if wheel.count != len(want) || len(visited) != len(want) {
		t.Fatalf("got count %d and %d visited requests, want %d", wheel.count, len(visited), len(want))
	}
	for id := range want {
		if visited[id] != 1 {
			t.Fatalf("request %d was visited %d times, want once", id, visited[id])
		}
	}
}

// The next tick is at most one tick interval away. An empty wheel has no next tick.
func TestTimingWheelNextTick(t *testing.T) {
	var wheel timingWheel
	if got := wheel.nextTick(25 * millisecond); got != 0 {
		t.Errorf("empty wheel: got next tick %d, want 0", got)
	}
	wheel.add(&trackedRequest{waitDeadline: second})
	for now, want := range map[Micros]Micros{20 * millisecond: 30 * millisecond, 25 * millisecond: 30 * millisecond} {
		if got := wheel.nextTick(now); got != want {
			t.Errorf("at %d: got next tick %d, want %d", now, got, want)
		}
	}
}
