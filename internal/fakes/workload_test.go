package fakes

import (
	"testing"
	"time"
)

// A queue admits one request for each slot and each place in the queue, and one more for each request that leaves.
func TestRequestQueueBound(t *testing.T) {
	const slots = 2
	queue := newRequestQueue(slots)
	const room = slots * (1 + queueLengthPerSlot)
	for n := range room {
		if !queue.enter() {
			t.Fatalf("request %d was rejected, want %d admitted", n+1, room)
		}
	}
	if queue.enter() {
		t.Errorf("request was admitted after %d others, want it rejected", room)
	}
	queue.leave()
	if !queue.enter() || queue.enter() {
		t.Error("after one request has left, want exactly one more admitted")
	}
}

// The speed rises linearly from its initial fraction to full speed.
func TestSlowStartSpeed(t *testing.T) {
	work := newWorkload(0, 1)
	if got := work.speed(); got != 1 {
		t.Errorf("without a slow start: got speed %g, want 1", got)
	}
	for elapsed, want := range map[time.Duration]float64{0: 0.3, time.Hour: 0.65, 2 * time.Hour: 1, 3 * time.Hour: 1} {
		work.slowStart.Store(&slowStart{startedAt: time.Now().Add(-elapsed), initial: 0.3, duration: 2 * time.Hour})
		if got := work.speed(); got < want-0.01 || got > want+0.01 {
			t.Errorf("after %v of a slow start of 2h: got speed %g, want %g with a tolerance of 0.01", elapsed, got, want)
		}
	}
}

// The configured share of the requests fails, and the random draws depend on the seed alone.
func TestWorkloadErrorShare(t *testing.T) {
	const requests = 4000
	var failed [2]int
	for i := range failed {
		work := newWorkload(0, 7)
		work.errorsPerMille.Store(250)
		for range requests {
			if !work.do() {
				failed[i]++
			}
		}
	}
	if share := float64(failed[0]) / requests; failed[0] != failed[1] || share < 0.22 || share > 0.28 {
		t.Errorf("%v of %d requests failed in two runs with one seed, want the same number, 22 to 28 percent of them", failed, requests)
	}
}
