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

// If half the head of a request has been read when a drain starts, the request is answered once the rest arrives. This holds on kept
// connections and on new ones. A connection that stays silent is closed by its idle timeout, without a reset.
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
	server.waitForListener(t, "the call of closeWhenEmpty", func(l *clientListener) bool { return l.closesWhenEmpty })
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

// A client that connects before the listener closes is served. Left in the kernel's accept queue, its connection would be reset.
func TestDrainAcceptsLateConnections(t *testing.T) {
	server := newTestServer(t, true)
	first := server.dial(t)
	first.send(rawRequest("lookup"))
	server.waitForState(t, first, stateAwaiting)
	done := server.startDrain(t, agenttest.WaitTimeout)
	server.waitForListener(t, "the call of closeWhenEmpty", func(l *clientListener) bool { return l.closesWhenEmpty })
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

// A response that keeps its connection open may be written just as the drain starts. The client's next request on the connection is
// answered, and that response closes the connection. If no request follows, the idle timeout closes the connection during the drain.
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
	time.Sleep(lateArrivalWindow) // until the first steps of the drain are done
	active.send(rawRequest("lookup"))
	active.expectResponse(http.StatusServiceUnavailable, true)
	active.expectEOF()
	_ = active.Close()
	silent.expectEOF()
	if took := time.Since(start); took > IdleTimeout+time.Second {
		t.Errorf("the connection without a request was closed after %v, want at most IdleTimeout plus 1 s", took)
	}
	_ = silent.Close()
	server.assertReleased(t, done)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != stateRetired {
		t.Errorf("got state %d, want stateRetired", conn.state)
	}
}

// If the drain is shorter than the idle timeout, a connection without a request is closed before the process exits, so that its client
// reads EOF and does not get a reset.
func TestDrainEndsIdleConnectionsInTime(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusServiceUnavailable, false)
	start := time.Now()
	server.startDrain(t, 400*time.Millisecond)
	client.expectEOF()
	if took := time.Since(start); took > IdleTimeout/2 {
		t.Errorf("the connection was closed after %v, want at most half of IdleTimeout", took)
	}
}

// Clients that keep connecting do not keep the listener open until the end of the drain. The listener closes when open requests are
// answered. That is early enough to answer the requests that have arrived by then as well.
func TestDrainClosesListenerBeforeItsEnd(t *testing.T) {
	server := newTestServer(t, false)
	unfinished := server.dial(t)
	unfinished.send(rawRequest("lookup")[:9]) // part of a request head, so that the client stays connected
	server.waitForState(t, unfinished, stateReading)
	const within = 600 * time.Millisecond
	start := time.Now()
	done := server.startDrain(t, within)
	for connected := true; connected; { // until a connection is refused
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.proxy.listener.Addr().String())
		if connected = err == nil; !connected {
			break
		}
		client := &testClient{conn, t, bufio.NewReader(conn)}
		_ = conn.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
		client.send(rawRequest("lookup"))
		if _, err := client.readResponse(); err != nil {
			t.Errorf("reading a response %v after the start of the drain failed: %v", time.Since(start), err)
		}
		_ = conn.Close()
	}
	if took := time.Since(start); took < within-finalReplyWindow || took >= within {
		t.Errorf("connections were refused %v after the start of the drain, want a refusal in the drain's last 100 ms", took)
	}
	if err := <-done; err != nil && !errors.Is(err, context.DeadlineExceeded) { // the client that sent part of a request head is still connected
		t.Errorf("Drain returned %v, want nil or an exceeded deadline", err)
	}
}

// If a client sends a request while its idle connection is being closed, the request is dropped. The client reads EOF and does not get a reset.
func TestRequestOnRetiredConnection(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusServiceUnavailable, false)
	server.waitForState(t, client, stateIdle)
	if !server.serverConn(t, client).retire() {
		t.Fatal("an idle connection was not retired")
	}
	client.send(rawRequest("lookup")) // the client has not noticed the half close
	client.expectEOF()
	_ = client.Close()
	server.assertReleased(t, server.startDrain(t, agenttest.WaitTimeout))
	if requests := agenttest.Events[policy.RequestArrived](server.Router); len(requests) != 1 {
		t.Errorf("%d requests reached the router, want 1", len(requests))
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
		// The context may end before lateArrivalWindow has passed, or before Drain notices that the last connection is closed.
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Drain returned %v, want nil or an exceeded deadline", err)
		}
	case <-time.After(agenttest.WaitTimeout):
		t.Fatal("Drain did not return")
	}
	agenttest.Eventually(t, "the cancellation", func() bool { return len(agenttest.Events[policy.RequestCancelled](server.Router)) == 1 })
	server.proxy.requestIDs.mu.Lock()
	defer server.proxy.requestIDs.mu.Unlock()
	if len(server.proxy.requestIDs.reserved) != 0 {
		t.Error("the id of the cancelled request is still reserved")
	}
}
