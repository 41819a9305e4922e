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

// Each way in which an attempt can end has the expected outcome for the policy, and exactly one request arrives.
func TestAttemptResults(t *testing.T) {
	notRun := "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name     string
		respond  func(net.Conn, int) bool
		want     policy.Outcome
		requests int
	}{
		{"succeeded", fakes.Respond(fakes.OKResponse("done")), policy.OK, 1},
		{"success without length", func(conn net.Conn, _ int) bool {
			fakes.Respond("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone")(conn, 0)
			return false
		}, policy.Malformed, 1},
		{"interim response", fakes.Respond("HTTP/1.1 102 Wait\r\n\r\n" + fakes.OKResponse("done")), policy.OK, 1},
		{"server error", fakes.Respond("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), policy.ServerError, 1},
		{"rejected", fakes.Respond(notRun), policy.Rejected, 1},
		{"503 that may have run", fakes.Respond("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"), policy.ServerError, 1},
		{"connection lost after the last byte", fakes.CloseUnanswered, policy.ConnectionLost, 1},
		{"response cut off", func(conn net.Conn, _ int) bool {
			return fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")(conn, 0) && false
		}, policy.ConnectionLost, 1},
		{"not HTTP", fakes.Respond("good evening\r\n\r\n"), policy.Malformed, 1},
		{"head without end", fakes.Respond("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20)), policy.Malformed, 1},
		{"interim responses without end", fakes.Respond(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 9999)), policy.Malformed, 1},
		{"half a head", fakes.Respond("HTTP/1.1 200 OK\r\nConte"), policy.Malformed, 1},
		{"body shorter than its length", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), policy.Malformed, 1},
		{"length of 3 GB", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20)), policy.Malformed, 1},
		{"chunks without end", fakes.Respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 999)), policy.Malformed, 1},
		{"HTTP/1.0 with an encoding that net/http ignores", fakes.Respond("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), policy.Malformed, 1},
		{
			"HTTP/1.0 with such an encoding in small type", fakes.Respond("HTTP/1.0 200 OK\ncontent-length: 4\ntransfer-encoding:\n chunked\n\n4\ndone\n0\n\n"),
			policy.Malformed, 1,
		},
		{
			"HTTP/1.0 with a head over the read buffer", fakes.Respond("HTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 5<<10) + "\r\nContent-Length: 4\r\n\r\ndone"),
			policy.Malformed, 1,
		},
		{"HTTP/1.0", fakes.Respond("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone"), policy.OK, 1},
		{
			"HTTP/1.0 with an interim response", fakes.Respond("HTTP/1.0 102 Wait\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 4\r\nX: transfer-encoding\r\n\r\ndone"),
			policy.OK, 1,
		},
		{"client error", fakes.Respond("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n"), policy.NotAttempted, 1},
		{"response too long", fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Malformed, 1},
		{"timed out", fakes.NeverRespond, policy.TimedOut, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := agenttest.NewScriptedServer(t, test.respond)
			r := agenttest.NewRig(t, time.Second)
			r.PublishOne(server.Addr())
			got := r.Send(t, 1, agenttest.KeyedRequest, 400*time.Millisecond)
			results := agenttest.Events[policy.AttemptResult](r.Router)
			if len(results) != 1 || results[0].Outcome != test.want || results[0].RequestDone != (test.want == policy.OK || test.want == policy.NotAttempted) {
				t.Errorf("got attempt results %+v, want one with outcome %d", results, test.want)
			}
			if test.want == policy.OK && (got.Response == nil || string(got.Response.Body) != "done") {
				t.Errorf("got reply %+v, want body \"done\"", got)
			}
			if test.want == policy.NotAttempted && (got.Response == nil || got.Response.Status != 400) {
				t.Errorf("got reply %+v, want status 400", got)
			}
			if requests := server.Requests(); len(requests) != test.requests || requests[0].Body != "body" {
				t.Errorf("got %d requests at the server: %+v, want one with the request's body", len(requests), requests)
			}
			isLost := test.want == policy.TimedOut || test.want == policy.ConnectionLost || test.want == policy.Malformed
			if isLost { // the connection is closed, so that there are never two attempts at once
				agenttest.Eventually(t, "the end of the connection", func() bool { return server.Closed() == 1 })
			}
		})
	}
}

