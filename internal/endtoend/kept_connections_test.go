package endtoend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/tcpconn"
)

// keptConnClients are clients that keep their connections. Before each request a client looks whether its connection has ended, and
// takes a new one then; where it can't connect it stops, as a front sends it elsewhere.
type keptConnClients struct {
	address     string
	thinkTime   time.Duration // between an answer and the next request
	stop        chan struct{}
	running     sync.WaitGroup
	requests    atomic.Int64
	rejected    atomic.Int64
	connections atomic.Int64
	isLeaving   atomic.Bool // no client makes a new connection any more

	mu         sync.Mutex
	unanswered []string // what became of the requests that were sent whole and got no answer
}

// startKeptConnClients starts so many clients, which begin at different times within one thinkTime.
func startKeptConnClients(agent *runningAgent, count int, thinkTime time.Duration) *keptConnClients {
	c := &keptConnClients{address: strings.TrimPrefix(agent.url, "http://"), thinkTime: thinkTime, stop: make(chan struct{})}
	for i := range count {
		c.running.Go(func() {
			if c.pause(thinkTime * time.Duration(i) / time.Duration(count)) {
				c.run()
			}
		})
	}
	return c
}

// pause waits, and tells whether the client is to go on.
func (c *keptConnClients) pause(duration time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// run sends requests until the clients are stopped or the agent accepts no connection any more.
func (c *keptConnClients) run() {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		if conn != nil && !tcpconn.IsOpenWithoutInput(conn) {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil && c.isLeaving.Load() {
			return
		}
		if conn == nil {
			dialer := net.Dialer{Timeout: time.Second}
			dialed, err := dialer.DialContext(context.Background(), "tcp", c.address)
			if err != nil {
				return
			}
			conn = dialed
			c.connections.Add(1)
		}
		if !c.exchange(conn) {
			_ = conn.Close()
			conn = nil
		}
		if !c.pause(c.thinkTime) {
			return
		}
	}
}

// exchange sends a request and reads its answer. It tells whether the connection may be used again.
func (c *keptConnClients) exchange(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: %016x\r\n\r\n", lastRequestID.Add(1)); err != nil {
		return false // it was not sent whole
	}
	c.requests.Add(1)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // read whole, or the connection has failed
	}
	if err != nil {
		c.mu.Lock()
		c.unanswered = append(c.unanswered, fmt.Sprintf("%v after %v", err, time.Since(sentAt)))
		c.mu.Unlock()
		return false
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		c.rejected.Add(1)
	}
	return !response.Close
}

// wait waits for the end of all clients and returns what became of the requests without an answer.
func (c *keptConnClients) wait() []string {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// A planned restart loses no request of clients that use the connections they have until these end. What happened: at SIGTERM every
// connection without a request was looked at, marked as ended, and closed later by its reader; a request that arrived between the look and
// the close was reset. Seen from outside, 10 to 19 requests of one restart with 280 clients got no answer, each written whole 1 to 30 ms
// after SIGTERM and reset 0.3 to 14 ms later.
func TestRestartAnswersKeptConnections(t *testing.T) {
	const restarts, clients, thinkTime = 3, 150, 50 * time.Millisecond
	for range restarts {
		endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
		agent := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		load := startKeptConnClients(agent, clients, thinkTime)
		agenttest.Eventually(t, "the load", func() bool { return load.requests.Load() > 3*clients })
		if err := agent.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-agent.exited:
			if err != nil {
				t.Errorf("exited with %v", err)
			}
		case <-time.After(agenttest.WaitTimeout):
			t.Error("did not exit")
		}
		close(load.stop)
		if unanswered := load.wait(); len(unanswered) > 0 {
			t.Errorf("%d of %d requests got no answer: %s", len(unanswered), load.requests.Load(), strings.Join(unanswered, "; "))
		}
	}
}

// The same with clients as the protocol has them: new connections come for 0.2 to 0.4 s after SIGTERM, those that are open are used until they
// end. It holds on a busy machine too, where a client that goes on connecting may still meet the listener's end.
func TestRestartWithinProtocol(t *testing.T) {
	const restarts, clients, thinkTime, connectsFor = 3, 150, 50 * time.Millisecond, 300 * time.Millisecond
	for range restarts {
		endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
		agent := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
		load := startKeptConnClients(agent, clients, thinkTime)
		agenttest.Eventually(t, "the load", func() bool { return load.requests.Load() > 3*clients })
		if err := agent.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(connectsFor)
		load.isLeaving.Store(true)
		if unanswered := load.wait(); len(unanswered) > 0 {
			t.Errorf("%d of %d requests got no answer: %s", len(unanswered), load.requests.Load(), strings.Join(unanswered, "; "))
		}
		if err := <-agent.exited; err != nil {
			t.Errorf("exited with %v", err)
		}
	}
}

// While descriptors are free, a client that keeps its connection has one for all its requests. What happened: only a tenth of the limit
// might be idle, 99 connections with 1,024 descriptors; each further client that fell idle ended the one that was idle longest. Seen from
// outside within 10 s, 150 clients made 1,543 connections and 3 of 10,910 requests got no answer; 280 made 5,917, 5 of 13,648 requests got
// no answer and 133 were rejected.
func TestKeptConnectionsAreNotReplaced(t *testing.T) {
	const clients, thinkTime = 150, 50 * time.Millisecond
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startAgent(t, nil, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	load := startKeptConnClients(agent, clients, thinkTime)
	agenttest.Eventually(t, "the load", func() bool { return load.requests.Load() > 20*clients })
	close(load.stop)
	unanswered := load.wait()
	if len(unanswered) > 0 || load.connections.Load() != clients {
		t.Errorf("%d clients made %d connections; without an answer: %q", clients, load.connections.Load(), unanswered)
	}
}
