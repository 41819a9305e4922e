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

// holdDials makes each dial wait before it connects until release is called. Each dial sends a value on dialing when it starts to wait.
func holdDials(t *testing.T, r *agenttest.Rig) (dialing chan struct{}, release func()) {
	t.Helper()
	dialing, released := make(chan struct{}, 8), make(chan struct{})
	r.Pool.SetDialControl(func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		<-released
		return nil
	})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return dialing, release
}

// sendRequest admits a request and returns the channel of its reply. The policy sends one attempt to the only endpoint, with the settings
// of command, and fails the request if the attempt does not succeed.
func sendRequest(r *agenttest.Rig, id uint64, encoded *protocol.EncodedRequest, command policy.SendAttempt) <-chan agent.Reply {
	r.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			command.RequestID, command.EndpointID = event.ID, protocol.EndpointID(agenttest.Host)
			return []policy.Command{command}
		case policy.AttemptResult:
			if !event.RequestDone {
				return []policy.Command{policy.Fail{RequestID: event.RequestID}}
			}
		}
		return nil
	})
	request := agent.NewRequest(encoded, time.Now().Add(agenttest.WaitTimeout), nil)
	r.Loop.Admit(policy.RequestArrived{ID: id}, request)
	return request.Replies()
}

// wantNotAttempted waits for a request's reply and fails the test if an attempt was sent.
func wantNotAttempted(t *testing.T, r *agenttest.Rig, replies <-chan agent.Reply) {
	t.Helper()
	select {
	case <-replies:
	case <-time.After(agenttest.WaitTimeout / 2):
		t.Fatal("no reply: the attempt still waits for its connection")
	}
	r.Loop.Flush(r.Context())
	if results := agenttest.Events[policy.AttemptResult](r.Router); len(results) != 1 || results[0].Outcome != policy.NotAttempted {
		t.Fatalf("got attempt results %+v, want one that was not attempted", results)
	}
}

// The endpoint list may change while a connection is dialed. An attempt that was decided before the change is not written: the process that
// answers may be draining, may have been removed, or may be a different one.
func TestListChangesDuringDial(t *testing.T) {
	before := agenttest.Entry("")
	before.StartedAtMs, before.Build = 5, 1
	for name, change := range map[string]func(e *protocol.ListEntry, other string){
		"draining":    func(e *protocol.ListEntry, _ string) { e.Health = "leaving" },
		"removed":     func(e *protocol.ListEntry, _ string) { e.Health = "left" },
		"other build": func(e *protocol.ListEntry, _ string) { e.Build = 2 },
		"restarted":   func(e *protocol.ListEntry, _ string) { e.StartedAtMs = 6 },
		"moved":       func(e *protocol.ListEntry, other string) { e.Address = other },
	} {
		t.Run(name, func(t *testing.T) {
			server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
			other := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
			r := agenttest.NewRig(t, agenttest.WaitTimeout)
			dialing, release := holdDials(t, r)
			before.Address = server.Addr()
			r.Publish(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{before}})
			replies := sendRequest(r, 1, agenttest.KeyedRequest, policy.SendAttempt{})
			<-dialing
			now := before
			change(&now, other.Addr())
			r.Publish(protocol.List{Version: 2, Entries: []protocol.ListEntry{now}})
			wantNotAttempted(t, r, replies)
			release()
			// A connection that comes up now does not carry the attempt: the next request is the first that either server receives.
			next := before
			next.Address, next.StartedAtMs, next.Build = other.Addr(), 7, 3
			r.Publish(protocol.List{Version: 3, Entries: []protocol.ListEntry{next}})
			if got := <-sendRequest(r, 2, agenttest.KeyedRequest, policy.SendAttempt{}); got.Response == nil {
				t.Fatalf("next request: got reply %+v, want a response", got)
			}
			if first, second := len(server.Requests()), len(other.Requests()); first != 0 || second != 1 {
				t.Errorf("got %d requests at the first server and %d at the other, want 0 and 1", first, second)
			}
		})
	}
}

// A retry is not written after its WriteBefore time, because the deduplication group would no longer drop the retry as a duplicate. This
// holds whether the connection comes up late or the message that requests the attempt is handled late.
func TestRetryIsNotWrittenAfterWriteBefore(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, agenttest.WaitTimeout)
	dialing, release := holdDials(t, r)
	r.PublishOne(server.Addr())
	replies := sendRequest(r, 1, agenttest.KeyedRequest, policy.SendAttempt{WriteBefore: r.Loop.Clock().At(time.Now().Add(30 * time.Millisecond))})
	<-dialing
	wantNotAttempted(t, r, replies)
	release()
	if got := <-sendRequest(r, 2, agenttest.KeyedRequest, policy.SendAttempt{WriteBefore: r.Loop.Clock().At(time.Now().Add(agenttest.WaitTimeout))}); got.Response == nil {
		t.Fatalf("request before its WriteBefore time: got reply %+v, want a response", got)
	}
	if got := <-sendRequest(r, 3, agenttest.KeyedRequest, policy.SendAttempt{WriteBefore: r.Loop.Clock().Now() - 1}); got.Response != nil {
		t.Error("request after its WriteBefore time: got a response, want none")
	}
	if n := len(server.Requests()); n != 1 {
		t.Errorf("got %d requests at the server, want 1", n)
	}
}

