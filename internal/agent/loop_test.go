package agent_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/connlimit"
	"switchfork/internal/discovery"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/rollout"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"
)

// The list and news of the start come at one time, or news would read as younger than the agent.
func TestStartIsOneMoment(t *testing.T) {
	s := &agenttest.Router{}
	core := agent.NewLoop(s, agent.NewClock())
	roster, launcher := discovery.NewClient(core, "127.0.0.1:1", []string{"suva"}, time.Second, 0, 1, 1), rollout.NewClient(core, "127.0.0.1:1", time.Second, time.Second, 1)
	if err := roster.Known([]byte(fakes.ListDocument(4, false, fakes.ListEntry("box", "127.0.0.1:1", "active", 41)))); err != nil {
		t.Fatal(err)
	}
	if err := launcher.Known([]byte(`{"image":41,"ring":2,"progress":"live","ceiling":1,"lag_ms":0}`)); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pool := upstream.NewPool(upstream.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, Budget: connlimit.NewBudget(9)})
	go core.Serve(ctx, pool, launcher.Vote, func(policy.SendGossip) {})
	core.Flush(ctx)
	events, times := s.All()
	if len(events) != 2 || times[0] != times[1] {
		t.Fatalf("events %+v at %v", events, times)
	}
	if l, is := events[0].(policy.EndpointUpdate); !is || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("first came %+v", events[0])
	}
}

// After a standstill, what the list has to tell goes before the txns that came meanwhile.
func TestListFirstAfterStall(t *testing.T) {
	r := agenttest.NewRig(t, time.Second)
	r.Respond(func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.GossipReceived); !is {
			return nil
		}
		r.Loop.Post(policy.HealthCheckResult{})
		time.AfterFunc(time.Millisecond, func() { r.Publish(protocol.List{Seq: 1, Whole: true}) })
		return []policy.Command{policy.SetTimer{At: r.Loop.Clock().Now() - 1e6}} // as if that time had passed
	})
	r.Loop.Post(policy.GossipReceived{})
	agenttest.Eventually(t, "three events", func() bool { events, _ := r.All(); return len(events) >= 3 })
	events, _ := r.All()
	if _, is := events[1].(policy.EndpointUpdate); !is {
		t.Errorf("events came as %+v", events)
	}
}

// The readers get longer than a moment where something has come in that is not handed on yet.
func TestUnreadListFirstAfterStall(t *testing.T) {
	r := agenttest.NewRig(t, time.Second)
	l := agenttest.Listen(t)
	c, err := tcpconn.Dial(t.Context(), &net.Dialer{}, l.Addr().String(), r.Loop.UnreadInput())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	io.WriteString(far, "line")
	r.Respond(func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.GossipReceived); !is {
			return nil
		}
		r.Loop.Post(policy.HealthCheckResult{})
		time.AfterFunc(8*agent.ReaderGrace, func() { // by then a moment is long over
			r.Publish(protocol.List{Seq: 1, Whole: true})
			go io.Copy(io.Discard, c)
		})
		return []policy.Command{policy.SetTimer{At: r.Loop.Clock().Now() - 1e6}} // as if that time had passed
	})
	r.Loop.Post(policy.GossipReceived{})
	agenttest.Eventually(t, "three events", func() bool { events, _ := r.All(); return len(events) >= 3 })
	events, _ := r.All()
	if _, is := events[1].(policy.EndpointUpdate); !is {
		t.Errorf("events came as %+v", events)
	}
	agenttest.Eventually(t, "a reader that has caught up", func() bool { return !r.Loop.UnreadInput().HasUnread() })
}

// A panic of the module is not hidden: the process ends with it.
func TestModulePanics(t *testing.T) {
	router := &agenttest.Router{}
	router.Respond(func(policy.Event) []policy.Command { panic("index out of range") })
	c := agent.NewLoop(router, agent.NewClock())
	defer func() {
		if p := recover(); p != "index out of range" {
			t.Errorf("recovered %v", p)
		}
	}()
	c.Handle(policy.TimerFired{})
	t.Error("went on")
}

// Hosts that come and go leave no actor, connection or number behind, and end only once what they have is answered.
func TestGoneHostsAreLetGo(t *testing.T) {
	let := make(chan struct{})
	b := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool { <-let; return fakes.Respond(fakes.OKResponse("done"))(c, nth) })
	r := agenttest.NewRig(t, time.Second)
	before := runtime.NumGoroutine()
	r.Publish(protocol.List{Seq: 1, Whole: true, Hosts: []protocol.ListEntry{{Host: "box", Dial: b.Addr(), Site: "suva", Health: "active"}}})
	got := make(chan agent.Reply)
	go func() { got <- r.Send(t, 1, agenttest.Posting, agenttest.Patience) }()
	agenttest.Eventually(t, "the copy", func() bool { return len(b.Requests()) == 1 })
	for i := range 300 {
		host := protocol.ListEntry{Host: fmt.Sprint("h", i), Dial: "127.0.0.1:1", Site: "suva", Health: "active"}
		r.Publish(protocol.List{Seq: 2, Hosts: []protocol.ListEntry{host, {Host: "box", Health: "left"}}})
		if host.Health = "left"; i%2 == 0 {
			r.Publish(protocol.List{Seq: 3, Hosts: []protocol.ListEntry{host}})
		}
	}
	r.Publish(protocol.List{Seq: 4, Whole: true})
	close(let)
	if said := <-got; said.Response == nil {
		t.Errorf("what was out at the time got %+v", said)
	}
	r.Loop.Flush(r.Context)
	if n := r.Loop.Endpoints(); n != 0 {
		t.Errorf("%d records are kept", n)
	}
	agenttest.Eventually(t, "the end of the connection and the actors", func() bool { return b.Closed() == 1 && runtime.NumGoroutine() <= before+2 })
}
