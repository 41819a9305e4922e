package faulttest

import (
	"context"
	"math/rand"
	"time"
)

// defaultCrowdPause is the mean time between an answer to a client of a crowd and its next request.
const defaultCrowdPause = 200 * time.Millisecond

// crowdClient is a client that keeps one connection and sends one idempotent request at a time on it.
type crowdClient struct {
	load *clientLoad
	conn *clientConn // nil: none is kept
}

// takeConn implements connSource: the kept connection where it is still open, or a new one.
func (c *crowdClient) takeConn(agent int) (*clientConn, error) {
	conn := c.conn
	c.conn = nil
	if conn != nil && c.load.isStillOpen(conn) {
		return conn, nil
	}
	return c.load.dial(agent)
}

// putConn implements connSource.
func (c *crowdClient) putConn(_ int, conn *clientConn) { c.conn = conn }

// startCrowd starts a crowd at some agents, which lasts until the context ends.
func (c *clientLoad) startCrowd(ctx context.Context, agents []int, crowd crowdStep, seed int64) {
	for _, agent := range agents {
		for i := range crowd.clients {
			random := rand.New(rand.NewSource(seed + int64(agent)*agentSeedStep + int64(i)))
			client := &crowdClient{load: c}
			c.running.Go(func() { client.run(ctx, agent, crowd.pause, random) })
		}
	}
}

// run sends requests with exponential pauses. A client keeps to its connection while that is open, also when its agent was asked to end;
// without one it goes to an agent that runs.
func (c *crowdClient) run(ctx context.Context, agent int, pause time.Duration, random *rand.Rand) {
	defer func() {
		if c.conn != nil {
			c.conn.discard()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(pause))):
		}
		if c.conn == nil {
			running := c.load.runningAgents()
			if len(running) == 0 {
				continue
			}
			agent = running[random.Intn(len(running))]
		}
		c.sendOne(agent)
	}
}

func (c *crowdClient) sendOne(agent int) {
	request := c.load.newRequest(agent)
	serial := c.load.lastSerial.Add(1)
	attempt := c.load.runAttemptOn(c, agent, classIdempotent, serial, 0, requestStyle{})
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	request.Attempts = append(request.Attempts, attempt)
	request.Outcome = attempt.outcome()
	request.MetObjective = request.Outcome == outcomeSucceeded && attempt.EndedAt-request.ArrivedAt <= latencyObjective.Microseconds()
}
