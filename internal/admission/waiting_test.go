package admission

import "testing"

func newTestWaiting() *waitingRequests {
	return &waitingRequests{queues: newFairQueues(Config{
		Classes: testClasses(),
		Tenants: []Tenant{{1}},
		Limits:  Limits{Queues: 4},
	}, 7)}
}

// A retry that follows an earlier attempt waits with its deadline, is not served before the attempt ends, and then is as any other.
func TestFollowerWaitsForItsLeader(t *testing.T) {
	waiting := newTestWaiting()
	leader := &trackedRequest{state: stateInProgress}
	follower := &trackedRequest{cost: 1, waitDeadline: second}
	waiting.follow(leader, follower)
	if waiting.count != 1 || waiting.deadlines.count != 1 || leader.follower != follower {
		t.Errorf("%d wait, %d have a deadline, the leader's follower is %p; want the one follower", waiting.count, waiting.deadlines.count, leader.follower)
	}
	if next := waiting.dequeue(); next != nil {
		t.Errorf("%+v is served next, want none while the earlier attempt is in progress", next)
	}
	if candidate := waiting.evictionCandidate(); candidate != follower {
		t.Errorf("the eviction candidate is %p, want the follower, as the queues are empty", candidate)
	}
	waiting.enqueueFollower(follower)
	if leader.follower != nil || follower.leader != nil {
		t.Error("the two are still connected")
	}
	if next := waiting.dequeue(); next != follower {
		t.Errorf("%p is served next, want the follower", next)
	}
	if waiting.count != 0 || waiting.deadlines.count != 0 {
		t.Errorf("%d wait, %d have a deadline; want none", waiting.count, waiting.deadlines.count)
	}
}

// Whatever is taken out leaves neither a queued request nor a deadline behind.
func TestWaitingRequestsAreTakenOutWhole(t *testing.T) {
	for name, takeOut := range map[string]func(*waitingRequests, *trackedRequest){
		"removed":     (*waitingRequests).remove,
		"taken ahead": (*waitingRequests).dequeueOutOfTurn,
		"served":      func(w *waitingRequests, _ *trackedRequest) { w.dequeue() },
		"replaced": func(w *waitingRequests, old *trackedRequest) {
			replacement := &trackedRequest{cost: 3, waitDeadline: second}
			w.replace(old, replacement)
			if w.count != 1 || w.deadlines.count != 1 || w.queues.tenants[0].waitingCost != 3 {
				t.Errorf("replaced: %d wait with a cost of %v, want the replacement with 3", w.count, w.queues.tenants[0].waitingCost)
			}
			w.remove(replacement)
		},
	} {
		waiting := newTestWaiting()
		request := &trackedRequest{cost: 2, waitDeadline: second}
		waiting.enqueue(request)
		takeOut(waiting, request)
		tenant := waiting.queues.tenants[0]
		if waiting.count+waiting.deadlines.count+tenant.waitingCount != 0 || tenant.waitingCost != 0 || waiting.dequeue() != nil {
			t.Errorf("%s: %d wait, %d have a deadline, %d are queued with a cost of %v; want none",
				name, waiting.count, waiting.deadlines.count, tenant.waitingCount, tenant.waitingCost)
		}
	}
}
