package endtoend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/upstream"
)

// Requests and responses pass through unchanged, and connections to endpoints are reused.
func TestRequestAndResponseUnchanged(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond("HTTP/1.1 200 OK\r\nContent-Type: text/odd\r\nContent-Length: 4\r\n\r\n\x00\xff\n!"))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	target := "/posting//a/../b%2Fc?sid=7f3a9c21e0b4d655&odd;=%zz&&x"
	got := agent.request(t, "POST", target, "some\r\nbody", "X-Request-Id", "9b1f03aa5c7e2d41", "X-Deadline-Ms", "900", "X-Tenant", "nobody", "X-Other", "kept")
	if got.status != http.StatusOK || got.body != "\x00\xff\n!" || got.header.Get("Content-Type") != "text/odd" {
		t.Errorf("client got %+v, want the endpoint's status, body and Content-Type", got)
	}
	attempts := endpoint.Requests()
	if len(attempts) != 1 {
		t.Fatalf("got %d attempts at the endpoint, want 1", len(attempts))
	}
	attempt := attempts[0]
	deadline := parseDeadlineMillis(t, attempt.Header)
	if attempt.RequestLine != "POST "+target || attempt.Body != "some\r\nbody" || attempt.Header.Get("X-Request-Id") != "9b1f03aa5c7e2d41" ||
		attempt.Header.Get("Idempotency-Key") != "5c0f6e1a" || attempt.Header.Get("X-Other") != "kept" || deadline < 1 || deadline > 900 ||
		len(attempt.Header["X-Deadline-Ms"]) != 1 {
		t.Errorf("endpoint got %+v, want the client's request with one deadline of 1 to 900 ms", attempt)
	}
	time.Sleep(2 * upstream.DefaultSettleTime) // the connection can be reused after the settle time; waiting longer is harmless
	agent.request(t, "GET", "/lookup", "")
	if attempts = endpoint.Requests(); attempts[1].Conn != 1 {
		t.Error("the second attempt came on another connection, want the first connection to be reused")
	}
}

// Agents that start at the same time do not send their n-th requests without a key to the same endpoint, except by chance.
func TestAgentsSpreadKeylessRequests(t *testing.T) {
	var hosts []string
	for i := range 8 {
		name := fmt.Sprintf("s-%d", i)
		hosts = append(hosts, fakes.ListEntry(name, agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse(name))).Addr(), "active", 41))
	}
	const agents, requests = 3, 24
	var servedBy [agents][requests]string
	for i := range agents {
		agent := startAgent(t, func(config string) string { return strings.Replace(config, "8c1f30d2", fmt.Sprintf("8c1f30d%d", i), 1) }, hosts...)
		agent.waitHealthy(t)
		for n := range requests {
			servedBy[i][n] = agent.request(t, "GET", "/lookup", "").body
		}
	}
	for n, alike := 0, 0; n < requests; n++ {
		if servedBy[0][n] == servedBy[1][n] && servedBy[1][n] == servedBy[2][n] {
			alike++
		}
		if alike > requests/4 { // 1 in 64 is expected by chance
			t.Fatalf("more than a quarter of the n-th requests of all agents went to the same endpoint: %v", servedBy)
		}
	}
}

// If the configuration names no zones, all endpoints are in one zone, whatever zone the endpoint list says.
func TestNoZones(t *testing.T) {
	for _, zones := range []string{``, `"Localities":[],`} {
		endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("served")))
		agent := startAgent(t, func(config string) string { return strings.Replace(config, `"Localities":["suva"],`, zones, 1) }, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		agent.waitHealthy(t)
		if got := agent.request(t, "GET", "/lookup", ""); got.body != "served" {
			t.Errorf("configuration with the zones %q: got %+v, want the endpoint's response", zones, got)
		}
	}
}

// A request with the ID of an open request is rejected. The open request continues, and its ID can be used again after its response.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("done"))(c, nth) })
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	first := make(chan clientResponse, 1)
	go func() {
		got, _ := agent.tryRequest(context.Background(), "GET", "/lookup", "", "X-Request-Id", "a1")
		first <- got
	}()
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	if got := agent.request(t, "POST", "/posting", "x", "X-Request-Id", "a1"); got.status != http.StatusConflict {
		t.Errorf("request with the ID of an open request: got %+v, want status 409", got)
	}
	close(release)
	if got := <-first; got.status != http.StatusOK || len(endpoint.Requests()) != 1 {
		t.Errorf("first request: got %+v after %d attempts, want status 200 after 1", got, len(endpoint.Requests()))
	}
	agenttest.Eventually(t, "the release of the id", func() bool {
		return agent.request(t, "GET", "/lookup", "", "X-Request-Id", "a1").status == http.StatusOK
	})
}

