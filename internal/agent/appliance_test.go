package agent

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

	"switchfork/internal/policy"
)

// These hold appliances' connections to their word: what happens between a submission's order and its last byte, and between an
// answer and the next submission.

// heldDials has each dial to an appliance stand still before it connects, until let is called.
func heldDials(t *testing.T, r *rig) (stands chan struct{}, let func()) {
	stands, gate := make(chan struct{}, 8), make(chan struct{})
	r.pool.dial.Control = func(string, string, syscall.RawConn) error {
		stands <- struct{}{}
		<-gate
		return nil
	}
	let = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(let)
	return stands, let
}

// order hands a txn in, and has it submitted to the only appliance in the given way; its answer comes on the channel. What ends
// unsettled is voided.
func (r *rig) order(id uint64, p *EncodedRequest, with policy.SendAttempt) chan Reply {
	r.mu.Lock()
	r.do = func(ev policy.Event) []policy.Command {
		switch ev := ev.(type) {
		case policy.RequestArrived:
			with.RequestID, with.EndpointID = ev.ID, r.roster.number("box")
			return []policy.Command{with}
		case policy.AttemptResult:
			if !ev.RequestDone {
				return []policy.Command{policy.Fail{RequestID: ev.RequestID}}
			}
		}
		return nil
	}
	r.mu.Unlock()
	o := &Request{Encoded: p, replies: make(chan Reply, 1), Deadline: time.Now().Add(patience)}
	r.core.mailbox.Put(requestArrived{policy.RequestArrived{ID: id}, o})
	return o.replies
}

// moot waits for a txn's answer, and wants its submission never sent.
func (r *rig) moot(t *testing.T, answer chan Reply) {
	t.Helper()
	select {
	case <-answer:
	case <-time.After(patience / 2):
		t.Fatal("its submission still waits for the connection")
	}
	r.core.Flush(r.ctx)
	if ended := seen[policy.AttemptResult](r.script); len(ended) != 1 || ended[0].Outcome != policy.NotAttempted {
		t.Fatalf("ended as %+v", ended)
	}
}

// While a connection comes up the list may change. What was ordered before is not written then: the process that answers may drain,
// may have gone, or may be another.
func TestListChangesWhileAConnectionComesUp(t *testing.T) {
	was := ListEntry{Host: "box", Site: "suva", Health: "active", BornMs: 5, Build: 1}
	for name, change := range map[string]func(e *ListEntry, other string){
		"drains":          func(e *ListEntry, _ string) { e.Health = "leaving" },
		"is gone":         func(e *ListEntry, _ string) { e.Health = "left" },
		"has other build": func(e *ListEntry, _ string) { e.Build = 2 },
		"has started":     func(e *ListEntry, _ string) { e.BornMs = 6 },
		"has moved":       func(e *ListEntry, other string) { e.Dial = other },
	} {
		t.Run(name, func(t *testing.T) {
			b, other := newBox(t, answers(ok("done"))), newBox(t, answers(ok("done")))
			r := newRig(t, patience, "127.0.0.1:1", "127.0.0.1:1")
			stands, let := heldDials(t, r)
			was.Dial = b.Addr()
			r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{was}})
			answer := r.order(1, posting, policy.SendAttempt{})
			<-stands
			now := was
			change(&now, other.Addr())
			r.roster.tell(List{Seq: 2, Hosts: []ListEntry{now}})
			r.moot(t, answer)
			let()
			// A connection that comes up now carries nothing: the next txn is the first that either hears of.
			next := was
			next.Dial, next.BornMs, next.Build = other.Addr(), 7, 3
			r.roster.tell(List{Seq: 3, Hosts: []ListEntry{next}})
			if got := <-r.order(2, posting, policy.SendAttempt{}); got.Response == nil {
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
	b := newBox(t, answers(ok("done")))
	r := newRig(t, patience, "127.0.0.1:1", "127.0.0.1:1")
	stands, let := heldDials(t, r)
	r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	answer := r.order(1, posting, policy.SendAttempt{WriteBefore: r.core.clock.At(time.Now().Add(30 * time.Millisecond))})
	<-stands
	r.moot(t, answer)
	let()
	if got := <-r.order(2, posting, policy.SendAttempt{WriteBefore: r.core.clock.At(time.Now().Add(patience))}); got.Response == nil {
		t.Fatalf("one that is in time ended as %+v", got)
	}
	if got := <-r.order(3, posting, policy.SendAttempt{WriteBefore: r.core.clock.Now() - 1}); got.Response != nil {
		t.Error("one that is too late was settled")
	}
	if n := len(b.Requests()); n != 1 {
		t.Errorf("%d copies arrived", n)
	}
}

// A second answer that comes some time after the first never meets the next txn: the connection rests first, and is looked at then.
func TestSecondAnswerComesLate(t *testing.T) {
	var c net.Conn // the first txn's
	b := newBox(t, func(own net.Conn, nth int) bool { c = own; return answers(ok("first"))(own, nth) })
	r := newRig(t, time.Second, "127.0.0.1:1", "127.0.0.1:1")
	r.pool.settleTime = patience
	r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	if got := <-r.order(1, posting, policy.SendAttempt{}); string(got.Response.Body) != "first" {
		t.Fatalf("the first got %q", got.Response.Body)
	}
	b.SetHandler(func(own net.Conn, nth int) bool {
		io.WriteString(c, ok("first")) // late, while the second txn is out
		return answers(ok("second"))(own, nth)
	})
	if got := <-r.order(2, posting, policy.SendAttempt{}); got.Response == nil || string(got.Response.Body) != "second" {
		t.Fatalf("the second got %+v", got)
	}
}

// Where no descriptor is left, a connection that must rest gives its place to a new one.
func TestRestingConnectionGivesItsPlaceUp(t *testing.T) {
	b := newBox(t, answers(ok("done")))
	r := newRig(t, time.Second, "127.0.0.1:1", "127.0.0.1:1")
	r.pool.settleTime, r.pool.budget = patience, NewBudget(1)
	r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	for id := range uint64(3) {
		if got := <-r.order(id+1, posting, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("txn %d ended as %+v", id+1, got)
		}
	}
	if copies := b.Requests(); len(copies) != 3 || copies[2].Conn != 3 {
		t.Errorf("arrived: %+v", copies)
	}
}

// A probe whose connection comes up after its address has another process asks nobody: the answer would speak for the wrong one.
func TestProbeWaitsWhileTheListChanges(t *testing.T) {
	b, other := newBox(t, answers(ok("{}"))), newBox(t, answers(ok("{}")))
	r := newRig(t, patience, "127.0.0.1:1", "127.0.0.1:1")
	stands, let := heldDials(t, r)
	row := ListEntry{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}
	r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{row}})
	number := r.roster.number("box")
	r.mu.Lock()
	r.do = func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.GossipReceived); is {
			return []policy.Command{policy.CheckHealth{EndpointID: number}}
		}
		return nil
	}
	r.mu.Unlock()
	r.core.mailbox.Put(policy.GossipReceived{})
	<-stands
	row.Dial, row.BornMs = other.Addr(), 7
	r.roster.tell(List{Seq: 2, Hosts: []ListEntry{row}})
	eventually(t, "the list", func() bool { return len(seen[policy.EndpointUpdate](r.script)) == 2 })
	let()
	eventually(t, "the probe's end", func() bool { return len(seen[policy.HealthCheckResult](r.script)) == 1 })
	if p := seen[policy.HealthCheckResult](r.script)[0]; p.Outcome != policy.NotAttempted || len(b.Requests())+len(other.Requests()) != 0 {
		t.Errorf("ended as %+v, %d and %d asked", p, len(b.Requests()), len(other.Requests()))
	}
}

