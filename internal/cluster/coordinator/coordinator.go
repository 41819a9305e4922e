// Package coordinator runs this agent's replica of the leader election and connects the replica to the rest of the agent. It passes on
// to the replica what the release analyzer recommends, what the rollout controller reports and what other agents send, and executes the
// commands that the replica returns. Every decision is made in package election; this package keeps the clock, the mailbox, the
// timer and the metrics, and serves the admin address.
//
// The goroutine that calls Coordinator.Serve owns the replica and all state that depends on it. All other methods may be called
// from any goroutine. Methods that concern the replica put a message into a queue, which never blocks. Leave, Status and
// ChangeMembers then wait until the message has been handled or the context ends.
package coordinator

import (
	"context"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"

	"github.com/VictoriaMetrics/metrics"
)

// Transport sends encoded messages to another agent. Delivery is best effort: a message may be lost, delayed or duplicated.
type Transport interface{ Send(to int, frame []byte) }

// Store keeps the replica's durable state. The state is on disk when Save returns without an error.
type Store interface {
	Save(election.DurableState) error
	Close() error
}

// Callbacks are the functions through which the coordinator calls the rest of the agent.
type Callbacks struct {
	// CastVote sends a vote to the rollout controller, unless the vote can't be written before the time writeBefore. It calls resolved once
	// it is known that the vote was carried out, or that it never will be. written reports whether the vote was sent at all.
	CastVote func(vote policy.Vote, writeBefore time.Time, resolved func(written bool))
	// ProbeController makes a call to the rollout controller that changes nothing. It calls answered if the controller answers.
	ProbeController func(answered func())
	// UpdateRollout gives the routing policy the state of a rollout.
	UpdateRollout func(policy.RolloutUpdate)
}

// Config describes this agent's replica.
type Config struct {
	Index    int // this agent's index, which is its replica's ID
	Members  election.Members
	State    *election.DurableState // nil: no state has been stored yet
	Settings election.Settings
	Group    uint64 // group of agents; messages of another group are dropped
	Seed     int64  // seed of the replica's random delays
}

// frameQueueCapacity is how many received frames may wait to be handled. Further frames are dropped.
const frameQueueCapacity = 1024

// Coordinator drives one replica.
type Coordinator struct {
	group     uint64
	index     int
	transport Transport
	castVote  func(vote policy.Vote, writeBefore time.Time, resolved func(written bool))
	probe     func(answered func())
	clock     clock
	mailbox   *mailbox.Mailbox[message] // messages from other parts of this agent; unbounded: the senders must not wait, and send few messages
	frames    chan []byte               // frames received from other agents
	metrics   *replicaMetrics

	// Owned by the goroutine of Serve.
	replica        *election.Replica
	state          stateWriter
	recommendation repeatedRecommendation
	trafficStop    trafficStop
	leadership     leadershipObserver
}

// New returns a coordinator. store is nil if this agent has no state folder. A replica without stored state abstains at first,
// because the agent may have run before.
func New(config Config, transport Transport, store Store, callbacks Callbacks) *Coordinator {
	replicaClock := startClock()
	exported := newReplicaMetrics()
	leaseDuration := time.Duration(config.Settings.Lease) * time.Microsecond
	return &Coordinator{
		group:     config.Group,
		index:     config.Index,
		transport: transport,
		castVote:  callbacks.CastVote,
		probe:     callbacks.ProbeController,
		clock:     replicaClock,
		mailbox:   mailbox.New[message](),
		frames:    make(chan []byte, frameQueueCapacity),
		metrics:   exported,
		replica: election.New(election.Config{
			ID:       config.Index,
			Members:  config.Members,
			State:    config.State,
			Settings: config.Settings,
			IsFresh:  config.State == nil, // no stored state, although the agent may have run before: the replica abstains at first
			// The rounds of ballots grow by far less than one in a millisecond, so those of this start are higher than all before.
			FirstRound: uint64(time.Now().UnixMilli()),
			Now:        replicaClock.now(),
			Seed:       config.Seed,
		}),
		state:          stateWriter{store: store, syncs: exported.stateSyncs},
		recommendation: repeatedRecommendation{interval: leaseDuration / recommendationsPerLease},
		trafficStop:    trafficStop{updatePolicy: callbacks.UpdateRollout},
		leadership:     leadershipObserver{metrics: exported},
	}
}

// Metrics returns the set that holds the coordinator's metrics.
func (c *Coordinator) Metrics() *metrics.Set { return c.metrics.set }

// Serve handles the timer, the mailbox and received frames until the context ends, and then closes the store.
func (c *Coordinator) Serve(ctx context.Context) {
	defer c.state.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			c.tick()
			timer.Reset(c.clock.until(c.replica.NextTick()))
		case <-c.mailbox.Ready():
			for _, received := range c.mailbox.Take(nil) {
				received.handle(c)
			}
		case frame := <-c.frames:
			c.receive(frame)
		}
		c.leadership.observe(c.replica.Status(c.clock.now()))
	}
}

// tick lets the replica do what is due, and repeats the recommendation if that is due.
func (c *Coordinator) tick() {
	c.execute(c.replica.Tick(c.clock.now()))
	if c.recommendation.isDue() {
		c.recommend(c.recommendation.decision)
	}
}

// recommend gives the replica the decision that this agent's release analyzer recommends.
func (c *Coordinator) recommend(decision election.Decision) {
	c.recommendation.set(decision)
	c.execute(c.replica.Recommend(c.clock.now(), decision))
}
