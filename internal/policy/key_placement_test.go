package policy

import "testing"

func TestHotKeyGetsSeveralPlaces(t *testing.T) {
	shared := &sharedState{}
	traffic := &trafficEstimate{meanCost: float64(10 * millisecond)}
	placement := newKeyPlacement(shared, traffic, Instance{KeyAffinity: true, Agents: 1})
	countPositions := func(key uint64, interval Micros) int {
		positions := map[uint64]bool{}
		for range 100 {
			shared.now += interval
			positions[placement.ringPosition(&request{RequestArrived: RequestArrived{Key: key}})] = true
		}
		return len(positions)
	}
	if got := countPositions(1, second); got != 1 {
		t.Errorf("a key that is requested once per second has %d ring positions, want 1", got)
	}
	if got := countPositions(2, 5*millisecond); got < 3 {
		t.Errorf("a key that is requested every 5 ms has %d ring positions, want at least 3", got)
	}
}

func TestRequestsWithoutAffinityArePlacedByID(t *testing.T) {
	placement := newKeyPlacement(&sharedState{}, &trafficEstimate{meanCost: 1}, Instance{Agents: 1})
	first := placement.ringPosition(&request{RequestArrived: RequestArrived{ID: 1, Key: 5}})
	second := placement.ringPosition(&request{RequestArrived: RequestArrived{ID: 2, Key: 5}})
	if first == second {
		t.Error("two requests with the same key have the same ring position, want different ones without key affinity")
	}
}