// An answer that comes slowly has its submission's time; one that pauses in its middle ends soon.
func TestSlowAnswer(t *testing.T) {
	whole := ok(strings.Repeat("x", 20))
	for _, c := range []struct {
		stops int // after so many bytes; 0: does not
		want  policy.Outcome
	}{{0, policy.OK}, {30, policy.Malformed}} {
		t.Run(fmt.Sprint(c.stops), func(t *testing.T) {
			b := newBox(t, func(own net.Conn, _ int) bool {
				for i := range whole {
					if i == c.stops && c.stops > 0 {
						io.Copy(io.Discard, own)
						return false
					}
					if _, err := io.WriteString(own, whole[i:i+1]); err != nil {
						return false
					}
					time.Sleep(2 * answerWait / time.Duration(len(whole)))
				}
				return true
			})
			r := newRig(t, time.Second, "127.0.0.1:1", "127.0.0.1:1")
			r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
			<-r.order(1, posting, policy.SendAttempt{})
			r.core.Flush(context.Background())
			if ended := seen[policy.AttemptResult](r.script); len(ended) != 1 || ended[0].Outcome != c.want {
				t.Errorf("ended as %+v, want %v", ended, c.want)
			}
		})
	}
}

// A process that stood still longer than an appliance keeps idle connections writes nothing on one of them when it goes on, though its
// sweep has not run and the appliance's close has not arrived: the request would end as a reset.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	b := newBox(t, answers(ok("done")))
	r := newRig(t, time.Second, "127.0.0.1:1", "127.0.0.1:1")
	r.pool.idle = 0 // no sweep
	r.roster.tell(List{Seq: 1, Whole: true, Hosts: []ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	for id := range uint64(2) {
		if got := <-r.order(id+1, posting, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("txn %d ended as %+v", id+1, got)
		}
	}
	r.core.Flush(r.ctx)
	r.pool.idle = 20 * time.Millisecond
	time.Sleep(r.pool.idle) // the time that has to be over; more does not matter
	if got := <-r.order(3, posting, policy.SendAttempt{}); got.Response == nil {
		t.Fatalf("the third ended as %+v", got)
	}
	if copies := b.Requests(); len(copies) != 3 || copies[1].Conn != 1 || copies[2].Conn != 2 {
		t.Errorf("arrived: %+v", copies)
	}
}
