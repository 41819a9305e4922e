package simulation

import "container/heap"

// Units of simulated time, which is counted in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
	// never is later than any event.
	never = int64(1) << 60
)

// timeline holds the simulated time and the scheduled events.
type timeline struct {
	now      int64
	sequence int
	events   eventHeap
}

// schedule schedules do for the time at, or for the current time if at has passed. Events of the same time run in the order in
// which they were scheduled.
func (t *timeline) schedule(at int64, do func()) {
	t.sequence++
	heap.Push(&t.events, event{at: max(at, t.now), sequence: t.sequence, do: do})
}

// runUntil runs all events up to and including the time end, and the events that these schedule up to then.
func (t *timeline) runUntil(end int64) {
	for len(t.events) > 0 && t.events[0].at <= end {
		next := t.pop()
		t.now = next.at
		next.do()
	}
}

// pop removes and returns the next event. There must be one.
func (t *timeline) pop() event { return heap.Pop(&t.events).(event) }

// event is a function that runs when the simulated time reaches at.
type event struct {
	at       int64
	sequence int
	do       func()
}

// eventHeap implements heap.Interface with the earliest event on top.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
