package proxy

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A request of which half the head was read when the drain starts is answered whenever its rest comes, on a kept connection as on a new
// one. Connections that carry no request end at once, without a reset.
func TestDrainAnswersPartialHead(t *testing.T) {
	server := newTestServer(t, 64, false)
	kept, fresh, quiet := server.dial(t), server.dial(t), server.dial(t)
	for _, client := range []*testClient{kept, quiet} {
		client.send(rawRequest("lookup"))
		client.expectResponse(http.StatusServiceUnavailable, false)
		server.waitForState(t, client, stateIdle)
	}
	var rest []string
	for _, client := range []*testClient{kept, fresh} {
		raw := rawRequest("lookup")
		client.send(raw[:9])
		rest = append(rest, raw[9:])
		server.waitForState(t, client, stateReading)
	}
	done := server.startDrain(t, agenttest.WaitTimeout)
	quiet.expectEOF()
	server.waitForListener(t, "closing when empty", func(l *clientListener) bool { return l.closesWhenEmpty })
	for i, client := range []*testClient{kept, fresh} {
		client.send(rest[i])
		client.expectResponse(http.StatusServiceUnavailable, true)
		client.expectEOF()
		_ = client.Close()
	}
	server.assertReleased(t, done)
}

// A client that connects before the listener closes is served: a connection in the system's queue would be reset.
func TestDrainAcceptsLateConnections(t *testing.T) {
	server := newTestServer(t, 64, true)
	first := server.dial(t)
	first.send(rawRequest("lookup"))
	server.waitForState(t, first, stateAwaiting)
	done := server.startDrain(t, agenttest.WaitTimeout)
	server.waitForListener(t, "closing when empty", func(l *clientListener) bool { return l.closesWhenEmpty })
	late := server.dial(t)
	late.send(rawRequest("lookup"))
	server.waitForRequests(t, 2)
	server.rejectAll()
	for _, client := range []*testClient{first, late} {
		client.expectResponse(http.StatusServiceUnavailable, true)
		client.expectEOF()
		_ = client.Close()
	}
	server.assertReleased(t, done)
}

// A response may be written as one that keeps its connection just as the drain starts. The connection ends at once all the same, and not
// after its idle timeout.
func TestDrainStartsDuringResponse(t *testing.T) {
	server := newTestServer(t, 64, true)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	server.waitForRequests(t, 1)
	conn := server.serverConn(t, client)
	server.proxy.listener.startDrain() // without the part of Drain that the response's head would show
	server.rejectAll()
	client.expectResponse(http.StatusServiceUnavailable, false)
	start := time.Now()
	client.expectEOF()
	if took := time.Since(start); took > IdleTimeout/2 {
		t.Errorf("ended after %v", took)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != stateRetired {
		t.Errorf("in state %d", conn.state)
	}
}

// Requests that are open at the deadline of a drain are answered then, and the drain ends in time.
func TestDrainDeadline(t *testing.T) {
	server := newTestServer(t, 64, true)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	server.waitForState(t, client, stateAwaiting)
	done := server.startDrain(t, 400*time.Millisecond)
	client.expectResponse(http.StatusGatewayTimeout, true)
	_ = client.Close()
	select {
	case err := <-done:
		// The time is over before late arrivals have stopped, or the last connection is seen to close.
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the drain ended with %v", err)
		}
	case <-time.After(agenttest.WaitTimeout):
		t.Fatal("the drain does not end")
	}
	agenttest.Eventually(t, "the cancellation", func() bool { return len(agenttest.Events[policy.RequestCancelled](server.Router)) == 1 })
	server.proxy.requestIDs.mu.Lock()
	defer server.proxy.requestIDs.mu.Unlock()
	if len(server.proxy.requestIDs.reserved) != 0 {
		t.Error("its id is still reserved")
	}
}
