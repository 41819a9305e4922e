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

// The policy gets the same time for the configured endpoint list and rollout update. Otherwise the update would look like one made after
// the agent's start.
func TestConfiguredStateHasOneTime(t *testing.T) {
	router := &agenttest.Router{}
	loop := agent.NewLoop(router, agent.NewClock())
	discoveryClient := discovery.NewClient(loop, discovery.Config{
		Address: "127.0.0.1:1", Zones: []string{agenttest.Zone}, DialTimeout: time.Second, AgentCount: 1, Seed: 1,
	})
	rolloutClient := rollout.NewClient(loop, rollout.Config{Address: "127.0.0.1:1", DialTimeout: time.Second, VoteTimeout: time.Second, Seed: 1})
	if err := discoveryClient.PublishInitial([]byte(fakes.ListDocument(4, false, fakes.ListEntry(agenttest.Host, "127.0.0.1:1", "active", 41)))); err != nil {
		t.Fatal(err)
	}
	if err := rolloutClient.PublishInitial([]byte(`{"image":41,"ring":2,"progress":"live","ceiling":1,"lag_ms":0}`)); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pool := upstream.NewPool(upstream.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, Budget: connlimit.NewBudget(9)})
	go loop.Serve(ctx, pool, rolloutClient.Vote, func(policy.SendGossip) {})
	loop.Flush(ctx)
	events, times := router.All()
	if len(events) != 2 || times[0] != times[1] {
		t.Fatalf("got events %+v at %v, want two at the same time", events, times)
	}
	if update, ok := events[0].(policy.EndpointUpdate); !ok || !update.Full || len(update.Endpoints) != 1 {
		t.Errorf("got first event %+v, want the full endpoint list with one endpoint", events[0])
	}
}

// stallOnGossip simulates a stall when the policy handles a gossip message: a health check result is put into the mailbox, publish is
// called, and the policy sets a timer that is already one second late.
func stallOnGossip(r *agenttest.Rig, publish func()) {
	r.Respond(func(event policy.Event) []policy.Command {
		if _, ok := event.(policy.GossipReceived); !ok {
			return nil
		}
		r.Loop.Enqueue(policy.HealthCheckResult{})
		publish()
		return []policy.Command{policy.SetTimer{At: r.Loop.Clock().Now() - 1e6}} // as if the process had stalled for 1 s
	})
}

// wantListBeforeOthers waits for three events and fails the test if the second is not the endpoint list.
func wantListBeforeOthers(t *testing.T, r *agenttest.Rig) {
	t.Helper()
	agenttest.Eventually(t, "three events", func() bool { events, _ := r.All(); return len(events) >= 3 })
	events, _ := r.All()
	if _, ok := events[1].(policy.EndpointUpdate); !ok {
		t.Errorf("got events %+v, want the endpoint list second", events)
	}
}

// After a stall, changes of the endpoint list that arrive within the grace period are handled before the messages that arrived during the
// stall. On a busy machine, the test's own timer may fire after the grace period. Such a run shows nothing and is repeated.
func TestEndpointListFirstAfterStall(t *testing.T) {
	const maxRuns = 20
	for range maxRuns {
		r := agenttest.NewRig(t, time.Second)
		published := make(chan time.Duration, 1)
		stallOnGossip(r, func() {
			stalledAt := time.Now() // the grace period begins later
			time.AfterFunc(time.Millisecond, func() {
				r.Publish(protocol.List{Version: 1, IsFull: true})
				published <- time.Since(stalledAt)
			})
		})
		r.Loop.Enqueue(policy.GossipReceived{})
		if <-published < agent.ReaderGrace {
			wantListBeforeOthers(t, r)
			return
		}
	}
	t.Errorf("the list was not published within the grace period in any of %d runs", maxRuns)
}

// The readers get longer than the grace period if input has arrived that they have not handed to the loop yet.
func TestUnreadEndpointListFirstAfterStall(t *testing.T) {
	r := agenttest.NewRig(t, time.Second)
	l := agenttest.Listen(t)
	reader, err := tcpconn.Dial(t.Context(), &net.Dialer{}, l.Addr().String(), r.Loop.UnreadInput())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }() // the connection is not used after the test
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }() // the connection is not used after the test
	if _, err := io.WriteString(server, "line"); err != nil {
		t.Fatal(err)
	}
	stallOnGossip(r, func() {
		time.AfterFunc(8*agent.ReaderGrace, func() { // long after the end of the grace period
			r.Publish(protocol.List{Version: 1, IsFull: true})
			go func() { _, _ = io.Copy(io.Discard, reader) }() // ends with the connection
		})
	})
	r.Loop.Enqueue(policy.GossipReceived{})
	wantListBeforeOthers(t, r)
	agenttest.Eventually(t, "a reader that has caught up", func() bool { return !r.Loop.UnreadInput().HasUnread() })
}

// A panic of the policy is not hidden: it ends the process.
func TestPolicyPanicIsNotHidden(t *testing.T) {
	router := &agenttest.Router{}
	router.Respond(func(policy.Event) []policy.Command { panic("index out of range") })
	loop := agent.NewLoop(router, agent.NewClock())
	defer func() {
		if p := recover(); p != "index out of range" {
			t.Errorf("recovered %v, want the policy's panic", p)
		}
	}()
	loop.Handle(policy.TimerFired{})
	t.Error("Handle returned after a panic of the policy")
}

// Removed endpoints leave no goroutine, connection or record behind, and stop only once their attempts have ended.
func TestRemovedEndpointsAreReleased(t *testing.T) {
	release := make(chan struct{})
	server := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool {
		<-release
		return fakes.Respond(fakes.OKResponse("done"))(c, nth)
	})
	r := agenttest.NewRig(t, time.Second)
	before := runtime.NumGoroutine()
	r.PublishOne(server.Addr())
	replies := make(chan agent.Reply)
	go func() { replies <- r.Send(t, 1, agenttest.KeyedRequest, agenttest.WaitTimeout) }()
	agenttest.Eventually(t, "the attempt", func() bool { return len(server.Requests()) == 1 })
	for i := range 300 {
		host := agenttest.Entry("127.0.0.1:1")
		host.Host = fmt.Sprint("h", i)
		r.Publish(protocol.List{Version: 2, Entries: []protocol.ListEntry{host, {Host: agenttest.Host, Health: "left"}}})
		if host.Health = "left"; i%2 == 0 {
			r.Publish(protocol.List{Version: 3, Entries: []protocol.ListEntry{host}})
		}
	}
	r.Publish(protocol.List{Version: 4, IsFull: true})
	close(release)
	if reply := <-replies; reply.Response == nil {
		t.Errorf("request in flight: got reply %+v, want a response", reply)
	}
	r.Loop.Flush(r.Context())
	if n := r.Loop.EndpointRecords(); n != 0 {
		t.Errorf("got %d endpoint records, want none", n)
	}
	agenttest.Eventually(t, "the end of the connection and the goroutines", func() bool {
		return server.Closed() == 1 && runtime.NumGoroutine() <= before+2
	})
}
