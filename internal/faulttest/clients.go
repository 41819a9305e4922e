package faulttest

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"

	"switchfork/internal/faulttest/netfault"
)

// agentSeedStep is the distance between the random seeds of successive agents' loads, so that each load has its own random sequence.
const agentSeedStep = 1_000_003

// clients runs the clients of a scenario: an open load at each agent, whose new requests do not wait for earlier answers, and a closed load,
// whose clients each wait for an answer before they send the next request. The goroutine that runs the steps starts and stops the loads.
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
	stopClosedLoad context.CancelFunc         // nil if there is no closed load
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

// replaceOpenLoad stops the open load at an agent and starts another, which runs until the context ends. Requests of the stopped load that
// are in progress are completed. A rate of 0 starts no load.
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

// replaceClosedLoad stops the closed load at all agents and starts another at the given agents, which runs until the context ends.
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

// stop stops all loads. Requests in progress are completed.
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

// wait waits until all requests are completed, and closes idle connections. The loads must have been stopped.
func (c *clients) wait() {
	c.running.Wait()
	c.pool.discardIdle()
}
