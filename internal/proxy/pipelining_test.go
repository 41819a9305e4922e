package proxy

import (
	"net/http"
	"testing"
)

// Requests that arrive before the response to the previous one are counted, whether they came with it or later. Requests of a client that
// waits for each response are not.
func TestPipelinedRequestsAreCounted(t *testing.T) {
	server := newTestServer(t, true)
	client := server.dial(t)
	answer := func(request int) {
		server.waitForRequests(t, request)
		server.rejectAll()
		client.expectResponse(http.StatusServiceUnavailable, false)
	}
	expectCount := func(want int64) {
		t.Helper()
		if got := server.proxy.pipelined.Load(); got != want {
			t.Errorf("got %d pipelined requests, want %d", got, want)
		}
	}
	client.send(rawRequest("lookup"))
	answer(1)
	client.send(rawRequest("lookup") + rawRequest("lookup")) // the second is in net/http's buffer
	answer(2)
	answer(3)
	expectCount(1)
	client.send(rawRequest("lookup"))
	server.waitForState(t, client, stateAwaiting)
	server.waitForRequests(t, 4)
	expectCount(1)
	conn, next := server.serverConn(t, client), rawRequest("lookup")
	client.send(next)
	waitForConn(t, "the early request", conn, func() bool { return len(conn.readAhead) == len(next) })
	answer(4)
	answer(5)
	expectCount(2)
	client.send(rawRequest("lookup"))
	answer(6)
	expectCount(2)
}
