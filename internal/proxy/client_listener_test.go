package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"switchfork/internal/agenttest"
)

// A client that has received its last response and does not close its connection keeps the descriptor only until another client needs it.
func TestLingeringConnMakesRoom(t *testing.T) {
	server := newLingeringServer(t, 2, false, 10*agenttest.WaitTimeout) // of two descriptors, clients get one
	lingering := server.dial(t)
	lingering.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: stays\r\nConnection: close\r\n\r\n")
	lingering.expectResponse(http.StatusServiceUnavailable, true)
	next := server.dial(t)
	next.send(rawRequest("lookup"))
	if response, err := next.readResponse(); err != nil || response.status != http.StatusServiceUnavailable {
		t.Fatalf("the next client got response %+v, error %v; want status 503", response, err)
	}
}

// A listener that is shut down ends Serve without an error.
func TestListenerShutdown(t *testing.T) {
	server := newTestServer(t, false)
	server.proxy.listener.shutdown()
	if err := <-server.served; err != nil {
		t.Errorf("Serve returned %v, want nil", err)
	}
	if _, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.proxy.listener.Addr().String()); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dialing a closed listener got error %v, want a refusal", err)
	}
}
