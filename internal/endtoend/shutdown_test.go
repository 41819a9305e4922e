package endtoend

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// After SIGTERM, open requests and requests that still arrive are answered, each response closes its connection, and the program exits on
// its own with status 0.
func TestGracefulShutdown(t *testing.T) {
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(conn net.Conn, nth int) bool {
		if nth == 1 {
			<-release
		}
		return fakes.Respond(fakes.OKResponse("done"))(conn, nth)
	})
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	open := make(chan clientResponse, 1)
	go func() {
		got, _ := agent.tryRequest(context.Background(), "GET", "/lookup", "", "X-Deadline-Ms", "2000")
		open <- got
	}()
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	agent.signal(t, syscall.SIGTERM)
	agenttest.Eventually(t, "the start of the drain", func() bool { return strings.Contains(agent.log.String(), "drain started") })
	conn := agent.dial(t)
	defer func() { _ = conn.Close() }()
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	if status, isLast, err := readStatus(conn); err != nil || status != http.StatusOK || !isLast {
		t.Errorf("request after SIGTERM: got status %d, last response %v, error %v; want 200 and the last response", status, isLast, err)
	}
	close(release)
	if got := <-open; got.status != http.StatusOK || got.body != "done" {
		t.Errorf("open request: got %+v, want status 200 with the endpoint's body", got)
	}
	agent.expectCleanExit(t)
}

// However long the deadlines of open requests are, a drain answers these requests and ends before SIGKILL, which is due 3.7 s after SIGTERM.
// The test allows 10 s, which leaves time for a busy machine and is far below the deadline of 30 s.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	agent := startAgent(t, func(config string) string {
		return strings.ReplaceAll(config, `"HardLimitMs":2000.0`, `"HardLimitMs":30000.0`)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	open := make(chan clientResponse, 1)
	go func() {
		got, _ := agent.tryRequest(context.Background(), "POST", "/posting", "")
		open <- got
	}()
	agenttest.Eventually(t, "the attempt", func() bool { return len(endpoint.Requests()) == 1 })
	start := time.Now()
	agent.signal(t, syscall.SIGTERM)
	if got := <-open; got.status != http.StatusGatewayTimeout {
		t.Errorf("open request: got %+v, want status 504", got)
	}
	agent.expectCleanExit(t)
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("the program exited %v after SIGTERM, want at most 10 s", took)
	}
}
