package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A request of which half the head was read when the drain starts is answered whenever its rest comes, on a kept connection as on a new
// one. A connection that stays silent ends by itself, without a reset.
func TestDrainAnswersPartialHead(t *testing.T) {
	server := newTestServer(t, false)
	kept, fresh, silent := server.dial(t), server.dial(t), server.dial(t)
	for _, client := range []*testClient{kept, silent} {
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
	server.waitForListener(t, "closing when empty", func(l *clientListener) bool { return l.closesWhenEmpty })
	for i, client := range []*testClient{kept, fresh} {
		client.send(rest[i])
		client.expectResponse(http.StatusServiceUnavailable, true)
		client.expectEOF()
		_ = client.Close()
	}
	silent.expectEOF()
	_ = silent.Close()
	server.assertReleased(t, done)
}

// A client that connects before the listener closes is served: a connection in the system's queue would be reset.
func TestDrainAcceptsLateConnections(t *testing.T) {
	server := newTestServer(t, true)
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

// A response may be written as one that keeps its connection just as the drain starts. The client's next request on it is answered as on
// every kept connection, and its response ends the connection; where no request comes, the connection ends by itself within the drain.
func TestDrainStartsDuringResponse(t *testing.T) {
	server := newTestServer(t, false)
	active, silent := server.dial(t), server.dial(t)
	for _, client := range []*testClient{active, silent} {
		client.send(rawRequest("lookup"))
		client.expectResponse(http.StatusServiceUnavailable, false)
	}
	conn := server.serverConn(t, silent)
	start := time.Now()
	done := server.startDrain(t, agenttest.WaitTimeout)
	time.Sleep(lateArrivalWindow) // past what the drain does at its start
	active.send(rawRequest("lookup"))
	active.expectResponse(http.StatusServiceUnavailable, true)
	active.expectEOF()
	_ = active.Close()
	silent.expectEOF()
	if took := time.Since(start); took > IdleTimeout+time.Second {
		t.Errorf("the connection without a request ended after %v", took)
	}
	_ = silent.Close()
	server.assertReleased(t, done)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != stateRetired {
		t.Errorf("in state %d", conn.state)
	}
}

// Where the drain's time is shorter than the idle timeout, a connection without a request is ended before the process is, so that its client
// finds an end and not a reset.
func TestDrainEndsIdleConnectionsInTime(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusServiceUnavailable, false)
	start := time.Now()
	server.startDrain(t, 400*time.Millisecond)
	client.expectEOF()
	if took := time.Since(start); took > IdleTimeout/2 {
		t.Errorf("ended after %v", took)
	}
}

// Clients that go on connecting do not keep the listener open to the end of the drain: it closes when open requests are answered, early
// enough for what has arrived to be answered as well.
func TestDrainClosesListenerBeforeItsEnd(t *testing.T) {
	server := newTestServer(t, false)
	stays := server.dial(t)
	stays.send(rawRequest("lookup")[:9]) // half a head: it stays connected
	server.waitForState(t, stays, stateReading)
	const within = 600 * time.Millisecond
	start := time.Now()
	done := server.startDrain(t, within)
	for connected := true; connected; { // until it is refused
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.proxy.listener.Addr().String())
		if connected = err == nil; !connected {
			break
		}
		client := &testClient{conn, t, bufio.NewReader(conn)}
		_ = conn.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
		client.send(rawRequest("lookup"))
		if _, err := client.readResponse(); err != nil {
			t.Errorf("sent %v after the drain's start, got %v", time.Since(start), err)
		}
		_ = conn.Close()
	}
	if took := time.Since(start); took < within-finalReplyWindow || took >= within {
		t.Errorf("refuses connections after %v", took)
	}
	if err := <-done; err != nil && !errors.Is(err, context.DeadlineExceeded) { // half a head is left
		t.Errorf("the drain ended with %v", err)
	}
}

// A request that crosses the end of an idle connection is dropped with the connection, and its client reads an end, not a reset.
func TestRequestCrossesTheEnd(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusServiceUnavailable, false)
	server.waitForState(t, client, stateIdle)
	if !server.serverConn(t, client).retire() {
		t.Fatal("not retired")
	}
	client.send(rawRequest("lookup")) // its client has not looked since
	client.expectEOF()
	_ = client.Close()
	server.assertReleased(t, server.startDrain(t, agenttest.WaitTimeout))
	if requests := agenttest.Events[policy.RequestArrived](server.Router); len(requests) != 1 {
		t.Errorf("%d requests reached the router", len(requests))
	}
}

// Requests that are open at the deadline of a drain are answered then, and the drain ends in time.
func TestDrainDeadline(t *testing.T) {
	server := newTestServer(t, true)
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