// If no endpoint is available, a request is rejected with a Retry-After header. A request that may have run fails at its deadline.
func TestRejectedAndFailed(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "leaving", 41))
	if got := agent.request(t, "POST", "/posting", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "0.500" {
		t.Errorf("request without an available endpoint: got %+v, want status 503 with Retry-After 0.500", got)
	}
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41)))
	agenttest.Eventually(t, "the list", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	got := agent.request(t, "POST", "/posting", "", "X-Deadline-Ms", "300")
	if got.status != http.StatusGatewayTimeout || len(endpoint.Requests()) != 1 {
		t.Errorf("request that may have run: got %+v after %d attempts, want status 504 after 1", got, len(endpoint.Requests()))
	}
	if got.latency < 200*time.Millisecond {
		t.Errorf("request that may have run: answered after %v, want at least 200 ms with a deadline of 300 ms", got.latency)
	}
}

// A client that disconnects ends only its own request.
func TestClientDisconnects(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	ctx, disconnect := context.WithCancel(context.Background())
	result := make(chan error)
	go func() { _, err := agent.tryRequest(ctx, "GET", "/lookup", ""); result <- err }()
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	disconnect()
	if err := <-result; err == nil {
		t.Error("got a response after the client disconnected, want an error")
	}
	endpoint.SetHandler(fakes.Respond(fakes.OKResponse("done")))
	agenttest.Eventually(t, "the next request's success", func() bool { return agent.request(t, "GET", "/lookup", "").status == http.StatusOK })
}

// No new request goes to an endpoint that is draining. A host that returns with another address is used again.
func TestDrainingEndpoint(t *testing.T) {
	first := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1")))
	second := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("2")))
	third := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("3")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", first.Addr(), "active", 41))
	if got := agent.request(t, "GET", "/lookup", ""); got.body != "1" {
		t.Errorf("got %+v, want the first endpoint's response", got)
	}
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", first.Addr(), "leaving", 41), fakes.ListEntry("s-2", second.Addr(), "active", 41)))
	agenttest.Eventually(t, "the list with the draining endpoint", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	for range 5 {
		if got := agent.request(t, "GET", "/lookup", ""); got.body != "2" {
			t.Errorf("request after the first endpoint started to drain: got %+v, want the second endpoint's response", got)
		}
	}
	agent.discovery.Publish(fakes.ListDocument(3, false, fakes.ListEntry("s-1", third.Addr(), "active", 41), fakes.ListEntry("s-2", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "a response from the host's new address", func() bool { return agent.request(t, "GET", "/lookup", "").body == "3" })
	if len(first.Requests()) != 1 {
		t.Errorf("got %d attempts at the first endpoint, want 1", len(first.Requests()))
	}
}

// The time that a request waits unread while the agent is stopped counts towards the request's deadline.
func TestQueueDelayCountsTowardsDeadline(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.signal(t, syscall.SIGSTOP)
	// Sending the signal returns before all threads have stopped, and one that still runs could read the request.
	agenttest.Eventually(t, "the stop of all threads", func() bool { return allThreadsStopped(agent.command.Process.Pid) })
	conn := agent.dial(t)
	defer func() { _ = conn.Close() }()
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	sent := time.Now()
	for time.Since(sent) < time.Second { // the agent stays stopped for 1 s
		time.Sleep(10 * time.Millisecond)
	}
	agent.signal(t, syscall.SIGCONT)
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	deadline := parseDeadlineMillis(t, endpoint.Requests()[0].Header)
	if deadline < 1 || deadline > 1050 {
		t.Errorf("the endpoint got a deadline of %d ms, want 1 to 1050", deadline)
	}
}

// allThreadsStopped reports whether every thread of a process is stopped by a signal.
func allThreadsStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, name := range threads {
		stat, err := os.ReadFile(name)
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// If endpoints may be told of cancelled requests, the attempt of a request ends when the request's client disconnects. The test fails as
// long as the policy closes such a request without returning a CancelAttempt: the attempt then holds its connection and one of the
// endpoint's concurrency slots until its deadline (2.01 s in a trial). Clients that disconnect early thus cost capacity, most of all in an
// overload.
func TestAttemptEndsWithItsClient(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startAgent(t, func(config string) string {
		return strings.Replace(config, `"Probes":true`, `"Probes":true,"Cancel":true`, 1)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	conn := agent.dial(t)
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: impatient\r\nX-Deadline-Ms: 2000\r\n\r\n")
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	disconnectedAt := time.Now()
	_ = conn.Close()
	agenttest.Eventually(t, "the attempt's end", func() bool { return endpoint.Closed() == 1 })
	if took := time.Since(disconnectedAt); took > time.Second {
		t.Errorf("the attempt ended %v after its client disconnected, want at most 1 s", took)
	}
}
