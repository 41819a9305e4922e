package policy

import "testing"

func TestHotKeyGetsSeveralPlaces(t *testing.T) {
	shared := &sharedState{}
	traffic := &trafficEstimate{meanCost: float64(10 * millisecond)}
	placement := newKeyPlacement(shared, traffic, Instance{KeyAffinity: true, Agents: 1})
	placesOf := func(key uint64, interval Micros) int {
		places := map[uint64]bool{}
		for range 100 {
			shared.now += interval
			places[placement.ringPosition(&request{RequestArrived: RequestArrived{Key: key}})] = true
		}
		return len(places)
	}
	if got := placesOf(1, second); got != 1 {
		t.Errorf("a key that is requested once a second has %d places, want 1", got)
	}
	if got := placesOf(2, 5*millisecond); got < 3 {
		t.Errorf("a key that would fill half of an endpoint has %d places, want several", got)
	}
}

func TestRequestsWithoutAffinityArePlacedByID(t *testing.T) {
	placement := newKeyPlacement(&sharedState{}, &trafficEstimate{meanCost: 1}, Instance{Agents: 1})
	first := placement.ringPosition(&request{RequestArrived: RequestArrived{ID: 1, Key: 5}})
	second := placement.ringPosition(&request{RequestArrived: RequestArrived{ID: 2, Key: 5}})
	if first == second {
		t.Error("two requests with one key have one place, though endpoints gain nothing by keys")
	}
}
