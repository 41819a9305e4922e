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

// After SIGTERM open requests and those that still arrive are answered, each response ends its connection, and the program exits with
// status 0 by itself.
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
	agenttest.Eventually(t, "the drain", func() bool { return strings.Contains(agent.log.String(), "drain started") })
	conn := agent.dial(t)
	defer func() { _ = conn.Close() }()
	send(t, conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 2000\r\n\r\n")
	if status, isLast, err := readStatus(conn); err != nil || status != http.StatusOK || !isLast {
		t.Errorf("a late request got status %d, last %v, %v", status, isLast, err)
	}
	close(release)
	if got := <-open; got.status != http.StatusOK || got.body != "done" {
		t.Errorf("the open request got %+v", got)
	}
	agent.expectCleanExit(t)
}

// However long the deadlines are, a drain ends before SIGKILL is due, with an answer to open requests: it is owed 3.7 s after SIGTERM. The
// bound of the test leaves a busy machine time and is far below the deadline.
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
		t.Errorf("the open request got %+v", got)
	}
	agent.expectCleanExit(t)
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("exited after %v", took)
	}
}
