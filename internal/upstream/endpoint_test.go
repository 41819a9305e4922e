package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/connlimit"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// These hold appliances' connections to their word: what happens between a submission's order and its last byte, and between an
// answer and the next submission.

// heldDials has each dial to an appliance stand still before it connects, until let is called.
func heldDials(t *testing.T, r *agenttest.Rig) (stands chan struct{}, let func()) {
	stands, gate := make(chan struct{}, 8), make(chan struct{})
	r.Pool.SetDialControl(func(string, string, syscall.RawConn) error {
		stands <- struct{}{}
		<-gate
		return nil
	})
	let = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(let)
	return stands, let
}

// order hands a txn in, and has it submitted to the only appliance in the given way; its answer comes on the channel. What ends
// unsettled is voided.
func order(r *agenttest.Rig, id uint64, p *protocol.EncodedRequest, with policy.SendAttempt) <-chan agent.Reply {
	r.Respond(func(ev policy.Event) []policy.Command {
		switch ev := ev.(type) {
		case policy.RequestArrived:
			with.RequestID, with.EndpointID = ev.ID, protocol.EndpointID("box")
			return []policy.Command{with}
		case policy.AttemptResult:
			if !ev.RequestDone {
				return []policy.Command{policy.Fail{RequestID: ev.RequestID}}
			}
		}
		return nil
	})
	o := agent.NewRequest(p, time.Now().Add(agenttest.Patience), nil)
	r.Loop.Admit(policy.RequestArrived{ID: id}, o)
	return o.Replies()
}

// moot waits for a txn's answer, and wants its submission never sent.
func moot(t *testing.T, r *agenttest.Rig, answer <-chan agent.Reply) {
	t.Helper()
	select {
	case <-answer:
	case <-time.After(agenttest.Patience / 2):
		t.Fatal("its submission still waits for the connection")
	}
	r.Loop.Flush(r.Context)
	if ended := agenttest.Events[policy.AttemptResult](r.Router); len(ended) != 1 || ended[0].Outcome != policy.NotAttempted {
		t.Fatalf("ended as %+v", ended)
	}
}

// While a connection comes up the list may change. What was ordered before is not written then: the process that answers may drain,
// may have gone, or may be another.
func TestListChangesWhileAConnectionComesUp(t *testing.T) {
	was := protocol.ListEntry{Host: "box", Site: "suva", Health: "active", BornMs: 5, Build: 1}
	for name, change := range map[string]func(e *protocol.ListEntry, other string){
		"drains":          func(e *protocol.ListEntry, _ string) { e.Health = "leaving" },
		"is gone":         func(e *protocol.ListEntry, _ string) { e.Health = "left" },
		"has other build": func(e *protocol.ListEntry, _ string) { e.Build = 2 },
		"has started":     func(e *protocol.ListEntry, _ string) { e.BornMs = 6 },
		"has moved":       func(e *protocol.ListEntry, other string) { e.Dial = other },
	} {
		t.Run(name, func(t *testing.T) {
			b, other := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
			r := agenttest.NewRig(t, agenttest.Patience)
			stands, let := heldDials(t, r)
			was.Dial = b.Addr()
			r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{was}})
			answer := order(r, 1, agenttest.Posting, policy.SendAttempt{})
			<-stands
			now := was
			change(&now, other.Addr())
			r.Publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{now}})
			moot(t, r, answer)
			let()
			// A connection that comes up now carries nothing: the next txn is the first that either hears of.
			next := was
			next.Dial, next.BornMs, next.Build = other.Addr(), 7, 3
			r.Publish(protocol.List{Seq: 3, Hosts: []protocol.ListEntry{next}})
			if got := <-order(r, 2, agenttest.Posting, policy.SendAttempt{}); got.Response == nil {
				t.Fatalf("the next txn ended as %+v", got)
			}
			if n, m := len(b.Requests()), len(other.Requests()); n != 0 || m != 1 {
				t.Errorf("%d and %d copies arrived", n, m)
			}
		})
	}
}

// A repeat that its group would no longer drop is not written: neither when its connection comes up late, nor when its turn comes late.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, agenttest.Patience)
	stands, let := heldDials(t, r)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	answer := order(r, 1, agenttest.Posting, policy.SendAttempt{WriteBefore: r.Loop.Clock().At(time.Now().Add(30 * time.Millisecond))})
	<-stands
	moot(t, r, answer)
	let()
	if got := <-order(r, 2, agenttest.Posting, policy.SendAttempt{WriteBefore: r.Loop.Clock().At(time.Now().Add(agenttest.Patience))}); got.Response == nil {
		t.Fatalf("one that is in time ended as %+v", got)
	}
	if got := <-order(r, 3, agenttest.Posting, policy.SendAttempt{WriteBefore: r.Loop.Clock().Now() - 1}); got.Response != nil {
		t.Error("one that is too late was settled")
	}
	if n := len(b.Requests()); n != 1 {
		t.Errorf("%d copies arrived", n)
	}
}

