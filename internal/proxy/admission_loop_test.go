package proxy

import (
	"context"
	"testing"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// testAdmission is an admission loop in front of an event loop with a scripted router.
type testAdmission struct {
	*agenttest.Rig
	loop *AdmissionLoop
}

// newTestAdmission starts an admission loop with the given limits for one class and one tenant.
func newTestAdmission(t *testing.T, limits admission.Limits, coalesces bool) *testAdmission {
	t.Helper()
	rig := agenttest.NewRig(t, time.Second)
	clock := agent.NewClock()
	classes := []admission.RequestClass{{LatencyObjective: 10_000_000, Timeout: 20_000_000, PriorityWeight: 1, Keyed: true}}
	tenants := []admission.Tenant{{Weight: 1}}
	controller := admission.New(admission.Config{
		Classes:         classes,
		Tenants:         tenants,
		Limits:          limits,
		RetryAfter:      admission.RetryAfterLimits{Max: 500_000},
		CoalesceRetries: coalesces,
		Seed:            1,
	})
	admissionRig := &testAdmission{rig, NewAdmissionLoop(controller, clock, rig.Loop)}
	go admissionRig.loop.Serve(rig.Context())
	return admissionRig
}

// arrive sends a request to the admission loop and returns the channel of its reply.
func (g *testAdmission) arrive(id, key uint64) <-chan agent.Reply {
	request := agent.NewRequest(agenttest.KeyedRequest, time.Now().Add(agenttest.WaitTimeout), nil)
	deadline := g.loop.clock.At(request.Deadline)
	g.loop.mailbox.Put(requestArrival{
		arrival: admission.Arrival{ID: id, Client: id, Key: key, Deadline: deadline, Bytes: 100},
		event:   policy.RequestArrived{ID: id, Key: key, Deadline: deadline},
		request: request,
	})
	return request.Replies()
}

// status asks the admission loop for its status.
func (g *testAdmission) status() AdmissionStatus { return g.loop.Status(context.Background()) }

// admitted returns how many requests the router has received.
func (g *testAdmission) admitted() int { return len(agenttest.Events[policy.RequestArrived](g.Router)) }

// A retry is not admitted while the request that it repeats is in progress. It is admitted once that request is finished. A second retry
// takes over the queue position of the first.
func TestRetryOfRequestInProgress(t *testing.T) {
	rig := newTestAdmission(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, false)
	rig.arrive(1, 5)
	agenttest.Eventually(t, "the first request", func() bool { return rig.admitted() == 1 })
	rig.arrive(2, 5)
	if status := rig.status(); status.Rejoined != 1 || status.InProgress != 1 || status.Waiting != 1 {
		t.Fatalf("got status %+v after the retry, want one request rejoined, one in progress and one waiting", status)
	}
	if rig.admitted() != 1 {
		t.Fatal("two requests with one key were admitted")
	}
	third := rig.arrive(3, 5)
	if status := rig.status(); status.Rejoined != 2 || status.Waiting != 1 {
		t.Fatalf("got status %+v after the second retry, want two requests rejoined and one waiting", status)
	}
	rig.loop.mailbox.Put(requestCancelled{1}) // the first client disconnects; its request is finished once the router has received this event
	agenttest.Eventually(t, "the retry", func() bool { return rig.admitted() == 2 })
	if got := agenttest.Events[policy.RequestArrived](rig.Router)[1].ID; got != 3 {
		t.Errorf("request %d was admitted after the first one, want the last retry", got)
	}
	rig.loop.mailbox.Put(requestCancelled{3})
	agenttest.Eventually(t, "an empty admission loop", func() bool { status := rig.status(); return status.InProgress+status.Waiting == 0 })
	if len(third) != 0 {
		t.Error("a cancelled request was answered")
	}
	rig.arrive(4, 5)
	agenttest.Eventually(t, "a request after all are finished", func() bool { return rig.admitted() == 3 })
}

// With coalescing, a retry is not admitted. It gets the reply of the request that it repeats, even if that is a failure.
func TestRetryIsCoalesced(t *testing.T) {
	rig := newTestAdmission(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, true)
	first := rig.arrive(1, 5)
	agenttest.Eventually(t, "the first request", func() bool { return rig.admitted() == 1 })
	second := rig.arrive(2, 5)
	if status := rig.status(); status.Coalesced != 1 {
		t.Fatalf("got status %+v after the retry, want one request coalesced", status)
	}
	rig.Respond(func(event policy.Event) []policy.Command {
		if _, is := event.(policy.HealthCheckResult); is {
			return []policy.Command{policy.Fail{RequestID: 1}}
		}
		return nil
	})
	rig.Loop.Enqueue(policy.HealthCheckResult{})
	for name, ch := range map[string]<-chan agent.Reply{"first": first, "retry": second} {
		select {
		case r := <-ch:
			if r.Rejected || r.Response != nil {
				t.Errorf("the %s request got reply %+v, want a failure", name, r)
			}
		case <-time.After(agenttest.WaitTimeout):
			t.Errorf("the %s request was not answered", name)
		}
	}
	if rig.admitted() != 1 {
		t.Error("the retry was admitted")
	}
}

// A retry that has joined its first attempt is answered though the client of the first attempt has left: it is admitted by itself if no
// attempt is in flight. If its own client leaves, it is not admitted.
func TestJoinedRetryIsAnsweredWithoutItsFirstClient(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		rig := newTestAdmission(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, true)
		first := rig.arrive(1, 5)
		agenttest.Eventually(t, "the first request", func() bool { return rig.admitted() == 1 })
		second := rig.arrive(2, 5)
		rig.Respond(func(event policy.Event) []policy.Command {
			if arrived, ok := event.(policy.RequestArrived); ok {
				return []policy.Command{policy.Reject{RequestID: arrived.ID}}
			}
			return nil
		})
		if status := rig.status(); status.Joined != 1 {
			t.Fatalf("got status %+v after the retry, want one joined retry", status)
		}
		if leaves {
			rig.loop.mailbox.Put(requestCancelled{2})
		}
		rig.loop.mailbox.Put(requestCancelled{1})
		agenttest.Eventually(t, "an empty admission loop", func() bool { status := rig.status(); return status.InProgress+status.Waiting+status.Joined == 0 })
		wantReplies, wantAdmitted := 1, 2
		if leaves {
			wantReplies, wantAdmitted = 0, 1
		}
		if len(second) != wantReplies || len(first) != 0 || rig.admitted() != wantAdmitted {
			t.Errorf("client of the retry leaves %t: got %d replies to the retry, %d to the first attempt and %d requests admitted, want %d, 0 and %d",
				leaves, len(second), len(first), rig.admitted(), wantReplies, wantAdmitted)
		}
	}
}

