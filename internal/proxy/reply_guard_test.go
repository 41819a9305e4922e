package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A request that the event loop never answers fails a little after its deadline, is cancelled and counted, and its connection stays usable.
func TestUnansweredRequestFailsAfterItsDeadline(t *testing.T) {
	server := newTestServer(t, true)
	client := server.dial(t)
	const deadline = 50 * time.Millisecond
	start := time.Now()
	client.send(fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nX-Deadline-Ms: %d\r\n\r\n", deadline.Milliseconds()))
	client.expectResponse(http.StatusGatewayTimeout, false)
	if took := time.Since(start); took < replyGuardDelay {
		t.Errorf("the request failed after %v, before the event loop's time was over", took)
	}
	if got := server.proxy.unanswered.Load(); got != 1 {
		t.Errorf("got %d unanswered requests, want 1", got)
	}
	agenttest.Eventually(t, "the cancellation", func() bool { return len(agenttest.Events[policy.RequestCancelled](server.Router)) == 1 })
	client.send(rawRequest("lookup"))
	server.waitForRequests(t, 2)
	server.rejectAll()
	client.expectResponse(http.StatusServiceUnavailable, false)
	if got := server.proxy.unanswered.Load(); got != 1 {
		t.Errorf("got %d unanswered requests after one was answered, want 1", got)
	}
}
