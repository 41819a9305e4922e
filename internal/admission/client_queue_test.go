package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A queue serves its requests by priority and then by arrival, whichever requests are removed, and costThrough returns the right
// cost for each request.
func TestClientQueueServesByPriorityAndArrival(t *testing.T) {
	const priorityCount = 3
	rapid.Check(t, func(t *rapid.T) {
		var queue clientQueue
		queue.init(priorityCount)
		var reference []*trackedRequest // in the order of arrival
		for id := uint64(1); id <= uint64(rapid.IntRange(1, 60).Draw(t, "steps")); id++ {
			request := &trackedRequest{
				Arrival:    Arrival{ID: id},
				cost:       float64(rapid.IntRange(1, 100).Draw(t, "cost")),
				queuePlace: queuePlace{priority: rapid.IntRange(0, priorityCount-1).Draw(t, "priority")},
			}
			isAppended := len(reference) == 0 || rapid.IntRange(0, 2).Draw(t, "action") > 0
			if isAppended {
				queue.append(request)
				reference = append(reference, request)
			} else {
				removed := rapid.IntRange(0, len(reference)-1).Draw(t, "removed")
				queue.remove(reference[removed])
				reference = slices.Delete(reference, removed, removed+1)
			}
			checkServingOrder(t, &queue, reference)
		}
	})
}

func checkServingOrder(t *rapid.T, queue *clientQueue, arrived []*trackedRequest) {
	t.Helper()
	served := slices.Clone(arrived)
	slices.SortStableFunc(served, func(a, b *trackedRequest) int { return a.queuePlace.priority - b.queuePlace.priority })
	var first, last *trackedRequest
	if len(served) > 0 {
		first, last = served[0], served[len(served)-1]
	}
	if queue.first() != first || queue.last() != last || queue.length != len(served) {
		t.Fatalf("got %d requests, first %v, last %v, want %d, first %v, last %v", queue.length, queue.first(), queue.last(), len(served), first, last)
	}
	cost := 0.0
	for _, request := range served {
		cost += request.cost
		if got := queue.costThrough(request); got != cost {
			t.Fatalf("cost through request %d: got %v, want %v", request.ID, got, cost)
		}
	}
	if queue.cost != cost {
		t.Fatalf("cost of the queue: got %v, want %v", queue.cost, cost)
	}
}

// The replacement of a request takes the request's place in the list.
func TestRequestListReplacesInPlace(t *testing.T) {
	for replaced := range 3 {
		var list requestList
		var want []*trackedRequest
		for range 3 {
			request := new(trackedRequest)
			list.append(request)
			want = append(want, request)
		}
		replacement := new(trackedRequest)
		list.replace(want[replaced], replacement)
		want[replaced] = replacement
		var forwards, backwards []*trackedRequest
		for request := list.head; request != nil; request = request.queuePlace.next {
			forwards = append(forwards, request)
		}
		for request := list.tail; request != nil; request = request.queuePlace.previous {
			backwards = append(backwards, request)
		}
		slices.Reverse(backwards)
		if !slices.Equal(forwards, want) || !slices.Equal(backwards, want) {
			t.Errorf("request %d replaced: got %v forwards and %v backwards, want %v", replaced, forwards, backwards, want)
		}
	}
}