// A queued request whose client disconnects is removed. A drain rejects all requests that can't be admitted before its deadline.
func TestCancelAndDrain(t *testing.T) {
	rig := newTestAdmission(t, admission.Limits{Requests: 40, Bytes: 1 << 20, Queues: 4}, false)
	for id := uint64(1); id <= 32; id++ { // 32 is the initial concurrency limit
		rig.arrive(id, id)
	}
	agenttest.Eventually(t, "the 32 requests that the limit admits", func() bool { return rig.admitted() == 32 })
	replies := map[uint64]<-chan agent.Reply{}
	for id := uint64(33); id <= 38; id++ {
		replies[id] = rig.arrive(id, id)
	}
	rig.loop.mailbox.Put(requestCancelled{33})
	if status := rig.status(); status.InProgress != 32 || status.Waiting != 5 {
		t.Fatalf("got status %+v after the cancellation, want 32 requests in progress and 5 waiting", status)
	}
	rig.loop.mailbox.Put(drainStarted{time.Now()})
	for id := uint64(34); id <= 38; id++ {
		select {
		case r := <-replies[id]:
			if !r.Rejected {
				t.Errorf("request %d got reply %+v, want a rejection", id, r)
			}
		case <-time.After(agenttest.WaitTimeout):
			t.Errorf("request %d was not answered", id)
		}
	}
	if len(replies[33]) > 0 {
		t.Error("a cancelled request was answered")
	}
}
