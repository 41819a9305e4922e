package proxy

import (
	"testing"

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
