package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/connlimit"
	"switchfork/internal/policy"
)

// testServer is a proxy on a loopback listener, with a router that rejects requests either at once or when the test calls rejectAll.
type testServer struct {
	*agenttest.Rig
	proxy  *Proxy
	budget *connlimit.Budget
	memory *connlimit.MemoryBudget
	served chan error
}

// testDescriptors is the descriptor limit of a server that newTestServer starts.
const testDescriptors = 64

// testMemoryBytes is the memory budget of a server that newTestServer starts.
const testMemoryBytes = 8 << 20

// newTestServer starts a proxy. With holdsRequests, requests stay open until rejectAll.
func newTestServer(t *testing.T, holdsRequests bool) *testServer {
	t.Helper()
	return newLingeringServer(t, testDescriptors, holdsRequests, defaultLingerTimeout)
}

// newLingeringServer starts a proxy with a descriptor limit and a linger timeout of its connections.
func newLingeringServer(t *testing.T, descriptors int, holdsRequests bool, lingerTimeout time.Duration) *testServer {
	t.Helper()
	server := &testServer{
		Rig:    agenttest.NewRig(t, time.Second),
		budget: connlimit.NewBudget(descriptors),
		memory: connlimit.NewMemoryBudget(testMemoryBytes),
		served: make(chan error, 1),
	}
	var pending []policy.Command
	server.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			rejection := policy.Reject{RequestID: event.ID}
			if !holdsRequests {
				return []policy.Command{rejection}
			}
			pending = append(pending, rejection)
		case policy.GossipReceived: // sent by rejectAll
			return slices.Clone(pending)
		}
		return nil
	})
	server.proxy = New(Config{
		Loop: server.Loop,
		Classes: []RequestClass{
			{Name: "lookup", Idempotency: policy.Idempotent, MayRepeat: true, Timeout: agenttest.WaitTimeout},
			{Name: "posting", Idempotency: policy.Keyed, MayRepeat: true, Timeout: agenttest.WaitTimeout},
			{Name: "zone-posting", Idempotency: policy.Keyed, Timeout: agenttest.WaitTimeout},
			{Name: "closing", Idempotency: policy.NonIdempotent, Timeout: agenttest.WaitTimeout},
			{Name: "_health", Idempotency: policy.Idempotent, Timeout: agenttest.WaitTimeout},
		},
		MaxOpenRequests: 1000,
		Budget:          server.budget,
		Memory:          server.memory,
		LastRequestID:   1,
	})
	server.proxy.listener.lingerTimeout = lingerTimeout
	if err := server.proxy.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { server.served <- server.proxy.Serve() }()
	t.Cleanup(func() { server.proxy.listener.shutdown() })
	return server
}

// rejectAll has the router reject all requests that it holds. The event GossipReceived is the signal for this.
func (s *testServer) rejectAll() { s.Loop.Enqueue(policy.GossipReceived{}) }

// waitForRequests waits until the router has received n requests.
func (s *testServer) waitForRequests(t *testing.T, n int) {
	t.Helper()
	agenttest.Eventually(t, "the request", func() bool { return len(agenttest.Events[policy.RequestArrived](s.Router)) == n })
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// dial connects a client.
func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.proxy.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // a second close if the test has closed it
	_ = c.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
	return &testClient{c, t, bufio.NewReader(c)}
}

// lastTestID is the last request id that a test has used. No two requests have the same id.
var lastTestID atomic.Uint64

// rawRequest encodes a request with a new id. All requests for one path have the same length.
func rawRequest(path string) string {
	return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %08x\r\n\r\n", path, lastTestID.Add(1))
}

// send writes to the server.
func (c *testClient) send(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

// testResponse holds the properties of a response that tests check.
type testResponse struct {
	status int
	isLast bool // the response closes its connection
}

// readResponse reads one response with its body.
func (c *testClient) readResponse() (testResponse, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return testResponse{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read completely, or the connection has failed
	_, err = io.Copy(io.Discard, response.Body)
	return testResponse{response.StatusCode, response.Close}, err
}

// expectResponse reads one response and checks its status and whether the response closes the connection.
func (c *testClient) expectResponse(status int, isLast bool) {
	c.t.Helper()
	response, err := c.readResponse()
	if want := (testResponse{status, isLast}); err != nil || response != want {
		c.t.Fatalf("got response %+v, error %v; want %+v", response, err, want)
	}
}

// expectEOF waits for the end of the connection, which must not be a reset.
func (c *testClient) expectEOF() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Fatalf("got byte %q, error %v; want EOF", b, err)
	}
}

// waitForListener waits for a condition on the listener, which is locked while it is evaluated.
func (s *testServer) waitForListener(t *testing.T, what string, isMet func(*clientListener) bool) {
	t.Helper()
	listener := s.proxy.listener
	agenttest.Eventually(t, what, func() bool {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return isMet(listener)
	})
}

// waitForConn waits for a condition on a connection, which is locked while it is evaluated.
func waitForConn(t *testing.T, what string, conn *clientConn, isMet func() bool) {
	t.Helper()
	agenttest.Eventually(t, what, func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return isMet()
	})
}

// serverConn returns the server's side of a client's connection.
func (s *testServer) serverConn(t *testing.T, c *testClient) (conn *clientConn) {
	t.Helper()
	s.waitForListener(t, "the connection", func(l *clientListener) bool {
		for candidate := range l.conns {
			if candidate.RemoteAddr().String() == c.LocalAddr().String() {
				conn = candidate
			}
		}
		return conn != nil
	})
	return conn
}

// waitForState waits until the server's side of a connection is in the state want.
func (s *testServer) waitForState(t *testing.T, c *testClient, want connState) {
	t.Helper()
	conn := s.serverConn(t, c)
	waitForConn(t, fmt.Sprintf("state %d", want), conn, func() bool { return conn.state == want })
}

// startDrain starts a drain in the background and returns a channel that receives Drain's error.
func (s *testServer) startDrain(t *testing.T, within time.Duration) chan error {
	t.Helper()
	done := make(chan error, 1)
	ctx, stop := context.WithTimeout(t.Context(), within)
	t.Cleanup(stop)
	go func() { done <- s.proxy.Drain(ctx) }()
	agenttest.Eventually(t, "the drain", s.proxy.isDraining.Load)
	return done
}

// assertReleased waits for the end of a drain and checks that no connection, descriptor or request id is left.
func (s *testServer) assertReleased(t *testing.T, done chan error) {
	t.Helper()
	if err := <-done; err != nil {
		t.Errorf("Drain returned %v, want nil", err)
	}
	if err := <-s.served; err != nil {
		t.Errorf("Serve returned %v, want nil", err)
	}
	s.Loop.Flush(t.Context())
	clients, _ := s.budget.InUse()
	s.proxy.requestIDs.mu.Lock()
	defer s.proxy.requestIDs.mu.Unlock()
	if inUse := s.memory.InUse(); inUse != 0 {
		t.Errorf("got %d bytes of requests' memory left, want none", inUse)
	}
	if clients != 0 || len(s.proxy.requestIDs.reserved) != 0 || len(s.proxy.listener.conns) != 0 || len(s.proxy.listener.idleSince) != 0 {
		t.Errorf("got %d descriptors, %d ids, %d connections and %d idle ones left, want none", clients, len(s.proxy.requestIDs.reserved), len(s.proxy.listener.conns),
			len(s.proxy.listener.idleSince))
	}
}