// An attempt fails to connect, and has not run, if its connection is refused or does not come up in time.
func TestConnectFailures(t *testing.T) {
	closed := agenttest.Listen(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		dialTimeout time.Duration
		addr        string
	}{"refused": {time.Second, closed.Addr().String()}, "never came up": {1, agenttest.Listen(t).Addr().String()}} {
		r := agenttest.NewRig(t, test.dialTimeout)
		r.PublishOne(test.addr)
		r.Send(t, 1, agenttest.KeyedRequest, time.Second)
		if results := agenttest.Events[policy.AttemptResult](r.Router); len(results) != 1 || results[0].Outcome != policy.ConnectFailed {
			t.Errorf("%s: got attempt results %+v, want one that failed to connect", name, results)
		}
	}
}

// A connection is reused. If it is lost during a keyed request, no second attempt follows. A connection that ended while idle does not
// affect the next request, and an unrequested response ends its connection.
func TestConnectionReuse(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.PublishOne(server.Addr())
	r.Send(t, 1, agenttest.KeyedRequest, time.Second)
	server.SetHandler(fakes.CloseUnanswered)
	r.Send(t, 2, agenttest.KeyedRequest, time.Second)
	results, requests := agenttest.Events[policy.AttemptResult](r.Router), server.Requests()
	if len(requests) != 2 || requests[1].Conn != 1 || results[1].Outcome != policy.ConnectionLost {
		t.Fatalf("got attempt results %+v after requests %+v, want the second one lost on the first connection", results, requests)
	}
	server.SetHandler(func(conn net.Conn, nth int) bool {
		return fakes.Respond(fakes.OKResponse("done")+fakes.OKResponse("not asked for"))(conn, nth)
	})
	r.Send(t, 3, agenttest.KeyedRequest, time.Second)
	agenttest.Eventually(t, "the end of a connection with an unrequested response", func() bool { return server.Closed() == 2 })
	server.SetHandler(fakes.Respond(fakes.OKResponse("done")))
	if got := r.Send(t, 4, agenttest.KeyedRequest, time.Second); got.Response == nil || len(server.Requests()) != 4 || server.Requests()[3].Conn != 3 {
		t.Errorf("got reply %+v after requests %+v, want a response to the fourth request, on the third connection", got, server.Requests())
	}
}

// What an endpoint sends after a response, at once or later, never becomes the response to the next request.
func TestUnrequestedResponseIsNotDelivered(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		server := agenttest.NewScriptedServer(t, nil)
		r := agenttest.NewRig(t, time.Second)
		r.PublishOne(server.Addr())
		sentAfter := make(chan bool, 50)
		server.SetHandler(func(conn net.Conn, nth int) bool {
			if _, err := io.WriteString(conn, fakes.OKResponse(fmt.Sprint(nth))); err != nil {
				return false
			}
			time.Sleep(delay)
			_, err := io.WriteString(conn, fakes.OKResponse("not asked for"))
			sentAfter <- true
			return err == nil
		})
		for id := uint64(1); id <= 50; id++ {
			got := r.Send(t, id, agenttest.KeyedRequest, time.Second)
			if got.Response == nil || string(got.Response.Body) != fmt.Sprint(id) {
				t.Fatalf("request %d: got reply %+v, want the request's ID as the body", id, got)
			}
			<-sentAfter
		}
	}
}

// An endpoint that is listed again with another address keeps its ID, and its old address receives no more requests.
func TestEndpointAddressChanges(t *testing.T) {
	before := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("a")))
	after := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("b")))
	r := agenttest.NewRig(t, time.Second)
	entry := agenttest.Entry(before.Addr())
	entry.Build = 1
	r.Publish(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{entry}})
	r.Send(t, 1, agenttest.KeyedRequest, time.Second)
	entry.Address, entry.Build = after.Addr(), 2
	r.Publish(protocol.List{Version: 2, Entries: []protocol.ListEntry{entry}})
	agenttest.Eventually(t, "the end of the old connection", func() bool { return before.Closed() == 1 })
	r.Send(t, 2, agenttest.KeyedRequest, time.Second)
	lists := agenttest.Events[policy.EndpointUpdate](r.Router)
	first, second := lists[0].Endpoints[0], lists[1].Endpoints[0]
	if len(before.Requests()) != 1 || len(after.Requests()) != 1 || first.ID != second.ID || second.Build != 2 {
		t.Errorf("got %d and %d requests and lists %+v, want one each, the same ID and build 2", len(before.Requests()), len(after.Requests()), lists)
	}
}

