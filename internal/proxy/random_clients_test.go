package proxy

import (
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

const (
	maxRandomClients = 4
	maxRandomSteps   = 16
)

// randomClient is a client that sends requests in pieces and counts the responses.
type randomClient struct {
	*testClient
	unsent    string // the part of the next request that has not been sent
	requests  int    // number of requests that have been sent completely
	responses atomic.Int64
	ended     chan struct{} // closed when no further response can arrive
}

// newRandomClient connects a client and starts to read responses.
func newRandomClient(t *testing.T, server *testServer) *randomClient {
	t.Helper()
	client := &randomClient{testClient: server.dial(t), unsent: rawRequest("lookup"), ended: make(chan struct{})}
	go func() {
		defer close(client.ended)
		for {
			if _, err := client.readResponse(); err != nil {
				return
			}
			client.responses.Add(1)
		}
	}()
	return client
}

// hasAllResponses reports whether all requests have been answered.
func (c *randomClient) hasAllResponses() bool { return int(c.responses.Load()) == c.requests }

// hasStartedRequest reports whether a part of a request has been sent.
func (c *randomClient) hasStartedRequest() bool { return len(c.unsent) < len(rawRequest("lookup")) }

// sendBytes sends up to count bytes of the next request and waits until the server has read them. Without the wait, the server might read
// them before or after the next step.
func (c *randomClient) sendBytes(t *testing.T, server *testServer, count int) {
	t.Helper()
	count = min(len(c.unsent), count)
	if _, err := io.WriteString(c, c.unsent[:count]); err != nil {
		return // the connection was retired
	}
	conn := server.serverConn(t, c.testClient)
	waitForConn(t, "the bytes", conn, func() bool { return conn.state == stateReading || conn.state == stateAwaiting })
	c.unsent = c.unsent[count:]
	if c.unsent == "" {
		c.unsent = rawRequest("lookup")
		c.requests++
	}
}

// randomClients holds the clients of one random sequence.
type randomClients struct {
	server       *testServer
	open         []*randomClient
	all          []*randomClient
	disconnected int
}

// connect adds a client.
func (r *randomClients) connect(t *testing.T) {
	t.Helper()
	client := newRandomClient(t, r.server)
	r.open = append(r.open, client)
	r.all = append(r.all, client)
}

// disconnect closes the connection of an open client.
func (r *randomClients) disconnect(index int) {
	_ = r.open[index].Close()
	r.open = slices.Delete(r.open, index, index+1)
	r.disconnected++
}

// step performs a random action of a random open client.
func (r *randomClients) step(t *testing.T, rt *rapid.T) {
	t.Helper()
	index := rapid.IntRange(0, len(r.open)-1).Draw(rt, "which")
	client := r.open[index]
	switch rapid.IntRange(0, 5).Draw(rt, "what") {
	case 0, 1: // some bytes of a request, or the rest of it
		if int(client.responses.Load()) < client.requests {
			return // one request at a time
		}
		client.sendBytes(t, r.server, rapid.SampledFrom([]int{1, 20, 1000}).Draw(rt, "bytes"))
	case 2, 3: // disconnects, with or without a reset
		if rapid.Bool().Draw(rt, "reset") {
			_ = client.Conn.(*net.TCPConn).SetLinger(0)
		}
		r.disconnect(index)
	case 4:
		if !r.server.serverConn(t, client.testClient).retire() {
			return
		}
		if client.hasStartedRequest() {
			rt.Fatal("a connection with a started request was retired")
		}
		agenttest.Eventually(t, "the responses to all its requests", client.hasAllResponses)
		r.disconnect(index) // its connection carries no request, and the server would not read another
	case 5:
		r.server.rejectAll()
	}
}

// startDrain does what Drain does, but waits neither for late arrivals nor for the drain's deadline. The channel receives a value when the
// listener is closed.
func (r *randomClients) startDrain() chan error {
	proxy := r.server.proxy
	proxy.drainDeadline = time.Now().Add(agenttest.WaitTimeout)
	proxy.isDraining.Store(true)
	proxy.listener.retireIdle(0)
	proxy.listener.closeWhenEmpty()
	done := make(chan error, 1)
	go func() {
		<-proxy.listener.closed
		done <- nil
	}()
	return done
}

// completeRequests sends the rest of each started request, and disconnects clients that have sent nothing.
func (r *randomClients) completeRequests(rt *rapid.T) {
	for _, client := range r.open {
		if client.hasStartedRequest() {
			if _, err := io.WriteString(client, client.unsent); err != nil {
				rt.Fatalf("connection closed in the middle of a request: %v", err)
			}
			client.requests++
		} else if client.requests == 0 {
			_ = client.Close()
		}
	}
}

// checkOpen answers the requests of the clients that stayed connected, and checks that each client has all its responses.
func (r *randomClients) checkOpen(rt *rapid.T) {
	for _, client := range r.open {
		for isOpen := true; isOpen; {
			r.server.rejectAll()
			select {
			case <-client.ended:
				isOpen = false
			case <-time.After(5 * time.Millisecond):
			}
		}
		_ = client.Close()
		if !client.hasAllResponses() {
			rt.Fatalf("a client that stayed connected sent %d requests and got %d responses", client.requests, client.responses.Load())
		}
	}
}

// checkTotals checks that each accepted request has a response or a client that disconnected.
func (r *randomClients) checkTotals(rt *rapid.T) {
	accepted := len(agenttest.Events[policy.RequestArrived](r.server.Router))
	answered := 0
	for _, client := range r.all {
		answered += int(client.responses.Load())
	}
	if answered > accepted || answered+r.disconnected < accepted {
		rt.Fatalf("%d requests accepted, %d answered, %d clients disconnected; want one response or disconnected client for each accepted request", accepted, answered, r.disconnected)
	}
}

// For any sequence of clients' actions, each accepted request has one complete response or a client that disconnected. A client that stays
// connected gets as many responses as it sent requests. At the end, all descriptors and request ids are released.
func TestRandomClientSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clients := &randomClients{server: newTestServer(t, true)}
		for range rapid.IntRange(1, maxRandomSteps).Draw(rt, "steps") {
			if len(clients.open) < maxRandomClients && rapid.Bool().Draw(rt, "connects") {
				clients.connect(t)
				continue
			}
			if len(clients.open) > 0 {
				clients.step(t, rt)
			}
		}
		done := clients.startDrain()
		clients.completeRequests(rt)
		clients.checkOpen(rt)
		for _, client := range clients.all {
			<-client.ended
		}
		clients.server.assertReleased(t, done)
		clients.checkTotals(rt)
	})
}
