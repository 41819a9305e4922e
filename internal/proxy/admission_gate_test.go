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

// testGate is a core with a door before it, and a module that does as the test says.
type testGate struct {
	*agenttest.Rig
	gate *AdmissionGate
	t    *testing.T
}

func newTestGate(t *testing.T, room admission.Limits, same bool) *testGate {
	r := agenttest.NewRig(t, time.Second)
	clock := agent.NewClock()
	d := admission.New([]admission.RequestClass{{LatencyObjective: 10_000_000, Timeout: 20_000_000, PriorityWeight: 1, Keyed: true}}, []admission.Tenant{{Weight: 1}},
		room, admission.RetryAfterLimits{Max: 500_000}, same, 1)
	g := &testGate{r, NewAdmissionGate(d, clock, r.Loop), t}
	go g.gate.Serve(r.Context)
	return g
}

// arrive sends a txn to the door; its answer comes on the channel.
func (g *testGate) arrive(id, key uint64) <-chan agent.Reply {
	o := agent.NewRequest(agenttest.Posting, time.Now().Add(agenttest.Patience), nil)
	expires := g.gate.clock.At(o.Deadline)
	g.gate.mailbox.Put(requestArrival{
		arrival: admission.Arrival{ID: id, Client: id, Key: key, Deadline: expires, Bytes: 100},
		event:   policy.RequestArrived{ID: id, Key: key, Deadline: expires},
		request: o,
	})
	return o.Replies()
}

func (g *testGate) status() AdmissionStatus { return g.gate.Status(context.Background()) }

func (g *testGate) admitted() int { return len(agenttest.Events[policy.RequestArrived](g.Router)) }

// A next try does not go in while its first one is in, goes in when that is over, and takes over a place that waits.
func TestRetryOfRequestInProgress(t *testing.T) {
	g := newTestGate(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, false)
	g.arrive(1, 5)
	agenttest.Eventually(t, "the first try", func() bool { return g.admitted() == 1 })
	g.arrive(2, 5)
	if s := g.status(); s.Rejoined != 1 || s.InProgress != 1 || s.Waiting != 1 {
		t.Fatalf("next try stands as %+v", s)
	}
	if g.admitted() != 1 {
		t.Fatal("two of one reference are in")
	}
	third := g.arrive(3, 5)
	if s := g.status(); s.Rejoined != 2 || s.Waiting != 1 {
		t.Fatalf("third try stands as %+v", s)
	}
	g.gate.mailbox.Put(requestCancelled{1}) // the first one's client leaves: it is over when the module has heard so
	agenttest.Eventually(t, "the next try", func() bool { return g.admitted() == 2 })
	if got := agenttest.Events[policy.RequestArrived](g.Router)[1].ID; got != 3 {
		t.Errorf("%d went in after the first try, want the last one", got)
	}
	g.gate.mailbox.Put(requestCancelled{3})
	agenttest.Eventually(t, "an empty door", func() bool { s := g.status(); return s.InProgress+s.Waiting == 0 })
	if len(third) != 0 {
		t.Error("who left was answered")
	}
	g.arrive(4, 5)
	agenttest.Eventually(t, "a try after all is over", func() bool { return g.admitted() == 3 })
}

// With same-answer a next try gets its first one's answer, whatever it is, and nothing of its own goes in.
func TestRetryIsCoalesced(t *testing.T) {
	g := newTestGate(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, true)
	first := g.arrive(1, 5)
	agenttest.Eventually(t, "the first try", func() bool { return g.admitted() == 1 })
	second := g.arrive(2, 5)
	if s := g.status(); s.Coalesced != 1 {
		t.Fatalf("next try stands as %+v", s)
	}
	g.Respond(func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.HealthCheckResult); is {
			return []policy.Command{policy.Fail{RequestID: 1}}
		}
		return nil
	})
	g.Loop.Post(policy.HealthCheckResult{})
	for name, ch := range map[string]<-chan agent.Reply{"first": first, "next": second} {
		select {
		case r := <-ch:
			if r.Rejected || r.Response != nil {
				t.Errorf("the %s try was answered %+v, want void", name, r)
			}
		case <-time.After(agenttest.Patience):
			t.Errorf("the %s try was not answered", name)
		}
	}
	if g.admitted() != 1 {
		t.Error("the next try went in by itself")
	}
}

// A client that leaves the queue is forgotten, and a drain answers all who will not get in.
func TestGateCancelAndDrain(t *testing.T) {
	g := newTestGate(t, admission.Limits{Requests: 40, Bytes: 1 << 20, Queues: 4}, false)
	for id := uint64(1); id <= 32; id++ { // as many as go in at first
		g.arrive(id, id)
	}
	agenttest.Eventually(t, "a full house", func() bool { return g.admitted() == 32 })
	replies := map[uint64]<-chan agent.Reply{}
	for id := uint64(33); id <= 38; id++ {
		replies[id] = g.arrive(id, id)
	}
	g.gate.mailbox.Put(requestCancelled{33})
	if s := g.status(); s.InProgress != 32 || s.Waiting != 5 {
		t.Fatalf("stands as %+v", s)
	}
	g.gate.mailbox.Put(drainStarted{time.Now()})
	for id := uint64(34); id <= 38; id++ {
		select {
		case r := <-replies[id]:
			if !r.Rejected {
				t.Errorf("%d was answered %+v", id, r)
			}
		case <-time.After(agenttest.Patience):
			t.Errorf("%d was not answered", id)
		}
	}
	if len(replies[33]) > 0 {
		t.Error("who left was answered")
	}
}
