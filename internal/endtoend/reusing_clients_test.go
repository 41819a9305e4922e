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

// reusingClients are clients that reuse their connections. Before each request, a client checks whether its connection has been closed, and
// opens a new one if so. A client that can't connect stops: in a deployment, a load balancer would send it to another agent.
type reusingClients struct {
	address           string
	thinkTime         time.Duration // between a response and the next request
	stop              chan struct{} // closed to stop the clients
	running           sync.WaitGroup
	requests          atomic.Int64
	rejected          atomic.Int64
	connections       atomic.Int64
	reconnectDisabled atomic.Bool // if set, clients open no further connections

	mu         sync.Mutex
	unanswered []string // the errors of requests that were sent completely and got no response
}

// startReusingClients starts count clients, whose first requests are spread over one thinkTime.
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

// pause waits for a duration, and reports whether the client is to continue. It returns false as soon as the clients are stopped.
func (c *reusingClients) pause(duration time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// run sends requests until the clients are stopped, or until the client needs a new connection and may not or can't open one.
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
		if conn == nil && c.reconnectDisabled.Load() {
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

// exchange sends a request and reads its response. It reports whether the connection can be used again.
func (c *reusingClients) exchange(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(agenttest.WaitTimeout))
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: %016x\r\n\r\n", lastRequestID.Add(1)); err != nil {
		return false // the request was not sent completely
	}
	c.requests.Add(1)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // the body has been read completely, or the connection has failed
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

// wait waits until all clients have stopped, and returns the errors of the requests without a response.
func (c *reusingClients) wait() []string {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}
