// Package coordinator runs this agent's replica of the leader election and connects it to the rest of the agent: it passes on
// what the release analyzer recommends, what the rollout controller reports and what other agents send, and executes the
// commands that the replica returns. Every decision is made in package election; this package keeps the clock, the mailbox, the
// timer and the metrics, and serves the admin address.
//
// The goroutine that calls Coordinator.Serve owns the replica and all state that depends on it. All other methods may be called
// from any goroutine: they put a message into the mailbox, which never waits, and where they return a result they wait for the answer.
package coordinator

import (
	"context"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"

	"github.com/VictoriaMetrics/metrics"
)

// Transport sends encoded messages to another agent. Delivery is best effort: a message may be lost, delayed or doubled.
type Transport interface{ Send(to int, frame []byte) }

// Store keeps the replica's durable state. The state is on disk when Save returns without an error.
type Store interface {
	Save(election.DurableState) error
	Close() error
}

// Callbacks are what the coordinator calls in the rest of the agent.
type Callbacks struct {
	// CastVote sends a vote to the rollout controller, unless it can't be written before the given time. resolved is called once
	// the vote is known to have been carried out, or known never to be; written tells whether it was sent at all.
	CastVote func(vote policy.Vote, writeBefore time.Time, resolved func(written bool))
	// UpdateRollout gives the routing policy the state of a rollout.
	UpdateRollout func(policy.RolloutUpdate)
}

// Config describes this agent's replica.
type Config struct {
	Index    int
	Members  election.Members
	State    *election.DurableState // nil: nothing was ever stored
	Settings election.Settings
	Group    uint64
	Seed     int64
}

// mailboxCapacity bounds the frames of other agents that wait; beyond it they are dropped.
const mailboxCapacity = 1024

// Coordinator drives one replica.
type Coordinator struct {
	group         uint64
	index         int
	leaseDuration time.Duration
	transport     Transport
	store         Store // nil: this agent has no state folder
	callbacks     Callbacks
	startedAt     time.Time
	mailbox       *mailbox.Mailbox[message] // what this agent's own parts say: they must not wait, and say little
	frames        chan []byte               // of other agents
	metrics       *replicaMetrics

	// Owned by the goroutine of Serve.
	replica        *election.Replica
	recommendation election.Decision
	recommendedAt  time.Time // when the replica last got the recommendation
	rollout        policy.RolloutUpdate
	hasRollout     bool               // an update was received
	selfStopped    *election.Decision // the build to which this agent has stopped sending by itself; nil: none
	leaderTerm     uint64             // the term in which this agent leads; 0: it does not
	storeFailed    bool
	hasLeft        bool // Leave was called
}

// New makes a coordinator. A replica without stored state abstains at first, because the agent may have run before.
func New(config Config, transport Transport, store Store, callbacks Callbacks) *Coordinator {
	c := &Coordinator{
		group:         config.Group,
		index:         config.Index,
		leaseDuration: time.Duration(config.Settings.Lease) * time.Microsecond,
		transport:     transport,
		store:         store,
		callbacks:     callbacks,
		startedAt:     time.Now(),
		mailbox:       mailbox.New[message](),
		frames:        make(chan []byte, mailboxCapacity),
		metrics:       newReplicaMetrics(),
	}
	c.replica = election.New(election.Config{
		ID:       config.Index,
		Members:  config.Members,
		State:    config.State,
		Settings: config.Settings,
		IsFresh:  config.State == nil, // the agent may have run before
		Now:      c.now(),
		Seed:     config.Seed,
	})
	return c
}

// Metrics returns the set with the coordinator's metrics.
func (c *Coordinator) Metrics() *metrics.Set { return c.metrics.set }

// now is the replica's monotonic time. It begins at 1, because the replica reads 0 as never.
func (c *Coordinator) now() election.Micros { return time.Since(c.startedAt).Microseconds() + 1 }

// wallTime converts the replica's time, as now returns it.
func (c *Coordinator) wallTime(at election.Micros) time.Time {
	return c.startedAt.Add(time.Duration(at-1) * time.Microsecond)
}

// Serve handles timer, mailbox and frames until the context ends, and then closes the store.
func (c *Coordinator) Serve(ctx context.Context) {
	timer := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			c.closeStore()
			return
		case <-timer.C:
			c.tick()
			timer.Reset(time.Duration(c.replica.NextTick()-c.now()) * time.Microsecond)
		case <-c.mailbox.Ready():
			for _, received := range c.mailbox.Take(nil) {
				received.handle(c)
			}
		case frame := <-c.frames:
			c.receive(frame)
		}
		c.recordLeadership()
	}
}

// tick runs what is due. The recommendation is repeated twice a lease, since other agents' replicas let an old one expire.
func (c *Coordinator) tick() {
	c.execute(c.replica.Tick(c.now()))
	if c.recommendation != (election.Decision{}) && time.Since(c.recommendedAt) >= c.leaseDuration/2 {
		c.recommend(c.recommendation)
	}
}

// recommend gives the replica what this agent's release analyzer asks for.
func (c *Coordinator) recommend(decision election.Decision) {
	c.recommendation = decision
	c.recommendedAt = time.Now()
	c.execute(c.replica.Recommend(c.now(), decision))
}

func (c *Coordinator) closeStore() {
	if c.store != nil {
		_ = c.store.Close() // every Save was synced, nothing can be lost any more
	}
}
