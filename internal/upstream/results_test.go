package upstream_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// Each way a submission can end, the module's outcome for it, and that exactly one copy arrived.
func TestEndings(t *testing.T) {
	notRun := "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name   string
		do     func(net.Conn, int) bool
		want   policy.Outcome
		copies int
	}{
		{"settled", fakes.Respond(fakes.OKResponse("done")), policy.OK, 1},
		{"settled without length", func(c net.Conn, _ int) bool {
			fakes.Respond("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone")(c, 0)
			return false
		}, policy.Malformed, 1},
		{"a word in between", fakes.Respond("HTTP/1.1 102 Wait\r\n\r\n" + fakes.OKResponse("done")), policy.OK, 1},
		{"error", fakes.Respond("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), policy.ServerError, 1},
		{"turned away", fakes.Respond(notRun), policy.Rejected, 1},
		{"503 that may have run", fakes.Respond("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"), policy.ServerError, 1},
		{"breaks after the last byte", fakes.CloseUnanswered, policy.ConnectionLost, 1},
		{"answer cut off", func(c net.Conn, _ int) bool {
			return fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")(c, 0) && false
		}, policy.ConnectionLost, 1},
		{"not HTTP", fakes.Respond("good evening\r\n\r\n"), policy.Malformed, 1},
		{"a head without end", fakes.Respond("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20)), policy.Malformed, 1},
		{"words in between without end", fakes.Respond(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 9999)), policy.Malformed, 1},
		{"half a head", fakes.Respond("HTTP/1.1 200 OK\r\nConte"), policy.Malformed, 1},
		{"a body shorter than said", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), policy.Malformed, 1},
		{"3 GB", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20)), policy.Malformed, 1},
		{"chunks without end", fakes.Respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 999)), policy.Malformed, 1},
		{"the request is wrong", fakes.Respond("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n"), policy.NotAttempted, 1},
		{"answer too long", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Malformed, 1},
		{"nothing in time", fakes.NeverRespond, policy.TimedOut, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := agenttest.NewScriptedServer(t, c.do)
			r := agenttest.NewRig(t, time.Second)
			r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
			got := r.Send(t, 1, agenttest.Posting, 400*time.Millisecond)
			ends := agenttest.Events[policy.AttemptResult](r.Router)
			if len(ends) != 1 || ends[0].Outcome != c.want || ends[0].RequestDone != (c.want == policy.OK || c.want == policy.NotAttempted) {
				t.Errorf("ended as %+v, want outcome %d", ends, c.want)
			}
			if c.want == policy.OK && (got.Response == nil || string(got.Response.Body) != "done") {
				t.Errorf("client got %+v", got)
			}
			if c.want == policy.NotAttempted && (got.Response == nil || got.Response.Status != 400) {
				t.Errorf("client got %+v", got)
			}
			if copies := b.Requests(); len(copies) != c.copies || copies[0].Body != "body" {
				t.Errorf("%d copies arrived: %+v", len(copies), copies)
			}
			if c.want == policy.TimedOut || c.want == policy.ConnectionLost || c.want == policy.Malformed { // given up: never two out at once
				agenttest.Eventually(t, "the end of the connection", func() bool { return b.Closed() == 1 })
			}
		})
	}
}

// What never ran, because no connection came up.
func TestNoConnection(t *testing.T) {
	gone := agenttest.Listen(t)
	gone.Close()
	for name, c := range map[string]struct {
		dial time.Duration
		addr string
	}{"refused": {time.Second, gone.Addr().String()}, "never came up": {1, agenttest.Listen(t).Addr().String()}} {
		r := agenttest.NewRig(t, c.dial)
		r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: c.addr, Site: "suva", Health: "active"}}})
		r.Send(t, 1, agenttest.Posting, time.Second)
		if ends := agenttest.Events[policy.AttemptResult](r.Router); len(ends) != 1 || ends[0].Outcome != policy.ConnectFailed {
			t.Errorf("%s: ended as %+v", name, ends)
		}
	}
}

// A connection is used again; one that breaks under a request with an Idempotency-Key brings no second copy, one
// that ended while idle costs nothing, and what nobody asked for ends it.
func TestReusedConnection(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	r.Send(t, 1, agenttest.Posting, time.Second)
	b.SetHandler(fakes.CloseUnanswered)
	r.Send(t, 2, agenttest.Posting, time.Second)
	ends, copies := agenttest.Events[policy.AttemptResult](r.Router), b.Requests()
	if len(copies) != 2 || copies[1].Conn != 1 || ends[1].Outcome != policy.ConnectionLost {
		t.Fatalf("ended as %+v after copies %+v", ends, copies)
	}
	b.SetHandler(func(c net.Conn, nth int) bool {
		return fakes.Respond(fakes.OKResponse("done")+fakes.OKResponse("not asked for"))(c, nth)
	})
	r.Send(t, 3, agenttest.Posting, time.Second)
	agenttest.Eventually(t, "the end of a connection that brought too much", func() bool { return b.Closed() == 2 })
	b.SetHandler(fakes.Respond(fakes.OKResponse("done")))
	if got := r.Send(t, 4, agenttest.Posting, time.Second); got.Response == nil || len(b.Requests()) != 4 || b.Requests()[3].Conn != 3 {
		t.Errorf("got %+v after copies %+v", got, b.Requests())
	}
}

