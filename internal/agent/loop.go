// Package agent holds the event loop of an agent: the one goroutine that calls the routing policy.
//
// Everything that the policy is to know reaches it as a message in one of the loop's two mailboxes: requests from the proxy, results
// from the endpoints, and, ahead of those, changes of the endpoint list and rollout updates. The commands that the policy returns are
// carried out by the same goroutine, which hands them on to the endpoints, to the rollout controller's client and to the gossip
// messenger without ever waiting for them.
//
// The policy, the requests in flight, the endpoints and the timers belong to the goroutine that runs Loop.Serve. The methods that put
// a message into a mailbox may be called by any goroutine and do not block.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sort"
	"sync"
	"time"

	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"
)

// idleWait is how long the loop waits for a message before the policy has set its first timer.
const idleWait = time.Hour

// Loop calls the policy with one event after the other and carries out its commands.
type Loop struct {
	router    policy.Router
	clock     Clock
	frozenNow policy.Micros // the time that the policy is given while it is not 0

	mailbox *mailbox.Mailbox[message]
	urgent  *mailbox.Mailbox[message] // handled ahead of all that waits in mailbox

	timers    []policy.SetTimer // sorted by time
	handledAt time.Time         // when the policy was last called

	unread          *tcpconn.UnreadGauge // the connections on which the endpoint list and rollout updates arrive
	readersMutex    sync.Mutex
	readers         []func(Barrier) // the goroutines that read from those connections; guarded by readersMutex
	lateTimerWaited policy.Micros   // the time of the late timer for which the readers were last waited for

	requests      map[uint64]*Request
	endpoints     map[uint32]*upstream.Endpoint
	endpointOrder []*upstream.Endpoint // in the order in which they were added
	newEndpoint   func(uint32, protocol.ListEntry) *upstream.Endpoint

	castVote   func(policy.Vote)
	voteSink   func(policy.Vote) // replaces castVote; nil: not replaced
	sendGossip func(policy.SendGossip)

	activity activity
}

// NewLoop makes the event loop of a policy. Messages wait in its mailboxes until Serve is called.
func NewLoop(router policy.Router, clock Clock) *Loop {
	return &Loop{
		router:    router,
		clock:     clock,
		mailbox:   mailbox.New[message](),
		urgent:    mailbox.New[message](),
		unread:    tcpconn.NewUnreadGauge(),
		requests:  map[uint64]*Request{},
		endpoints: map[uint32]*upstream.Endpoint{},
	}
}

// RouteVotes replaces the receiver of the policy's votes that Serve is given. It must be called before Serve.
func (l *Loop) RouteVotes(receive func(policy.Vote)) { l.voteSink = receive }

// Clock is the clock that the policy's times are read from.
func (l *Loop) Clock() Clock { return l.clock }

// UnreadInput is the gauge of the connections on which the endpoint list and rollout updates arrive.
func (l *Loop) UnreadInput() *tcpconn.UnreadGauge { return l.unread }

// Serve runs the loop until ctx ends. Endpoints are made in pool; vote and gossip carry the policy's votes and gossip messages on and
// must not wait.
func (l *Loop) Serve(ctx context.Context, pool *upstream.Pool, vote func(policy.Vote), gossip func(policy.SendGossip)) {
	l.newEndpoint = func(id uint32, entry protocol.ListEntry) *upstream.Endpoint { return pool.NewEndpoint(id, entry, l) }
	l.castVote, l.sendGossip = vote, gossip
	if l.voteSink != nil {
		l.castVote = l.voteSink
	}
	l.handleConfigured()
	timer := time.NewTimer(idleWait)
	var messages []message
	for {
		if len(l.timers) > 0 {
			timer.Reset(time.Duration(l.timers[0].At-l.clock.Now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.mailbox.Ready():
		case <-l.urgent.Ready():
		}
		messages = l.mailbox.Take(messages)
		for _, message := range messages {
			l.handleUrgent()
			l.dispatch(message)
		}
		l.handleUrgent()
		l.activity.log(time.Now())
		l.fireTimers()
	}
}

// handleConfigured handles the endpoint list and the rollout update that the agent was configured with. To the policy they come at one
// moment: an update a few microseconds younger than its first event would read as a release made after the start, and the baseline
// before the next release would not be recorded.
func (l *Loop) handleConfigured() {
	l.frozenNow = l.clock.Now()
	l.handleUrgent()
	l.frozenNow = 0
}

// fireTimers gives the policy the timers that have expired. Those that expire meanwhile wait for the next turn of the loop.
func (l *Loop) fireTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].At <= now {
		token := l.timers[0].Token
		l.timers = slices.Delete(l.timers, 0, 1)
		l.handle(policy.TimerFired{Token: token})
	}
}

// setTimer inserts a timer by its time, behind those of the same time: they fire in the order in which they were set.
func (l *Loop) setTimer(timer policy.SetTimer) {
	at := sort.Search(len(l.timers), func(i int) bool { return l.timers[i].At > timer.At })
	l.timers = slices.Insert(l.timers, at, timer)
}

// handle is the only place that calls the policy. A panic there ends the process: a policy in an unknown state could break any of its
// guarantees.
func (l *Loop) handle(event policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("policy panicked", "panic", p, "event", fmt.Sprintf("%T%+v", event, event), "stack", string(debug.Stack()))
			panic(p)
		}
	}()
	now := l.frozenNow
	if now == 0 {
		now = l.clock.Now()
	}
	// Read before the call: the commands are as old as what the policy knew when it gave them.
	l.handledAt = time.Now()
	for _, command := range l.router.Handle(now, event) {
		l.carryOut(command)
	}
}
