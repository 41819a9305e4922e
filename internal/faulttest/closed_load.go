package faulttest

import (
	"context"
	"math/rand"
	"time"
)

// defaultClientPause is the mean time between an answer to a closed-load client and the client's next request.
const defaultClientPause = 200 * time.Millisecond

// closedLoadClient is a client that owns one connection and sends one idempotent request at a time on it.
type closedLoadClient struct {
	clients *clients
	pause   time.Duration
	random  *rand.Rand
	conn    *clientConn // nil while the client has no connection
}

// takeConn implements connSource. It returns the client's connection if that is still open, or else a new one.
func (c *closedLoadClient) takeConn(ctx context.Context, agent int) (*clientConn, error) {
	conn := c.conn
	c.conn = nil
	if conn != nil && c.clients.pool.isStillOpen(conn) {
		return conn, nil
	}
	return c.clients.pool.dial(ctx, agent)
}

// putConn implements connSource.
func (c *closedLoadClient) putConn(_ int, conn *clientConn) { c.conn = conn }

// run sends requests with exponentially distributed pauses until the context ends. A client keeps its connection for as long as the
// connection is open, even if its agent was asked to terminate. A client without a connection picks a running agent at random.
func (c *closedLoadClient) run(ctx context.Context, agent int) {
	defer func() {
		if c.conn != nil {
			c.conn.discard()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.pause))):
		}
		if c.conn == nil {
			running := c.clients.processes.running()
			if len(running) == 0 {
				continue
			}
			agent = running[c.random.Intn(len(running))]
		}
		c.sendOne(context.WithoutCancel(ctx), agent)
	}
}

func (c *closedLoadClient) sendOne(ctx context.Context, agent int) {
	records := c.clients.records
	request := records.newRequest(agent)
	spec := attemptSpec{agent: agent, class: classIdempotent, serial: c.clients.lastSerial.Add(1)}
	attempt := c.clients.sender.send(ctx, c, spec)
	records.addAttempt(request, attempt)
	records.finish(request, attempt.outcome(), request.ArrivedAt)
}
