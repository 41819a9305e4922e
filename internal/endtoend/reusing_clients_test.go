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
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/tcpconn"
)

// reusingClients are clients that reuse their connections while these are open. Before each request a client looks whether its connection has ended, and
// takes a new one then; where it can't connect it stops, as a front sends it elsewhere.
type reusingClients struct {
	address     string
	thinkTime   time.Duration // between an answer and the next request
	stop        chan struct{}
	running     sync.WaitGroup
	requests    atomic.Int64
	rejected    atomic.Int64
	connections atomic.Int64
	isLeaving   atomic.Bool // no client makes a new connection any more

	mu         sync.Mutex
	unanswered []string // what became of the requests that were sent completely and got no answer
}

// startReusingClients starts so many clients, which begin at different times within one thinkTime.
func startReusingClients(agent *runningAgent, count int, thinkTime time.Duration) *reusingClients {
	c := &reusingClients{address: strings.TrimPrefix(agent.url, "http://"), thinkTime: thinkTime, stop: make(chan struct{})}
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
func (c *reusingClients) pause(duration time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// run sends requests until the clients are stopped or the agent accepts no connection any more.
func (c *reusingClients) run() {
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
func (c *reusingClients) exchange(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: %016x\r\n\r\n", lastRequestID.Add(1)); err != nil {
		return false // it was not sent completely
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
func (c *reusingClients) wait() []string {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}
