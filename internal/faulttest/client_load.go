package faulttest

import (
	"context"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"switchfork/internal/faulttest/netfault"
)

const (
	// latencyObjective and requestTimeout are those of every class in a scenario.
	latencyObjective = 800 * time.Millisecond
	requestTimeout   = 2 * time.Second
	// maxConnsPerAgent bounds a load's connections to one agent, well under what an agent with 1,024 descriptors accepts.
	maxConnsPerAgent = 300
	// maxAttempts is how often a client tries a request in all, as the users' clients do.
	maxAttempts = 3
	// defaultRetryAfter is how long a rejected client waits where the rejection names no time.
	defaultRetryAfter = 200 * time.Millisecond
	// agentSeedStep keeps the random sources of the agents' loads apart.
	agentSeedStep = 1_000_003
)

// clientLoad are the clients: an open load whose arrivals do not wait for answers. Its HTTP is written and read by hand, so that
// nothing that an agent sends goes unseen.
type clientLoad struct {
	now             netfault.Clock
	addresses       []string // of the agents
	runningAgents   func() []int
	lastSerial      atomic.Int64
	running         sync.WaitGroup
	connSlots       []chan struct{} // by agent
	extraBytes      atomic.Int64    // connections on which bytes came behind a complete answer, while they were idle
	droppedRequests atomic.Int64    // requests without a free connection slot: the scenario's own fault

	// wasKilled tells that an agent's process that lived at a time is over: what ended on a connection to it may have been read.
	wasKilled func(agent int, at netfault.Micros) bool

	mu        sync.Mutex
	requests  []*Request
	crossings []Crossing
	idleConns [][]*clientConn // by agent
}

func newClientLoad(now netfault.Clock, addresses []string, runningAgents func() []int, wasKilled func(int, netfault.Micros) bool) *clientLoad {
	c := &clientLoad{
		now: now, addresses: addresses, runningAgents: runningAgents, wasKilled: wasKilled,
		idleConns: make([][]*clientConn, len(addresses)),
	}
	for range addresses {
		c.connSlots = append(c.connSlots, make(chan struct{}, maxConnsPerAgent))
	}
	return c
}

// start runs a load at an agent until the context ends.
func (c *clientLoad) start(ctx context.Context, agent int, load loadStep, seed int64) {
	if load.rate <= 0 {
		return
	}
	random := rand.New(rand.NewSource(seed + int64(agent)*agentSeedStep))
	c.running.Go(func() { c.generate(ctx, agent, load, random) })
}

// generate starts requests to an agent, with exponential times between them.
func (c *clientLoad) generate(ctx context.Context, agent int, load loadStep, random *rand.Rand) {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / load.rate * float64(time.Second)))
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		class, style := load.drawClass(random.Float64()), load.drawStyle(random)
		request := c.newRequest(agent)
		c.running.Go(func() { c.runRequest(request, class, style) })
	}
}

func (c *clientLoad) newRequest(agent int) *Request {
	request := &Request{ArrivedAt: c.now(), Agent: agent}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	return request
}

func (c *clientLoad) recordCrossing(crossing Crossing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossings = append(c.crossings, crossing)
}

func (c *clientLoad) snapshotCrossings() []Crossing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crossings)
}

// Times of the clients that leave, or that leave the agent little time.
const (
	maxLeaveAfter   = 100 * time.Millisecond
	minShortTimeout = 20 * time.Millisecond
	maxShortTimeout = 300 * time.Millisecond
)

// drawStyle is how a request is sent. A load without special requests draws nothing, so that its arrivals do not depend on them.
func (a loadStep) drawStyle(random *rand.Rand) (style requestStyle) {
	if a.piecesShare > 0 {
		style.inPieces = random.Float64() < a.piecesShare
	}
	if a.leaveShare > 0 && random.Float64() < a.leaveShare {
		style.leaveAfter = 1 + time.Duration(random.Int63n(int64(maxLeaveAfter)))
	}
	if a.shortShare > 0 && random.Float64() < a.shortShare {
		style.timeout = minShortTimeout + time.Duration(random.Int63n(int64(maxShortTimeout-minShortTimeout)))
	}
	return style
}

// drawClass is the class of a request by a number from 0 to 1.
func (a loadStep) drawClass(draw float64) string {
	switch {
	case draw < a.keyedShare:
		return classKeyed
	case draw < a.keyedShare+a.onceShare:
		return classOnce
	default:
		return classIdempotent
	}
}

// wait waits for the last answers; loads must have ended.
func (c *clientLoad) wait() {
	c.running.Wait()
	for agent := range c.idleConns {
		for _, conn := range c.idleConns[agent] {
			conn.discard()
		}
		c.idleConns[agent] = nil
	}
}

// snapshot are the requests so far, as they stand.
func (c *clientLoad) snapshot() (out []Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		copied := *request
		copied.Attempts = append([]Attempt(nil), request.Attempts...)
		out = append(out, copied)
	}
	return out
}

// runRequest tries a request until it is final: a rejected attempt is retried after the time that the agent names, one that didn't
// reach an agent is retried at another, as a plain front would do.
func (c *clientLoad) runRequest(request *Request, class string, style requestStyle) {
	serial := c.lastSerial.Add(1)
	agent, began := request.Agent, c.now()
	outcome := outcomeFailed
	for n := range maxAttempts {
		attempt := c.runAttempt(agent, class, serial, n, style)
		c.mu.Lock()
		request.Attempts = append(request.Attempts, attempt)
		c.mu.Unlock()
		outcome = attempt.outcome()
		if attempt.HasLeft || attempt.Timeout > 0 {
			break // it does not come again
		}
		if outcome == outcomeRejected {
			time.Sleep(attempt.retryAfter())
			continue
		}
		if !attempt.mayRunElsewhere() {
			break
		}
		if running := c.runningAgents(); len(running) > 0 {
			agent = running[int(serial)%len(running)]
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Outcome = outcome
	request.MetObjective = outcome == outcomeSucceeded && request.lastAttempt().EndedAt-began <= latencyObjective.Microseconds()
}

func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (a *Attempt) outcome() string {
	switch {
	case a.Status == http.StatusOK:
		return outcomeSucceeded
	case isRejection(a.Status):
		return outcomeRejected
	default:
		return outcomeFailed
	}
}

// retryAfter is how long the client waits after a rejection; the body of such an attempt holds the Retry-After header.
func (a *Attempt) retryAfter() time.Duration {
	named, err := strconv.ParseFloat(a.Body, 64)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(min(named, requestTimeout.Seconds()) * float64(time.Second))
}

// mayRunElsewhere tells whether an attempt without an answer can be sent to another agent: it never reached its agent, or its class may
// run twice and its timeout has not passed.
func (a *Attempt) mayRunElsewhere() bool {
	if a.WasUnreachable {
		return true
	}
	waited := a.EndedAt - max(a.SentAt, 0)
	return a.Status == 0 && a.Class != classOnce && waited < requestTimeout.Microseconds()
}
