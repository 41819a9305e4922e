package agenttest

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/connlimit"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/upstream"
)

// Settings of a Rig's pool. No test depends on their values.
const (
	idleTimeout = time.Minute
	// connectionBudget is the number of descriptors for connections.
	connectionBudget = 64
)

// Rig is an event loop with a scripted router and an endpoint pool, and no clients.
type Rig struct {
	*Router
	Loop *agent.Loop
	Pool *upstream.Pool
	t    *testing.T
}

// Context returns a context that ends with the test.
func (r *Rig) Context() context.Context { return r.t.Context() }

// NewRig starts a rig with a dial timeout. Its connections are reused at once after a response.
func NewRig(t *testing.T, dialTimeout time.Duration) *Rig {
	t.Helper()
	r := &Rig{Router: &Router{}, t: t}
	r.Loop = agent.NewLoop(r.Router, agent.NewClock())
	r.Pool = upstream.NewPool(upstream.Config{
		DialTimeout:      dialTimeout,
		IdleTimeout:      idleTimeout,
		LoadReportFields: []string{"queue"},
		Budget:           connlimit.NewBudget(connectionBudget),
	})
	go r.Loop.Serve(r.Context(), r.Pool, func(policy.Vote) {}, func(policy.SendGossip) {})
	return r
}

// Publish hands a list to the loop as the discovery client does.
func (r *Rig) Publish(list protocol.List) {
	slices.SortStableFunc(list.Entries, func(a, b protocol.ListEntry) int { return strings.Compare(a.Host, b.Host) })
	update := agent.EndpointList{EndpointUpdate: policy.EndpointUpdate{Full: list.IsFull}}
	for _, entry := range list.Entries {
		endpoint, err := entry.Endpoint([]string{Zone})
		if err != nil {
			ratelog.Warn("row", "list entry skipped", "reason", err)
			continue
		}
		endpoint.ID = protocol.EndpointID(entry.Host)
		update.Endpoints = append(update.Endpoints, endpoint)
		update.Entries = append(update.Entries, entry)
	}
	r.Loop.UpdateEndpoints(update)
}

// Host is the name of the only endpoint of most tests.
const Host = "box"

// Entry returns the list entry of Host at an address. The endpoint takes new attempts.
func Entry(address string) protocol.ListEntry {
	return protocol.ListEntry{Host: Host, Address: address, Zone: Zone, Health: "active"}
}

// PublishOne hands a list with the one endpoint Host to the loop.
func (r *Rig) PublishOne(address string) {
	r.Publish(protocol.List{Version: 1, IsFull: true, Entries: []protocol.ListEntry{Entry(address)}})
}

// Send admits a request and returns its final reply. The policy sends one attempt to the endpoint Host and fails the request if the attempt
// does not succeed.
func (r *Rig) Send(t *testing.T, id uint64, encoded *protocol.EncodedRequest, timeout time.Duration) agent.Reply {
	t.Helper()
	r.Respond(func(event policy.Event) []policy.Command {
		switch event := event.(type) {
		case policy.RequestArrived:
			return []policy.Command{policy.SendAttempt{
				RequestID:  event.ID,
				EndpointID: protocol.EndpointID(Host),
				Timeout:    timeout.Microseconds(),
			}}
		case policy.AttemptResult:
			if !event.RequestDone {
				return []policy.Command{policy.Fail{RequestID: event.RequestID}}
			}
		}
		return nil
	})
	request := agent.NewRequest(encoded, time.Now().Add(WaitTimeout), nil)
	r.Loop.Admit(policy.RequestArrived{ID: id}, request)
	select {
	case reply := <-request.Replies():
		r.Loop.Flush(r.Context()) // the router gets the attempt's result after the client gets the reply
		return reply
	case <-time.After(WaitTimeout):
		t.Fatalf("request %d has no final reply after %v", id, WaitTimeout)
		return agent.Reply{}
	}
}
