package faulttest

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"

	"switchfork/internal/faulttest/netfault"
)

// agentSeedStep keeps the random sources of the agents' loads apart.
const agentSeedStep = 1_000_003

// clients are the clients of a run: an open load at each agent, whose arrivals do not wait for answers, and a closed load, whose clients
// send one request after the other. Loads are started and stopped by the goroutine that runs the steps.
type clients struct {
	now        netfault.Clock
	processes  processStates
	records    *clientRecords
	pool       *connPool
	sender     *attemptSender
	lastSerial atomic.Int64
	running    sync.WaitGroup

	mu             sync.Mutex
	stopOpenLoads  map[int]context.CancelFunc // by agent
	stopClosedLoad context.CancelFunc         // nil: there is none
}

func newClients(now netfault.Clock, addresses []string, processes processStates) *clients {
	records := &clientRecords{now: now}
	dialer := &connDialer{now: now, addresses: addresses, connsWithExtraBytes: &records.connsWithExtraBytes}
	return &clients{
		now: now, processes: processes, records: records, pool: newConnPool(dialer),
		sender:        &attemptSender{now: now, processes: processes, records: records},
		stopOpenLoads: map[int]context.CancelFunc{},
	}
}

// replaceOpenLoad ends the open load at an agent, whose requests go on to their end, and starts another until the context ends.
func (c *clients) replaceOpenLoad(ctx context.Context, agent int, step openLoadStep, seed int64) {
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.stopOpenLoads[agent]; previous != nil {
		previous()
	}
	c.stopOpenLoads[agent] = stop
	if step.rate <= 0 {
		return
	}
	load := &openLoad{openLoadStep: step, clients: c, agent: agent, random: rand.New(rand.NewSource(seed + int64(agent)*agentSeedStep))}
	c.running.Go(func() { load.generate(ctx) })
}

// replaceClosedLoad ends the closed load and starts another at some agents, until the context ends.
func (c *clients) replaceClosedLoad(ctx context.Context, agents []int, step closedLoadStep, seed int64) {
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopClosedLoad != nil {
		c.stopClosedLoad()
	}
	c.stopClosedLoad = stop
	for _, agent := range agents {
		for i := range step.clients {
			random := rand.New(rand.NewSource(seed + int64(agent)*agentSeedStep + int64(i)))
			client := &closedLoadClient{clients: c, pause: step.pause, random: random}
			c.running.Go(func() { client.run(ctx, agent) })
		}
	}
}

// stop ends all loads; requests that were sent go on to their end.
func (c *clients) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stop := range c.stopOpenLoads {
		stop()
	}
	clear(c.stopOpenLoads)
	if c.stopClosedLoad != nil {
		c.stopClosedLoad()
		c.stopClosedLoad = nil
	}
}

// wait waits for the last answers; loads must have been stopped.
func (c *clients) wait() {
	c.running.Wait()
	c.pool.discardIdle()
}