// The cancellation of a request ends its attempt once. The result of a health check holds the load report of the endpoint's response.
func TestCancelAndHealthCheck(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	r := agenttest.NewRig(t, time.Second)
	r.PublishOne(server.Addr())
	endpointID := protocol.EndpointID(agenttest.Host)
	r.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			return []policy.Command{policy.SendAttempt{RequestID: event.ID, EndpointID: endpointID}}
		case policy.RequestCancelled:
			return []policy.Command{policy.CancelAttempt{RequestID: event.RequestID}}
		case policy.AttemptResult:
			return []policy.Command{policy.CheckHealth{EndpointID: endpointID}}
		}
		return nil
	})
	r.Loop.Admit(policy.RequestArrived{ID: 7}, agent.NewRequest(agenttest.KeyedRequest, time.Now().Add(agenttest.WaitTimeout), nil))
	agenttest.Eventually(t, "the attempt", func() bool { return len(server.Requests()) == 1 })
	server.SetHandler(fakes.Respond("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"queue\":3}"))
	r.Loop.Enqueue(policy.RequestCancelled{RequestID: 7})
	r.Loop.Enqueue(policy.RequestCancelled{RequestID: 7}) // the router must not receive this second cancellation
	agenttest.Eventually(t, "the health check's result", func() bool { return len(agenttest.Events[policy.HealthCheckResult](r.Router)) == 1 })
	if p := agenttest.Events[policy.HealthCheckResult](r.Router)[0]; p.Outcome != policy.OK || len(p.Load) != 1 || p.Load[0] != 3 {
		t.Errorf("got health check result %+v, want OK with load 3", p)
	}
	results := agenttest.Events[policy.AttemptResult](r.Router)
	if len(results) != 1 || results[0].Outcome != policy.Cancelled || !results[0].RequestDone || len(agenttest.Events[policy.RequestCancelled](r.Router)) != 1 {
		t.Errorf("got attempt results %+v, want one cancelled attempt and one cancellation", results)
	}
	if server.Requests()[1].RequestLine != "GET /_load" {
		t.Errorf("got health check request %q, want GET /_load", server.Requests()[1].RequestLine)
	}
}

// An attempt that was decided before a stall is not written after the stall: the policy chooses an endpoint again.
func TestOutdatedAttemptIsNotWritten(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, 100*time.Millisecond)
	r.PublishOne(server.Addr())
	if got := r.Send(t, 1, agenttest.KeyedRequest, time.Second); got.Response == nil {
		t.Fatalf("fresh attempt: got reply %+v, want a response", got)
	}
	r.Loop.Flush(r.Context())
	entry := agenttest.Entry(server.Addr())
	endpoint := r.Pool.NewEndpoint(protocol.EndpointID(agenttest.Host), entry, r.Loop)
	endpoint.Update(entry)
	defer endpoint.Remove()
	now := time.Now()
	// The first attempt leaves a connection that the outdated one would be written to.
	for _, attempt := range []struct {
		id  uint64
		age time.Duration
	}{{2, 0}, {3, time.Second}} {
		id := attempt.id
		endpoint.Send(upstream.Attempt{
			RequestID: id, Encoded: agenttest.KeyedRequest, DecidedAt: now.Add(-attempt.age), Deadline: now.Add(agenttest.WaitTimeout),
		})
		agenttest.Eventually(t, "the attempt's result", func() bool {
			for _, e := range agenttest.Events[policy.AttemptResult](r.Router) {
				if e.RequestID == id {
					return true
				}
			}
			return false
		})
	}
	if n := len(server.Requests()); n != 2 {
		t.Errorf("got %d requests, want those of the two fresh attempts", n)
	}
}

// If a connection is lost, the endpoint's idle connections are closed too: they are dead if the endpoint's machine was cut off from the
// network.
func TestLostConnectionClosesIdleOnes(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	r := agenttest.NewRig(t, time.Second)
	r.PublishOne(server.Addr())
	release := make(chan struct{})
	server.SetHandler(func(conn net.Conn, nth int) bool {
		if nth == 2 {
			close(release)
		}
		<-release
		return fakes.Respond(fakes.OKResponse("done"))(conn, nth)
	})
	var both sync.WaitGroup
	for id := range uint64(2) {
		both.Go(func() { r.Send(t, id+1, agenttest.KeyedRequest, agenttest.WaitTimeout) })
	}
	both.Wait()
	server.SetHandler(fakes.CloseUnanswered)
	r.Send(t, 3, agenttest.KeyedRequest, time.Second)
	agenttest.Eventually(t, "the end of both connections", func() bool { return server.Closed() == 2 })
}
