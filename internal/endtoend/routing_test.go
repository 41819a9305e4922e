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

// Requests and responses pass through unchanged, and connections to endpoints are used again.
func TestRequestAndResponseUnchanged(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond("HTTP/1.1 200 OK\r\nContent-Type: text/odd\r\nContent-Length: 4\r\n\r\n\x00\xff\n!"))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	target := "/posting//a/../b%2Fc?sid=7f3a9c21e0b4d655&odd;=%zz&&x"
	got := agent.request(t, "POST", target, "some\r\nbody", "X-Request-Id", "9b1f03aa5c7e2d41", "X-Deadline-Ms", "900", "X-Tenant", "nobody", "X-Other", "kept")
	if got.status != http.StatusOK || got.body != "\x00\xff\n!" || got.header.Get("Content-Type") != "text/odd" {
		t.Errorf("client got %+v", got)
	}
	attempts := endpoint.Requests()
	if len(attempts) != 1 {
		t.Fatalf("%d attempts arrived", len(attempts))
	}
	attempt := attempts[0]
	deadline := parseMilliseconds(t, attempt.Header)
	if attempt.RequestLine != "POST "+target || attempt.Body != "some\r\nbody" || attempt.Header.Get("X-Request-Id") != "9b1f03aa5c7e2d41" ||
		attempt.Header.Get("Idempotency-Key") != "5c0f6e1a" || attempt.Header.Get("X-Other") != "kept" || deadline < 1 || deadline > 900 ||
		len(attempt.Header["X-Deadline-Ms"]) != 1 {
		t.Errorf("arrived: %+v", attempt)
	}
	time.Sleep(2 * upstream.DefaultSettleTime) // from then on the connection is used again, however much later
	agent.request(t, "GET", "/lookup", "")
	if attempts = endpoint.Requests(); attempts[1].Conn != 1 {
		t.Error("the connection was not used again")
	}
}

// Agents that start together do not send their first, second, n-th requests without a key to the same endpoint.
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
		if alike > requests/4 { // by chance one in 64
			t.Fatalf("the agents' requests went to the same endpoints: %v", servedBy)
		}
	}
}

// Where the configuration names no zones, all endpoints are in one, whatever zone the list says.
func TestNoZones(t *testing.T) {
	for _, zones := range []string{``, `"Localities":[],`} {
		endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("served")))
		agent := startAgent(t, func(config string) string { return strings.Replace(config, `"Localities":["suva"],`, zones, 1) }, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		agent.waitHealthy(t)
		if got := agent.request(t, "GET", "/lookup", ""); got.body != "served" {
			t.Errorf("zones %q: %+v", zones, got)
		}
	}
}

// A second request under the id of an open request gets an error. The first one goes on, and then the id is free again.
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
		t.Errorf("the second got %+v", got)
	}
	close(release)
	if got := <-first; got.status != http.StatusOK || len(endpoint.Requests()) != 1 {
		t.Errorf("the first got %+v, %d attempts", got, len(endpoint.Requests()))
	}
	agenttest.Eventually(t, "the release of the id", func() bool {
		return agent.request(t, "GET", "/lookup", "", "X-Request-Id", "a1").status == http.StatusOK
	})
}

// With no endpoint to send to, a request is rejected with a Retry-After. One that may have run is answered by its deadline.
func TestRejectedAndFailed(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "leaving", 41))
	if got := agent.request(t, "POST", "/posting", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "0.500" {
		t.Errorf("rejected with %+v", got)
	}
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41)))
	agenttest.Eventually(t, "the list", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	got := agent.request(t, "POST", "/posting", "", "X-Deadline-Ms", "300")
	if got.status != http.StatusGatewayTimeout || len(endpoint.Requests()) != 1 {
		t.Errorf("got %+v after %d attempts", got, len(endpoint.Requests()))
	}
	if got.latency < 200*time.Millisecond {
		t.Errorf("answered after %v, before its deadline", got.latency)
	}
}

// A client that disconnects ends nothing but its own request.
func TestClientDisconnects(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	ctx, disconnect := context.WithCancel(context.Background())
	result := make(chan error)
	go func() { _, err := agent.tryRequest(ctx, "GET", "/lookup", ""); result <- err }()
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	disconnect()
	if err := <-result; err == nil {
		t.Error("answered although the client disconnected")
	}
	endpoint.SetHandler(fakes.Respond(fakes.OKResponse("done")))
	agenttest.Eventually(t, "the next request's success", func() bool { return agent.request(t, "GET", "/lookup", "").status == http.StatusOK })
}

// No new request goes to an endpoint that drains. A host that comes back with another build and address is used.
func TestDrainingEndpoint(t *testing.T) {
	first := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1")))
	second := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("2")))
	third := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("3")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", first.Addr(), "active", 41))
	if got := agent.request(t, "GET", "/lookup", ""); got.body != "1" {
		t.Errorf("got %+v", got)
	}
	agent.discovery.Publish(fakes.ListDocument(2, false, fakes.ListEntry("s-1", first.Addr(), "leaving", 41), fakes.ListEntry("s-2", second.Addr(), "active", 41)))
	agenttest.Eventually(t, "the drain", func() bool { return strings.Contains(agent.log.String(), "version=2") })
	for range 5 {
		if got := agent.request(t, "GET", "/lookup", ""); got.body != "2" {
			t.Errorf("after the endpoint started to drain: %+v", got)
		}
	}
	agent.discovery.Publish(fakes.ListDocument(3, false, fakes.ListEntry("s-1", third.Addr(), "active", 41), fakes.ListEntry("s-2", second.Addr(), "left", 41)))
	agenttest.Eventually(t, "the return", func() bool { return agent.request(t, "GET", "/lookup", "").body == "3" })
	if len(first.Requests()) != 1 {
		t.Errorf("%d attempts at the first endpoint", len(first.Requests()))
	}
}

// A request that stood unread while the agent was stopped has that much less time left.
func TestQueueDelayCountsTowardsDeadline(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.signal(t, syscall.SIGSTOP)
	// The signal's sender goes on before all threads have stopped: one of them could still read the request.
	agenttest.Eventually(t, "all threads to stop", func() bool { return allThreadsStopped(agent.command.Process.Pid) })
	conn := agent.dial(t)
	defer func() { _ = conn.Close() }()
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	sent := time.Now()
	for time.Since(sent) < time.Second { // the time that the agent is stopped for
		time.Sleep(10 * time.Millisecond)
	}
	agent.signal(t, syscall.SIGCONT)
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	deadline := parseMilliseconds(t, endpoint.Requests()[0].Header)
	if deadline < 1 || deadline > 1050 {
		t.Errorf("the endpoint got %d ms", deadline)
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

// Where endpoints may be notified that a request is cancelled, the attempt of a client that has disconnected ends with it. What happened: the policy
// closes such a request but returns no CancelAttempt, so that the attempt holds its connection and its place at the endpoint to its
// deadline, 2.01 s in a trial; impatient clients cost capacity, most of all in an overload.
func TestAttemptEndsWithItsClient(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startAgent(t, func(config string) string {
		return strings.Replace(config, `"Probes":true`, `"Probes":true,"Cancel":true`, 1)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	conn := agent.dial(t)
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: impatient\r\nX-Deadline-Ms: 2000\r\n\r\n")
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	left := time.Now()
	_ = conn.Close()
	agenttest.Eventually(t, "the attempt's end", func() bool { return endpoint.Closed() == 1 })
	if took := time.Since(left); took > time.Second {
		t.Errorf("the attempt ended %v after its client had left", took)
	}
}