// A second response that arrives some time after the first never becomes the response to the next request. A connection is not reused
// before its settle time has passed, and is checked for input then.
func TestLateSecondResponse(t *testing.T) {
	var first net.Conn // connection of the first request
	server := agenttest.NewScriptedServer(t, func(conn net.Conn, nth int) bool {
		first = conn
		return fakes.Respond(fakes.OKResponse("first"))(conn, nth)
	})
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetSettleTime(agenttest.WaitTimeout)
	r.PublishOne(server.Addr())
	if got := <-sendRequest(r, 1, agenttest.KeyedRequest, policy.SendAttempt{}); string(got.Response.Body) != "first" {
		t.Fatalf("first request: got body %q, want \"first\"", got.Response.Body)
	}
	server.SetHandler(func(conn net.Conn, nth int) bool {
		if _, err := io.WriteString(first, fakes.OKResponse("first")); err != nil { // late, while the second request is in flight
			t.Error(err)
		}
		return fakes.Respond(fakes.OKResponse("second"))(conn, nth)
	})
	if got := <-sendRequest(r, 2, agenttest.KeyedRequest, policy.SendAttempt{}); got.Response == nil || string(got.Response.Body) != "second" {
		t.Fatalf("second request: got reply %+v, want body \"second\"", got)
	}
}

// If no descriptor is left, a connection that is still settling is closed for a new one.
func TestSettlingConnectionReleasesDescriptor(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetSettleTime(agenttest.WaitTimeout)
	r.Pool.SetBudget(connlimit.NewBudget(1))
	r.PublishOne(server.Addr())
	for id := range uint64(3) {
		if got := <-sendRequest(r, id+1, agenttest.KeyedRequest, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("request %d: got reply %+v, want a response", id+1, got)
		}
	}
	if requests := server.Requests(); len(requests) != 3 || requests[2].Conn != 3 {
		t.Errorf("got requests %+v, want three, the last on the third connection", requests)
	}
}

// A health check is not sent if the endpoint's process is replaced while the connection is dialed: the response would be about the wrong
// process.
func TestHealthCheckWhileListChanges(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("{}")))
	other := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("{}")))
	r := agenttest.NewRig(t, agenttest.WaitTimeout)
	dialing, release := holdDials(t, r)
	entry := agenttest.Entry(server.Addr())
	r.Publish(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{entry}})
	id := protocol.EndpointID(agenttest.Host)
	r.Respond(func(event policy.Event) []policy.Command {
		if _, ok := event.(policy.GossipReceived); ok {
			return []policy.Command{policy.CheckHealth{EndpointID: id}}
		}
		return nil
	})
	r.Loop.Enqueue(policy.GossipReceived{})
	<-dialing
	entry.Address, entry.StartedAtMs = other.Addr(), 7
	r.Publish(protocol.List{Version: 2, Entries: []protocol.ListEntry{entry}})
	agenttest.Eventually(t, "the second list update", func() bool { return len(agenttest.Events[policy.EndpointUpdate](r.Router)) == 2 })
	release()
	agenttest.Eventually(t, "the health check's result", func() bool { return len(agenttest.Events[policy.HealthCheckResult](r.Router)) == 1 })
	if p := agenttest.Events[policy.HealthCheckResult](r.Router)[0]; p.Outcome != policy.NotAttempted || len(server.Requests())+len(other.Requests()) != 0 {
		t.Errorf("got result %+v with %d and %d requests, want not attempted and no requests", p, len(server.Requests()), len(other.Requests()))
	}
}

// A response that arrives slowly may take as long as its attempt. If a response pauses in the middle, the attempt soon ends with outcome
// Malformed.
func TestSlowResponse(t *testing.T) {
	response := fakes.OKResponse(strings.Repeat("x", 20))
	for _, test := range []struct {
		pauseAfter int // number of bytes; 0: the response does not pause
		want       policy.Outcome
	}{{0, policy.OK}, {30, policy.Malformed}} {
		t.Run(fmt.Sprint(test.pauseAfter), func(t *testing.T) {
			server := agenttest.NewScriptedServer(t, func(conn net.Conn, _ int) bool {
				for i := range response {
					if i == test.pauseAfter && test.pauseAfter > 0 {
						_, _ = io.Copy(io.Discard, conn) // until the connection is closed
						return false
					}
					if _, err := io.WriteString(conn, response[i:i+1]); err != nil {
						return false
					}
					time.Sleep(2 * upstream.MaxResponseGap / time.Duration(len(response)))
				}
				return true
			})
			r := agenttest.NewRig(t, time.Second)
			r.PublishOne(server.Addr())
			<-sendRequest(r, 1, agenttest.KeyedRequest, policy.SendAttempt{})
			r.Loop.Flush(context.Background())
			if results := agenttest.Events[policy.AttemptResult](r.Router); len(results) != 1 || results[0].Outcome != test.want {
				t.Errorf("got attempt results %+v, want one with outcome %v", results, test.want)
			}
		})
	}
}

// If the agent stalls for longer than an endpoint keeps idle connections, no request is written to an idle connection after the stall, even
// though the sweep has not run and the endpoint's close has not arrived. The request would end as a reset.
func TestExpiredConnectionIsNotReused(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.Pool.SetIdleTimeout(0) // no sweep
	r.PublishOne(server.Addr())
	for id := range uint64(2) {
		if got := <-sendRequest(r, id+1, agenttest.KeyedRequest, policy.SendAttempt{}); got.Response == nil {
			t.Fatalf("request %d: got reply %+v, want a response", id+1, got)
		}
	}
	r.Loop.Flush(r.Context())
	const idle = 20 * time.Millisecond
	r.Pool.SetIdleTimeout(idle)
	time.Sleep(idle) // the connection has to be idle for at least this long
	if got := <-sendRequest(r, 3, agenttest.KeyedRequest, policy.SendAttempt{}); got.Response == nil {
		t.Fatalf("request 3: got reply %+v, want a response", got)
	}
	if requests := server.Requests(); len(requests) != 3 || requests[1].Conn != 1 || requests[2].Conn != 2 {
		t.Errorf("got requests %+v, want three: the second on the first connection, the third on the second", requests)
	}
}
