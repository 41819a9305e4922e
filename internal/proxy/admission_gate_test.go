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

// gated is a core with a door before it, and a module that does as the test says.
type gated struct {
	*agenttest.Rig
	gate *AdmissionGate
	t    *testing.T
}

func newGated(t *testing.T, room admission.Limits, same bool) *gated {
	r := agenttest.NewRig(t, time.Second)
	clock := agent.NewClock()
	d := admission.New([]admission.RequestClass{{LatencyObjective: 10_000_000, Timeout: 20_000_000, PriorityWeight: 1, Keyed: true}}, []admission.Tenant{{Weight: 1}},
		room, admission.RetryAfterLimits{Max: 500_000}, same, 1)
	g := &gated{r, NewAdmissionGate(d, clock, r.Loop), t}
	go g.gate.Serve(r.Context)
	return g
}

// knock sends a txn to the door; its answer comes on the channel.
func (g *gated) knock(id, key uint64) <-chan agent.Reply {
	o := agent.NewRequest(agenttest.Posting, time.Now().Add(agenttest.Patience), nil)
	expires := g.gate.clock.At(o.Deadline)
	g.gate.box.Put(knock{
		admission.Arrival{ID: id, Client: id, Key: key, Deadline: expires, Bytes: 100},
		policy.RequestArrived{ID: id, Key: key, Deadline: expires},
		o,
	})
	return o.Replies()
}

func (g *gated) standing() AdmissionStatus { return g.gate.Status(context.Background()) }

func (g *gated) taken() int { return len(agenttest.Events[policy.RequestArrived](g.Router)) }

// A next try does not go in while its first one is in, goes in when that is over, and takes over a place that waits.
func TestNextTryAtTheGate(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, false)
	g.knock(1, 5)
	agenttest.Eventually(t, "the first try", func() bool { return g.taken() == 1 })
	g.knock(2, 5)
	if s := g.standing(); s.Rejoined != 1 || s.InProgress != 1 || s.Waiting != 1 {
		t.Fatalf("next try stands as %+v", s)
	}
	if g.taken() != 1 {
		t.Fatal("two of one reference are in")
	}
	third := g.knock(3, 5)
	if s := g.standing(); s.Rejoined != 2 || s.Waiting != 1 {
		t.Fatalf("third try stands as %+v", s)
	}
	g.gate.box.Put(left{1}) // the first one's client leaves: it is over when the module has heard so
	agenttest.Eventually(t, "the next try", func() bool { return g.taken() == 2 })
	if got := agenttest.Events[policy.RequestArrived](g.Router)[1].ID; got != 3 {
		t.Errorf("%d went in after the first try, want the last one", got)
	}
	g.gate.box.Put(left{3})
	agenttest.Eventually(t, "an empty door", func() bool { s := g.standing(); return s.InProgress+s.Waiting == 0 })
	if len(third) != 0 {
		t.Error("who left was answered")
	}
	g.knock(4, 5)
	agenttest.Eventually(t, "a try after all is over", func() bool { return g.taken() == 3 })
}

// With same-answer a next try gets its first one's answer, whatever it is, and nothing of its own goes in.
func TestSameAnswerAtTheGate(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, true)
	first := g.knock(1, 5)
	agenttest.Eventually(t, "the first try", func() bool { return g.taken() == 1 })
	second := g.knock(2, 5)
	if s := g.standing(); s.Coalesced != 1 {
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
	if g.taken() != 1 {
		t.Error("the next try went in by itself")
	}
}

// A client that leaves the queue is forgotten, and a drain answers all who will not get in.
func TestLeavingAndDraining(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 40, Bytes: 1 << 20, Queues: 4}, false)
	for id := uint64(1); id <= 32; id++ { // as many as go in at first
		g.knock(id, id)
	}
	agenttest.Eventually(t, "a full house", func() bool { return g.taken() == 32 })
	replies := map[uint64]<-chan agent.Reply{}
	for id := uint64(33); id <= 38; id++ {
		replies[id] = g.knock(id, id)
	}
	g.gate.box.Put(left{33})
	if s := g.standing(); s.InProgress != 32 || s.Waiting != 5 {
		t.Fatalf("stands as %+v", s)
	}
	g.gate.box.Put(drain{time.Now()})
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
