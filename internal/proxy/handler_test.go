package proxy

import (
	"net/http"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A request class may be named like the path of the health endpoint.
func TestClassNamedLikeHealthPath(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(rawRequest("_health?sid=1"))
	client.expectResponse(http.StatusServiceUnavailable, false)
	if n := len(agenttest.Events[policy.RequestArrived](server.Router)); n != 1 {
		t.Errorf("%d requests were accepted, want 1", n)
	}
	client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	client.expectResponse(http.StatusOK, false)
}
