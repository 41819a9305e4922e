package admission

import "testing"

func newTestWaiting() *waitingRequests {
	return &waitingRequests{queues: newFairQueues(Config{
		Classes: testClasses(),
		Tenants: []Tenant{{1}},
		Limits:  Limits{Queues: 4},
	}, 7)}
}

// A retry that follows an earlier attempt has a wait deadline. It is not served before the earlier attempt has finished, and is then
// queued like any other request.
func TestFollowerWaitsForItsLeader(t *testing.T) {
	waiting := newTestWaiting()
	leader := &trackedRequest{state: stateInProgress}
	follower := &trackedRequest{cost: 1, waitDeadline: second}
	waiting.follow(leader, follower)
	if waiting.count != 1 || waiting.deadlines.count != 1 || leader.follower != follower {
		t.Errorf("got %d waiting requests, %d with a deadline, follower %p, want one request, the follower", waiting.count, waiting.deadlines.count, leader.follower)
	}
	if next := waiting.dequeue(); next != nil {
		t.Errorf("got next request %+v, want none while the earlier attempt is in progress", next)
	}
	if candidate := waiting.evictionCandidate(); candidate != follower {
		t.Errorf("got eviction candidate %p, want the follower, since the queues are empty", candidate)
	}
	waiting.enqueueFollower(follower)
	if leader.follower != nil || follower.leader != nil {
		t.Error("leader and follower still refer to each other")
	}
	if next := waiting.dequeue(); next != follower {
		t.Errorf("got next request %p, want the follower", next)
	}
	if waiting.count != 0 || waiting.deadlines.count != 0 {
		t.Errorf("got %d waiting requests, %d with a deadline, want none", waiting.count, waiting.deadlines.count)
	}
}

// However a request is removed, neither the queues nor the timing wheel still hold it.
func TestRemovedRequestsLeaveNothingBehind(t *testing.T) {
	for name, takeOut := range map[string]func(*waitingRequests, *trackedRequest){
		"removed":      (*waitingRequests).remove,
		"out of order": (*waitingRequests).dequeueOutOfOrder,
		"served":       func(w *waitingRequests, _ *trackedRequest) { w.dequeue() },
		"replaced": func(w *waitingRequests, old *trackedRequest) {
			replacement := &trackedRequest{cost: 3, waitDeadline: second}
			w.replace(old, replacement)
			if w.count != 1 || w.deadlines.count != 1 || w.queues.tenants[0].waitingCost != 3 {
				t.Errorf("replaced: got %d waiting requests with cost %v, want the replacement with cost 3", w.count, w.queues.tenants[0].waitingCost)
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
			t.Errorf("%s: got %d waiting requests, %d with a deadline, %d queued with cost %v, want none",
				name, waiting.count, waiting.deadlines.count, tenant.waitingCount, tenant.waitingCost)
		}
	}
}
