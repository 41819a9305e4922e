package endtoend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/proxy"
)

// withFewDescriptors lowers a configuration's descriptor limit to 64, so that a few clients use up all descriptors.
func withFewDescriptors(config string) string {
	return strings.Replace(config, `"sockets":1024`, `"sockets":64`, 1)
}

// If there are far more clients than descriptors, each request still gets a response, and later requests succeed again.
func TestMoreClientsThanDescriptors(t *testing.T) {
	const clients = 100
	release := make(chan struct{})
	endpoint := agenttest.NewScriptedServer(t, func(c net.Conn, nth int) bool { <-release; return fakes.Respond(fakes.OKResponse("done"))(c, nth) })
	agent := startAgent(t, withFewDescriptors, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	var pending sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for range clients {
		pending.Go(func() {
			response, err := agent.tryRequest(context.Background(), "GET", "/lookup", "", "X-Deadline-Ms", "1900")
			mu.Lock()
			defer mu.Unlock()
			got[response.status]++
			if err != nil {
				t.Error(err)
			}
		})
	}
	agenttest.Eventually(t, "a rejection for lack of descriptors", func() bool { return strings.Contains(agent.log.String(), "too many open requests") })
	close(release)
	pending.Wait()
	succeeded, rejected := got[http.StatusOK], got[http.StatusServiceUnavailable]
	if succeeded == 0 || succeeded != len(endpoint.Requests()) || rejected == 0 || succeeded+rejected != clients {
		t.Errorf("responses by status: got %v with %d attempts, want 200 for each attempt, 503 for the others, and both to occur", got, len(endpoint.Requests()))
	}
	if again := agent.request(t, "GET", "/lookup", ""); again.status != http.StatusOK {
		t.Errorf("request after the overload: got %+v, want status 200", again)
	}
}

// Silent connections that far outnumber the descriptors for clients do not keep another client waiting, and the agent closes each of them
// within 3 s.
func TestSilentConnections(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startAgent(t, withFewDescriptors, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	var pending sync.WaitGroup
	for range 60 {
		conn := agent.dial(t)
		connected := time.Now()
		pending.Go(func() {
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(connected.Add(agenttest.WaitTimeout))
			if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) || time.Since(connected) > 3*time.Second {
				t.Errorf("silent connection: reading ended after %v with error %v, want the agent to close it within 3 s", time.Since(connected), err)
			}
		})
	}
	if got := agent.request(t, "GET", "/lookup", "", "X-Deadline-Ms", "1900"); got.status != http.StatusOK {
		t.Errorf("request while silent connections wait: got %+v, want status 200", got)
	}
	pending.Wait()
}

// Clients that send one request and then keep their connection open do not block new clients. Once they hold all descriptors that clients
// may have, the connection that has been idle longest is closed before its idle timeout, and each new client is served at once. While
// descriptors are free, no connection is closed before its idle timeout.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const fewClients, manyClients = 8, 40 // clients may hold 19 of the 64 descriptors
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	for _, clients := range []int{fewClients, manyClients} {
		agent := startAgent(t, withFewDescriptors, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		agent.waitHealthy(t)
		var first net.Conn
		start := time.Now()
		for i := range clients {
			conn := agent.dial(t)
			defer func() { _ = conn.Close() }()
			sentAt := time.Now()
			send(t, conn, fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: once%d\r\n\r\n", i))
			if status, _, err := readStatus(conn); err != nil || status != http.StatusOK || time.Since(sentAt) > proxy.IdleTimeout/4 {
				t.Fatalf("client %d: got status %d and error %v after %v, want status 200 within a quarter of the idle timeout", i, status, err, time.Since(sentAt))
			}
			if first == nil {
				first = conn
			}
			for idleSince := time.Now(); time.Since(idleSince) < 10*time.Millisecond; { // each connection becomes idle at a different time, so that their order is known
				time.Sleep(time.Millisecond)
			}
		}
		_ = first.SetReadDeadline(start.Add(agenttest.WaitTimeout))
		_, err := io.ReadAll(first)
		if endedEarly := time.Since(start) < proxy.IdleTimeout; err != nil || endedEarly != (clients == manyClients) {
			t.Errorf("with %d clients: the first connection ended after %v with error %v, want a close before the idle timeout only with many clients", clients, time.Since(start), err)
		}
	}
}
