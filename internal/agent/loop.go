// Package agent holds the event loop of an agent: the one goroutine that calls the routing policy.
//
// Other goroutines inform the policy by messages in the loop's two mailboxes. One has requests from the proxy and results from the
// endpoints. The other, which is handled first, has changes of the endpoint list and rollout updates. The loop's goroutine also carries out
// the commands that the policy returns: it hands them on to the endpoints, to the rollout controller's client and to the gossip messenger
// without waiting for them. It blocks in one case only: after the process has stalled, it waits for the readers of the endpoint list and
// of rollout updates (stall.go).
//
// The policy, the requests in flight, the endpoints and the timers belong to the goroutine that runs Loop.Serve. The methods that put
// a message into a mailbox may be called by any goroutine and do not block.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"
)

// idleWait is how long the loop waits for a message before the policy has set its first timer.
const idleWait = time.Hour

// Loop calls the policy with one event after the other and carries out the policy's commands. Messages wait in the loop's two mailboxes
// (messages.go), and the policy's timers in a queue (timers.go). The loop keeps the open requests (open_requests.go) and the listed
// endpoints (endpoint_registry.go).
type Loop struct {
	router    policy.Router
	clock     Clock
	frozenNow policy.Micros // if not 0, the time that the policy is given instead of the clock's

	mailbox *mailbox.Mailbox[message]
	urgent  *mailbox.Mailbox[message] // handled ahead of all messages in mailbox
	timers  timerQueue
	stalls  stallGuard

	requests  openRequests
	endpoints endpointRegistry
	executor  commandExecutor
	voteSink  func(policy.Vote) // if not nil, receives the votes instead of the function that Serve is given

	activity activity
}

// NewLoop creates the event loop of a policy. Messages wait in its mailboxes until Serve is called.
func NewLoop(router policy.Router, clock Clock) *Loop {
	l := &Loop{
		router:  router,
		clock:   clock,
		mailbox: mailbox.New[message](),
		urgent:  mailbox.New[message](),
		stalls:  newStallGuard(),
	}
	l.endpoints = newEndpointRegistry(l)
	l.requests = newOpenRequests(&l.activity)
	l.executor = commandExecutor{
		clock:         clock,
		timers:        &l.timers,
		requests:      &l.requests,
		endpoints:     &l.endpoints,
		activity:      &l.activity,
		reportAttempt: l.AttemptFinished,
	}
	return l
}

// RouteVotes makes receive get the policy's votes instead of the function that Serve is given. It must be called before Serve.
func (l *Loop) RouteVotes(receive func(policy.Vote)) { l.voteSink = receive }

// Clock returns the clock that the policy's times are read from.
func (l *Loop) Clock() Clock { return l.clock }

// UnreadInput returns the tracker of unread input on the connections on which the endpoint list and rollout updates arrive.
func (l *Loop) UnreadInput() *tcpconn.UnreadTracker { return l.stalls.unread }

// AddReader registers a goroutine that reads the endpoint list or rollout updates and hands them to the loop. After a stall, the loop calls
// flush with a barrier. The reader has to close the barrier's channel once it has handed the loop all input that it had read before the
// call.
func (l *Loop) AddReader(flush func(Barrier)) { l.stalls.addReader(flush) }

// Serve runs the loop until ctx ends. pool creates the endpoints. vote and gossip receive the policy's votes and gossip messages and must
// not block.
func (l *Loop) Serve(ctx context.Context, pool *upstream.Pool, vote func(policy.Vote), gossip func(policy.SendGossip)) {
	l.endpoints.pool = pool
	l.executor.castVote = vote
	if l.voteSink != nil {
		l.executor.castVote = l.voteSink
	}
	l.executor.sendGossip = gossip
	l.handleConfigured()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	var messages []message
	for l.waitForWork(ctx, timer) {
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

// waitForWork waits for a message or for the policy's first timer. It returns false if ctx has ended instead.
func (l *Loop) waitForWork(ctx context.Context, timer *time.Timer) bool {
	if at, found := l.timers.next(); found {
		timer.Reset(time.Duration(at-l.clock.Now()) * time.Microsecond)
	}
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-l.mailbox.Ready():
	case <-l.urgent.Ready():
	}
	return true
}

// handleConfigured handles the endpoint list and the rollout update that the agent was configured with. The policy is given the same time
// for both. A rollout update that came a few microseconds after the policy's first event would look like a release made after the start,
// and the baseline before the next release would not be recorded.
func (l *Loop) handleConfigured() {
	l.frozenNow = l.clock.Now()
	l.handleUrgent()
	l.frozenNow = 0
}

// handleUrgent handles endpoint list changes and rollout updates ahead of everything else. If the process has stalled, it first waits for
// the readers of both, which blocks the loop's goroutine for about maxReaderWait at most.
func (l *Loop) handleUrgent() {
	l.stalls.waitAfterStall(&l.timers, l.clock)
	for _, message := range l.urgent.Take(nil) {
		l.dispatch(message)
	}
}

// fireTimers hands the expired timers to the policy. Timers that expire while fireTimers runs wait for the loop's next iteration.
func (l *Loop) fireTimers() {
	now := l.clock.Now()
	for {
		timer, found := l.timers.popExpired(now)
		if !found {
			return
		}
		l.handle(policy.TimerFired{Token: timer.Token})
	}
}

// handle is the only place that calls the policy. A panic of the policy ends the process: in an unknown state, the policy could break any
// of its guarantees.
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
	// Read before the call, because the commands reflect what the policy knew by then.
	decidedAt := time.Now()
	for _, command := range l.router.Handle(now, event) {
		l.executor.execute(command, decidedAt)
	}
}