// What an appliance sends behind an answer, at once or later, never meets the next txn.
func TestMoreThanAsked(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		b := agenttest.NewScriptedServer(t, nil)
		r := agenttest.NewRig(t, time.Second)
		r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
		behind := make(chan bool, 50)
		b.SetHandler(func(c net.Conn, nth int) bool {
			io.WriteString(c, fakes.OKResponse(fmt.Sprint(nth)))
			time.Sleep(pause)
			_, err := io.WriteString(c, fakes.OKResponse("not asked for"))
			behind <- true
			return err == nil
		})
		for id := uint64(1); id <= 50; id++ {
			got := r.Send(t, id, agenttest.Posting, time.Second)
			if got.Response == nil || string(got.Response.Body) != fmt.Sprint(id) {
				t.Fatalf("txn %d got %+v", id, got)
			}
			<-behind
		}
	}
}

// A host that returns with another address is the same appliance to the module, and gets nothing on the old one.
func TestHostMoves(t *testing.T) {
	before, after := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("a"))), agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("b")))
	r := agenttest.NewRig(t, time.Second)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: before.Addr(), Site: "suva", Health: "active", Build: 1}}})
	r.Send(t, 1, agenttest.Posting, time.Second)
	r.Publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{{Host: "box", Dial: after.Addr(), Site: "suva", Health: "active", Build: 2}}})
	agenttest.Eventually(t, "the end of the old connection", func() bool { return before.Closed() == 1 })
	r.Send(t, 2, agenttest.Posting, time.Second)
	lists := agenttest.Events[policy.EndpointUpdate](r.Router)
	if len(before.Requests()) != 1 || len(after.Requests()) != 1 || lists[0].Endpoints[0].ID != lists[1].Endpoints[0].ID || lists[1].Endpoints[0].Build != 2 {
		t.Errorf("%d and %d copies, lists %+v", len(before.Requests()), len(after.Requests()), lists)
	}
}

func TestCallOffAndProbe(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	r := agenttest.NewRig(t, time.Second)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	n := protocol.EndpointID("box")
	r.Respond(func(ev policy.Event) []policy.Command {
		switch ev := ev.(type) {
		case policy.RequestArrived:
			return []policy.Command{policy.SendAttempt{RequestID: ev.ID, EndpointID: n}}
		case policy.RequestCancelled:
			return []policy.Command{policy.CancelAttempt{RequestID: ev.RequestID}}
		case policy.AttemptResult:
			return []policy.Command{policy.CheckHealth{EndpointID: n}}
		}
		return nil
	})
	r.Loop.Admit(policy.RequestArrived{ID: 7}, agent.NewRequest(agenttest.Posting, time.Now().Add(agenttest.Patience), nil))
	agenttest.Eventually(t, "the copy", func() bool { return len(b.Requests()) == 1 })
	b.SetHandler(fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":3}"))
	r.Loop.Post(policy.RequestCancelled{RequestID: 7})
	r.Loop.Post(policy.RequestCancelled{RequestID: 7}) // told once
	agenttest.Eventually(t, "the probe's answer", func() bool { return len(agenttest.Events[policy.HealthCheckResult](r.Router)) == 1 })
	if p := agenttest.Events[policy.HealthCheckResult](r.Router)[0]; p.Outcome != policy.OK || len(p.Load) != 1 || p.Load[0] != 3 {
		t.Errorf("probed as %+v", p)
	}
	ends := agenttest.Events[policy.AttemptResult](r.Router)
	if len(ends) != 1 || ends[0].Outcome != policy.Cancelled || !ends[0].RequestDone || len(agenttest.Events[policy.RequestCancelled](r.Router)) != 1 {
		t.Errorf("ended as %+v", ends)
	}
	if b.Requests()[1].RequestLine != "GET /_load" {
		t.Errorf("probed by %s", b.Requests()[1].RequestLine)
	}
}

// A submission that the module ordered before a standstill is not written after it: it is chosen again.
func TestOldSubmissionIsNotWritten(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, 100*time.Millisecond)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	if got := r.Send(t, 1, agenttest.Posting, time.Second); got.Response == nil {
		t.Fatalf("a fresh one got %+v", got)
	}
	r.Loop.Flush(r.Context)
	entry := protocol.ListEntry{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}
	a := r.Pool.NewEndpoint(protocol.EndpointID("box"), entry, r.Loop)
	a.Update(entry)
	defer a.Remove()
	now := time.Now()
	for id, age := range map[uint64]time.Duration{2: 0, 3: time.Second} {
		a.Send(upstream.Attempt{RequestID: id, Encoded: agenttest.Posting, DecidedAt: now.Add(-age), Deadline: now.Add(agenttest.Patience)})
		agenttest.Eventually(t, "its ending", func() bool {
			for _, e := range agenttest.Events[policy.AttemptResult](r.Router) {
				if e.RequestID == id {
					return true
				}
			}
			return false
		})
	}
	if n := len(b.Requests()); n != 2 {
		t.Errorf("%d arrived, want the two fresh ones", n)
	}
}

// Where one connection broke, the idle ones beside it are not trusted: a machine that was cut off leaves them dead.
func TestBreakTakesIdleAlong(t *testing.T) {
	b := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	gate := make(chan struct{})
	b.SetHandler(func(c net.Conn, nth int) bool {
		if nth == 2 {
			close(gate)
		}
		<-gate
		return fakes.Respond(fakes.OKResponse("done"))(c, nth)
	})
	var both sync.WaitGroup
	for id := range uint64(2) {
		both.Go(func() { r.Send(t, id+1, agenttest.Posting, agenttest.Patience) })
	}
	both.Wait()
	b.SetHandler(fakes.CloseUnanswered)
	r.Send(t, 3, agenttest.Posting, time.Second)
	agenttest.Eventually(t, "the end of both connections", func() bool { return b.Closed() == 2 })
}