// A second answer that comes some time after the first never meets the next txn: the connection rests first, and is looked at then.
func TestSecondAnswerComesLate(t *testing.T) {
	var c net.Conn // the first txn's
	b := agenttest.NewScriptedServer(t, func(own net.Conn, nth int) bool { c = own; return fakes.Respond(fakes.OKResponse("first"))(own, nth) })
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetSettleTime(agenttest.Patience)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	if got := <-order(r, 1, agenttest.Posting, policy.SendAttempt{}); string(got.Response.Body) != "first" {
		t.Fatalf("the first got %q", got.Response.Body)
	}
	b.SetHandler(func(own net.Conn, nth int) bool {
		io.WriteString(c, fakes.OKResponse("first")) // late, while the second txn is out
		return fakes.Respond(fakes.OKResponse("second"))(own, nth)
	})
	if got := <-order(r, 2, agenttest.Posting, policy.SendAttempt{}); got.Response == nil || string(got.Response.Body) != "second" {
		t.Fatalf("the second got %+v", got)
	}
}

// Where no descriptor is left, a connection that must rest gives its place to a new one.
func TestRestingConnectionGivesItsPlaceUp(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetSettleTime(agenttest.Patience)
	r.Pool.SetBudget(connlimit.NewBudget(1))
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	for id := range uint64(3) {
		if got := <-order(r, id+1, agenttest.Posting, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("txn %d ended as %+v", id+1, got)
		}
	}
	if copies := b.Requests(); len(copies) != 3 || copies[2].Conn != 3 {
		t.Errorf("arrived: %+v", copies)
	}
}

// A probe whose connection comes up after its address has another process asks nobody: the answer would speak for the wrong one.
func TestProbeWaitsWhileTheListChanges(t *testing.T) {
	b, other := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("{}"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("{}")))
	r := agenttest.NewRig(t, agenttest.Patience)
	stands, let := heldDials(t, r)
	row := protocol.ListEntry{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{row}})
	number := protocol.EndpointID("box")
	r.Respond(func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.GossipReceived); is {
			return []policy.Command{policy.CheckHealth{EndpointID: number}}
		}
		return nil
	})
	r.Loop.Post(policy.GossipReceived{})
	<-stands
	row.Dial, row.BornMs = other.Addr(), 7
	r.Publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{row}})
	agenttest.Eventually(t, "the list", func() bool { return len(agenttest.Events[policy.EndpointUpdate](r.Router)) == 2 })
	let()
	agenttest.Eventually(t, "the probe's end", func() bool { return len(agenttest.Events[policy.HealthCheckResult](r.Router)) == 1 })
	if p := agenttest.Events[policy.HealthCheckResult](r.Router)[0]; p.Outcome != policy.NotAttempted || len(b.Requests())+len(other.Requests()) != 0 {
		t.Errorf("ended as %+v, %d and %d asked", p, len(b.Requests()), len(other.Requests()))
	}
}

// An answer that comes slowly has its submission's time; one that pauses in its middle ends soon.
func TestSlowAnswer(t *testing.T) {
	whole := fakes.OKResponse(strings.Repeat("x", 20))
	for _, c := range []struct {
		stops int // after so many bytes; 0: does not
		want  policy.Outcome
	}{{0, policy.OK}, {30, policy.Malformed}} {
		t.Run(fmt.Sprint(c.stops), func(t *testing.T) {
			b := agenttest.NewScriptedServer(t, func(own net.Conn, _ int) bool {
				for i := range whole {
					if i == c.stops && c.stops > 0 {
						io.Copy(io.Discard, own)
						return false
					}
					if _, err := io.WriteString(own, whole[i:i+1]); err != nil {
						return false
					}
					time.Sleep(2 * upstream.ResponseGap / time.Duration(len(whole)))
				}
				return true
			})
			r := agenttest.NewRig(t, time.Second)
			r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
			<-order(r, 1, agenttest.Posting, policy.SendAttempt{})
			r.Loop.Flush(context.Background())
			if ended := agenttest.Events[policy.AttemptResult](r.Router); len(ended) != 1 || ended[0].Outcome != c.want {
				t.Errorf("ended as %+v, want %v", ended, c.want)
			}
		})
	}
}

// A process that stood still longer than an appliance keeps idle connections writes nothing on one of them when it goes on, though its
// sweep has not run and the appliance's close has not arrived: the request would end as a reset.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetIdleTimeout(0) // no sweep
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	for id := range uint64(2) {
		if got := <-order(r, id+1, agenttest.Posting, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("txn %d ended as %+v", id+1, got)
		}
	}
	r.Loop.Flush(r.Context)
	const idle = 20 * time.Millisecond
	r.Pool.SetIdleTimeout(idle)
	time.Sleep(idle) // the time that has to be over; more does not matter
	if got := <-order(r, 3, agenttest.Posting, policy.SendAttempt{}); got.Response == nil {
		t.Fatalf("the third ended as %+v", got)
	}
	if copies := b.Requests(); len(copies) != 3 || copies[1].Conn != 1 || copies[2].Conn != 2 {
		t.Errorf("arrived: %+v", copies)
	}
}
