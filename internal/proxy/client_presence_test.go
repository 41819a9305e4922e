package proxy

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// routingServer is a test server whose router sends each request once to one endpoint.
type routingServer struct {
	*testServer
	endpoint *fakes.ScriptedServer
}

// newRoutingServer starts a proxy and an endpoint that answers every request. With holdsRequests, the router sends nothing until
// sendAll.
func newRoutingServer(t *testing.T, holdsRequests bool) *routingServer {
	t.Helper()
	server := &routingServer{
		testServer: newTestServer(t, holdsRequests),
		endpoint:   agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done"))),
	}
	server.PublishOne(server.endpoint.Addr())
	var held []policy.Command
	isHolding := holdsRequests
	server.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			attempt := policy.SendAttempt{RequestID: event.ID, EndpointID: protocol.EndpointID(agenttest.Host)}
			if !isHolding {
				return []policy.Command{attempt}
			}
			held = append(held, attempt)
		case policy.GossipReceived: // sent by sendAll
			isHolding = false
			return held
		case policy.AttemptResult:
			if !event.RequestDone {
				return []policy.Command{policy.Fail{RequestID: event.RequestID}}
			}
		}
		return nil
	})
	return server
}

// sendAll has the router send the requests that it holds.
func (s *routingServer) sendAll() { s.Loop.Enqueue(policy.GossipReceived{}) }

// expectNoAttempt checks that nothing was sent and no request is left once the proxy has handled the requests that it has read.
func (s *routingServer) expectNoAttempt(t *testing.T) {
	t.Helper()
	agenttest.Eventually(t, "the end of all requests", func() bool {
		return s.proxy.openRequests.Load() == 0 && s.hasNoConnection()
	})
	if n := len(s.endpoint.Requests()); n != 0 {
		t.Errorf("got %d requests at the endpoint after their clients had left, want none", n)
	}
}

func (s *testServer) hasNoConnection() bool {
	s.proxy.listener.mu.Lock()
	defer s.proxy.listener.mu.Unlock()
	return len(s.proxy.listener.conns) == 0
}

// Guards against sending a request that has waited in the accept queue until after its client has left.
func TestRequestIsNotSentAfterItsClientHasLeftTheAcceptQueue(t *testing.T) {
	server := newRoutingServer(t, false)
	var silent []*testClient
	for range server.budget.MaxClients() {
		silent = append(silent, server.dial(t))
	}
	server.waitForListener(t, "the silent clients", func(l *clientListener) bool { return len(l.conns) == len(silent) })
	for range 10 {
		client := server.dial(t)
		client.send(rawRequest("lookup"))
		_ = client.Close()
	}
	for _, client := range silent {
		_ = client.Close() // frees the descriptors for those that wait
	}
	server.waitForListener(t, "an empty accept queue", func(l *clientListener) bool { return l.waitingClients.Load() == 0 })
	server.expectNoAttempt(t)
}

// Guards against sending the requests of a client that has left, if its close can't be seen because much that it sent before is unread. The
// router holds the first request until the client has left.
func TestRequestIsNotSentAfterItsClientHasLeftUnreadInput(t *testing.T) {
	const megabyte = 1 << 20
	for name, ahead := range map[string]struct{ bytes, pieceBytes int }{
		"nothing":                    {0, megabyte},
		"read ahead":                 {300, megabyte},
		"beyond the read-ahead":      {20 << 10, megabyte},
		"beyond it in small pieces":  {20 << 10, 16},
		"full buffers":               {8 * megabyte, megabyte},
		"full buffers, small pieces": {megabyte, 16},
	} {
		t.Run(name, func(t *testing.T) {
			server := newRoutingServer(t, true)
			client := server.dial(t)
			client.send(rawRequest("lookup"))
			server.waitForRequests(t, 1)
			sendAhead(client, ahead.bytes, ahead.pieceBytes)
			_ = client.Close()
			time.Sleep(leaveDelay)
			server.sendAll()
			server.expectNoAttempt(t)
		})
	}
}

// leaveDelay is after which time of a client's close no request of it may be sent.
const leaveDelay = 100 * time.Millisecond

// sendAhead sends requests of about as many bytes in pieces, as far as the buffers take them.
func sendAhead(client *testClient, bytes, pieceBytes int) {
	requests := strings.Builder{}
	for requests.Len() < bytes {
		requests.WriteString(rawRequest("lookup"))
	}
	_ = client.SetWriteDeadline(time.Now().Add(10 * leaveDelay)) // fails only on a closed connection
	for piece := range slices.Chunk([]byte(requests.String()), pieceBytes) {
		if _, err := client.Write(piece); err != nil {
			return // the buffers are full
		}
	}
}

// Guards against sending the later requests of a client that has sent many at once and left.
func TestPipelinedRequestsAreNotSentAfterTheirClientHasLeft(t *testing.T) {
	server := newRoutingServer(t, false)
	answer := make(chan struct{})
	server.endpoint.SetHandler(func(conn net.Conn, nth int) bool {
		<-answer
		return fakes.Respond(fakes.OKResponse("done"))(conn, nth)
	})
	client := server.dial(t)
	sendAhead(client, 20<<10, 1<<20)
	agenttest.Eventually(t, "the first request", func() bool { return len(server.endpoint.Requests()) == 1 })
	_ = client.Close()
	time.Sleep(leaveDelay)
	close(answer)
	agenttest.Eventually(t, "the end of all requests", func() bool { return server.proxy.openRequests.Load() == 0 && server.hasNoConnection() })
	if n := len(server.endpoint.Requests()); n != 1 {
		t.Errorf("got %d requests at the endpoint, want that which was sent before the client left", n)
	}
}

// A client that has sent its next request early, of the greatest length that the kernel's buffer leaves room for, is served.
func TestEarlyRequestIsServed(t *testing.T) {
	server := newRoutingServer(t, true)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	server.waitForRequests(t, 1)
	body := strings.Repeat("x", 24<<10)
	client.send(fmt.Sprintf("POST /posting HTTP/1.1\r\nHost: x\r\nX-Request-Id: early-%d\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", lastTestID.Add(1), len(body), body))
	time.Sleep(leaveDelay)
	server.sendAll()
	client.expectResponse(http.StatusOK, false)
	server.waitForRequests(t, 2)
	server.sendAll()
	client.expectResponse(http.StatusOK, false)
}
