// Package agenttest holds what the tests of an agent's parts have in common: a scripted router, an event loop with its endpoints
// but without clients, and waits that end as soon as what they wait for has come.
package agenttest

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/upstream"
)

// Patience bounds each wait of a test. It is far longer than anything due takes, so that no verdict depends on it.
const Patience = 20 * time.Second

// Zone is the one zone of the lists that the tests publish.
const Zone = "suva"

// Posting is a keyed request, encoded.
var Posting = protocol.EncodeRequest(http.MethodPost, "/posting?sid=1", "service.internal", http.Header{"Idempotency-Key": {"k"}}, []byte("body"))

// Eventually waits until something that is due has come.
func Eventually(t *testing.T, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !come(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// Listen opens a listener on loopback that is closed with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := fakes.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // closed twice where the test has closed it
	return l
}

// NewScriptedServer starts an endpoint that handles each connection's requests with respond.
func NewScriptedServer(t *testing.T, respond func(c net.Conn, nth int) bool) *fakes.ScriptedServer {
	t.Helper()
	return fakes.NewScriptedServer(Listen(t), respond)
}

// NewStreamServer starts a server of streams that writes sign every so often, and to each call what first returns.
func NewStreamServer(t *testing.T, sign string, every time.Duration, first func(target string) string) *fakes.StreamServer {
	t.Helper()
	s := fakes.NewStreamServer(Listen(t), sign, every, first)
	t.Cleanup(s.Close)
	return s
}

// Router is a scripted router: it records events and returns the commands that the test wants.
type Router struct {
	mu      sync.Mutex
	events  []policy.Event
	times   []policy.Micros
	respond func(policy.Event) []policy.Command
}

// Handle records an event.
func (s *Router) Handle(now policy.Micros, event policy.Event) []policy.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	s.times = append(s.times, now)
	if s.respond == nil {
		return nil
	}
	return s.respond(event)
}

// Respond sets what is returned for each event from now on. It is called with the router locked.
func (s *Router) Respond(respond func(policy.Event) []policy.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// All returns the events so far, with the times at which they came.
func (s *Router) All() ([]policy.Event, []policy.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events), slices.Clone(s.times)
}

// Events returns the events of one type so far.
func Events[T policy.Event](s *Router) (out []T) {
	events, _ := s.All()
	for _, event := range events {
		if e, ok := event.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// Rig is an event loop with a scripted router and an endpoint pool, and no clients.
type Rig struct {
	*Router
	Loop    *agent.Loop
	Pool    *upstream.Pool
	Context context.Context // ends with the test
}

// NewRig starts one whose connections have to come up within a time. They are used again at once after an answer.
func NewRig(t *testing.T, dialTimeout time.Duration) *Rig {
	t.Helper()
	r := &Rig{Router: &Router{}, Context: t.Context()}
	r.Loop = agent.NewLoop(r.Router, agent.NewClock())
	r.Pool = upstream.NewPool(upstream.Config{
		DialTimeout: dialTimeout, IdleTimeout: time.Minute, LoadReportFields: []string{"queue"}, Budget: connlimit.NewBudget(64),
	})
	go r.Loop.Serve(r.Context, r.Pool, func(policy.Vote) {}, func(policy.SendGossip) {})
	return r
}

// Publish hands a list to the loop as the discovery client does.
func (r *Rig) Publish(list protocol.List) {
	slices.SortStableFunc(list.Hosts, func(a, b protocol.ListEntry) int { return strings.Compare(a.Host, b.Host) })
	update := agent.EndpointList{EndpointUpdate: policy.EndpointUpdate{Full: list.Whole}}
	for _, entry := range list.Hosts {
		endpoint, err := entry.Endpoint([]string{Zone})
		if err != nil {
			ratelog.Warn("row", "list entry left out", "why", err)
			continue
		}
		endpoint.ID = protocol.EndpointID(entry.Host)
		update.Endpoints = append(update.Endpoints, endpoint)
		update.Entries = append(update.Entries, entry)
	}
	r.Loop.UpdateEndpoints(update)
}

// Send hands a request in, orders one attempt of it at the endpoint "box" and returns its final answer. What ends without success
// is failed.
func (r *Rig) Send(t *testing.T, id uint64, encoded *protocol.EncodedRequest, timeout time.Duration) agent.Reply {
	t.Helper()
	r.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			return []policy.Command{policy.SendAttempt{RequestID: event.ID, EndpointID: protocol.EndpointID("box"), Timeout: timeout.Microseconds()}}
		case policy.AttemptResult:
			if !event.RequestDone {
				return []policy.Command{policy.Fail{RequestID: event.RequestID}}
			}
		}
		return nil
	})
	request := agent.NewRequest(encoded, time.Now().Add(Patience), nil)
	r.Loop.Admit(policy.RequestArrived{ID: id}, request)
	select {
	case reply := <-request.Replies():
		r.Loop.Flush(r.Context) // the router hears of the result after the client
		return reply
	case <-time.After(Patience):
		t.Fatal("no final answer")
		return agent.Reply{}
	}
}

// Capture takes connections, keeps the first bytes of each, and closes it.
func Capture(t *testing.T) (address string, first func() string) {
	t.Helper()
	l := Listen(t)
	got := make(chan string, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			raw := make([]byte, 4096)
			_ = c.SetReadDeadline(time.Now().Add(Patience))
			n, _ := c.Read(raw) // what came before an error is what counts
			got <- string(raw[:n])
			_ = c.Close()
		}
	}()
	return l.Addr().String(), func() string {
		select {
		case text := <-got:
			return strings.ReplaceAll(text, l.Addr().String(), "HOST:PORT")
		case <-time.After(Patience):
			t.Fatal("nothing was written")
			return ""
		}
	}
}
