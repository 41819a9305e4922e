package agent

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/mailbox"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/tcpconn"
	"switchfork/internal/upstream"
)

// What the others put into the core's mailbox; the module's own events come as they are.
type (
	requestArrived struct {
		event policy.RequestArrived
		*Request
	}
	EndpointList struct {
		policy.EndpointUpdate
		Entries []protocol.ListEntry // beside the rows
	}
	// coalesce asks for a retry to be answered with the answer of the request that it repeats.
	coalesce struct {
		leaderID uint64
		request  *Request
	}
	connectionsExhausted struct{}                     // descriptors for connections to appliances are used up
	Barrier              struct{ Done chan struct{} } // answered when all before it has been handled
)

// Loop is the module's actor.
type Loop struct {
	router        policy.Router
	clock         Clock
	frozenNow     policy.Micros // the clock stands while this is set
	mailbox       *mailbox.Mailbox[any]
	urgent        *mailbox.Mailbox[any] // news and list changes are not kept waiting
	timers        []policy.SetTimer     // by time
	handledAt     time.Time             // when the module was last asked
	unread        *tcpconn.UnreadGauge  // on which list and news come
	mu            sync.Mutex
	readers       []func(Barrier) // the actors that hand them on
	lateTimer     policy.Micros   // the bell that was last found to be late
	requests      map[uint64]*Request
	endpoints     map[uint32]*upstream.Endpoint
	endpointOrder []*upstream.Endpoint // in the order of their coming
	newEndpoint   func(uint32, protocol.ListEntry) *upstream.Endpoint
	castVote      func(policy.Vote)
	sendGossip    func(policy.SendGossip)
	activity      activity
	voteSink      func(policy.Vote) // takes the module's votes in the launcher's place; nil: nobody
}

// RouteVotes names who takes the module's votes in the launcher's place. It is to be called before Serve.
func (c *Loop) RouteVotes(votes func(policy.Vote)) { c.voteSink = votes }

// Clock is the clock that the router's times are read from.
func (c *Loop) Clock() Clock { return c.clock }

// UnreadInput is the gauge of the connections on which the endpoint list and rollout updates come.
func (c *Loop) UnreadInput() *tcpconn.UnreadGauge { return c.unread }

// Post hands an event to the router.
func (c *Loop) Post(event policy.Event) { c.mailbox.Put(event) }

// Admit hands a request to the router, and keeps it until it is answered and nothing of it is in flight.
func (c *Loop) Admit(event policy.RequestArrived, request *Request) {
	c.mailbox.Put(requestArrived{event, request})
}

// Coalesce answers a client's retry with the answer of the request that it repeats.
func (c *Loop) Coalesce(leaderID uint64, request *Request) {
	c.mailbox.Put(coalesce{leaderID, request})
}

// UpdateEndpoints hands a change of the endpoint list on, ahead of what waits.
func (c *Loop) UpdateEndpoints(list EndpointList) { c.urgent.Put(list) }

// CountListCall counts a call to discovery for the activity log.
func (c *Loop) CountListCall() { c.activity.listCalls.Add(1) }

// AttemptFinished, HealthChecked, ConnectionsExhausted and DialStarted are told by the endpoints.
func (c *Loop) AttemptFinished(result upstream.AttemptFinished) { c.mailbox.Put(result) }

// HealthChecked hands the result of a health check on.
func (c *Loop) HealthChecked(result policy.HealthCheckResult) { c.mailbox.Put(result) }

// ConnectionsExhausted has all endpoints close connections that they do not need.
func (c *Loop) ConnectionsExhausted() { c.mailbox.Put(connectionsExhausted{}) }

// DialStarted counts a connection attempt for the activity log.
func (c *Loop) DialStarted() { c.activity.dials.Add(1) }

// UpdateRollout gives the module where a build stands, ahead of what waits.
func (c *Loop) UpdateRollout(s policy.RolloutUpdate) { c.urgent.Put(s) }

// NewLoop puts the module behind a mailbox. hire makes an appliance's actor; vote and tell carry orders on.
func NewLoop(module policy.Router, clock Clock) *Loop {
	return &Loop{
		router: module, clock: clock, mailbox: mailbox.New[any](), urgent: mailbox.New[any](), unread: tcpconn.NewUnreadGauge(),
		requests: map[uint64]*Request{}, endpoints: map[uint32]*upstream.Endpoint{},
	}
}

// Serve connects the orders and empties the mailboxes until the end.
func (c *Loop) Serve(ctx context.Context, pool *upstream.Pool, vote func(policy.Vote), gossip func(policy.SendGossip)) {
	c.newEndpoint = func(id uint32, e protocol.ListEntry) *upstream.Endpoint { return pool.NewEndpoint(id, e, c) }
	if c.castVote, c.sendGossip = vote, gossip; c.voteSink != nil {
		c.castVote = c.voteSink
	}
	// What the agent was started with is one moment to the module: news a few microseconds younger than its first
	// event would read as a release made after the start, and the calm before the next would go unseen.
	c.frozenNow = c.clock.Now()
	c.handleUrgent()
	c.frozenNow = 0
	timer := time.NewTimer(time.Hour)
	var notes []any
	for {
		if len(c.timers) > 0 {
			timer.Reset(time.Duration(c.timers[0].At-c.clock.Now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.mailbox.Ready():
		case <-c.urgent.Ready():
		}
		notes = c.mailbox.Take(notes)
		for _, n := range notes {
			c.handleUrgent()
			c.dispatch(n)
		}
		c.handleUrgent()
		c.activity.log(time.Now())
		for now := c.clock.Now(); len(c.timers) > 0 && c.timers[0].At <= now; {
			token := c.timers[0].Token
			c.timers = slices.Delete(c.timers, 0, 1)
			c.handle(policy.TimerFired{Token: token})
		}
	}
}

// After a stall, the readers of the endpoint list and of rollout updates get readerGrace before requests are handled, and up to
// maxReaderWait while input that has arrived is not handed on yet: behind hundreds of requests on a full core a short grace was not
// enough (scenario still-over-drain, 4 of 20 plays). It guards against all that stops an agent (a frozen machine, a starved core); it
// costs a little where the core is merely full.
const (
	readerGrace   = 20 * time.Millisecond
	maxReaderWait = 500 * time.Millisecond
)

// AddReader names one more actor that hands the list or the news on.
func (c *Loop) AddReader(ask func(Barrier)) {
	c.mu.Lock()
	c.readers = append(c.readers, ask)
	c.mu.Unlock()
}

// waitForReaders waits until all that had come in is in the mailbox, a bounded time.
func (c *Loop) waitForReaders() {
	time.Sleep(readerGrace)
	end := time.Now().Add(maxReaderWait)
	for c.unread.HasUnread() && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	readers := slices.Clone(c.readers)
	c.mu.Unlock()
	for _, ask := range readers {
		done := make(chan struct{})
		ask(Barrier{done})
		select {
		case <-done:
		case <-time.After(time.Until(end)):
		}
	}
}

// handleUrgent hands the list and the news on before anything else.
func (c *Loop) handleUrgent() {
	if len(c.timers) > 0 && c.timers[0].At != c.lateTimer && c.clock.Now()-c.timers[0].At > upstream.StallThreshold.Microseconds() {
		c.lateTimer = c.timers[0].At
		c.waitForReaders()
	}
	for _, n := range c.urgent.Take(nil) {
		c.dispatch(n)
	}
}

func (c *Loop) dispatch(n any) {
	switch n := n.(type) {
	case requestArrived:
		c.requests[n.event.ID] = n.Request
		c.activity.arrived++
		c.handle(n.event)
	case policy.RequestCancelled:
		if t := c.requests[n.RequestID]; t != nil && !t.answered {
			t.result = admission.ClientGone
			c.activity.cancelledByClient++
			c.finishRequest(n.RequestID, t)
			c.handle(n)
		}
	case upstream.AttemptFinished:
		c.attemptFinished(n)
	case EndpointList:
		c.updateEndpoints(n)
	case policy.RolloutUpdate:
		if n.IsVoteReply && n.Outcome == policy.Rejected {
			c.activity.votesRejected++
		}
		c.handle(n)
	case connectionsExhausted:
		for _, a := range c.endpointOrder {
			a.TrimIdle()
		}
	case Barrier:
		close(n.Done)
	case coalesce:
		if t := c.requests[n.leaderID]; t != nil && !t.answered {
			t.coalesced = append(t.coalesced, n.request.replies)
		} else {
			n.request.replies <- Reply{Rejected: true} // nothing was sent for it
		}
	default:
		c.handle(n)
	}
}

func (c *Loop) finishRequest(id uint64, t *Request) {
	if t.answered = true; t.inFlight == 0 {
		delete(c.requests, id)
		if t.OnDone != nil {
			t.OnDone()
		}
	}
}

// attemptFinished closes a submission. The first settled answer is the client's, and so is the word that its request is wrong:
// no other appliance would find it right.
func (c *Loop) attemptFinished(n upstream.AttemptFinished) {
	t := c.requests[n.RequestID]
	if t == nil {
		n.RequestDone = true
	} else {
		t.inFlight--
		if !t.answered && (n.Result == protocol.Succeeded || n.Result == protocol.ClientError) {
			t.result = admission.Succeeded
			c.activity.succeeded++
			t.Deliver(Reply{Response: n.Response})
			t.answered = true
		}
		if n.RequestDone = t.answered; t.answered {
			c.finishRequest(n.RequestID, t)
		}
	}
	c.handle(n.AttemptResult)
}

// updateEndpoints makes actors for new appliances and passes addresses on before the module hears of the rows. Those that are
// gone end by themselves once nothing of theirs is out; one that returns gets a new actor.
func (c *Loop) updateEndpoints(n EndpointList) {
	there := map[uint32]bool{}
	for i, row := range n.Endpoints {
		a := c.endpoints[row.ID]
		if row.State == policy.Gone {
			c.removeEndpoint(a)
			continue
		}
		there[row.ID] = true
		if a == nil {
			a = c.newEndpoint(row.ID, n.Entries[i])
			c.endpoints[row.ID], c.endpointOrder = a, append(c.endpointOrder, a)
		}
		a.Update(n.Entries[i])
	}
	if n.Full {
		for _, a := range slices.Clone(c.endpointOrder) {
			if !there[a.ID()] {
				c.removeEndpoint(a)
			}
		}
	}
	c.handle(n.EndpointUpdate)
}

func (c *Loop) removeEndpoint(a *upstream.Endpoint) {
	if a == nil {
		return
	}
	a.Remove()
	delete(c.endpoints, a.ID())
	c.endpointOrder = slices.DeleteFunc(c.endpointOrder, func(b *upstream.Endpoint) bool { return a == b })
}

// handle is the only place that calls the module. A panic there ends the process: a module in an unknown state
// could break any rule.
func (c *Loop) handle(ev policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("module panicked", "panic", p, "event", fmt.Sprintf("%T%+v", ev, ev), "stack", string(debug.Stack()))
			panic(p)
		}
	}()
	now := c.frozenNow
	if now == 0 {
		now = c.clock.Now()
	}
	c.handledAt = time.Now() // before: what comes of it is as old as what the module knew
	for _, o := range c.router.Handle(now, ev) {
		c.carryOut(o)
	}
}

func (c *Loop) carryOut(o policy.Command) {
	switch o := o.(type) {
	case policy.SetTimer:
		at, _ := slices.BinarySearchFunc(c.timers, o.At, func(w policy.SetTimer, at policy.Micros) int { return int(w.At - at) })
		c.timers = slices.Insert(c.timers, at, o)
	case policy.SendAttempt:
		c.sendAttempt(o)
	case policy.Reject:
		c.replyTo(o.RequestID, Reply{Rejected: true, RetryAfter: o.RetryAfter})
	case policy.Fail:
		c.replyTo(o.RequestID, Reply{})
	case policy.Vote:
		c.activity.votes++
		c.castVote(o)
	case policy.CheckHealth:
		if a := c.endpoints[o.EndpointID]; a != nil {
			c.activity.healthChecks++
			a.CheckHealth()
		}
	case policy.CancelAttempt:
		if t := c.requests[o.RequestID]; t != nil && t.inFlight > 0 {
			c.activity.cancelledAttempts++
			t.endpoint.Cancel(o.RequestID)
		}
	case policy.SendGossip:
		c.sendGossip(o)
	case policy.WatchEndpoints: // the watch on the list always stands
	case policy.LogMessage:
		slog.Info("module", "says", o.Text)
	default:
		panic(fmt.Sprintf("no way to carry out %T", o))
	}
}

// sendAttempt hands a submission on; one that cannot be sent at all ends at once.
func (c *Loop) sendAttempt(o policy.SendAttempt) {
	t, a := c.requests[o.RequestID], c.endpoints[o.EndpointID]
	now := c.handledAt
	if t == nil || t.answered || t.inFlight > 0 || a == nil {
		slog.Error("submission that cannot be", "txn", o.RequestID, "appliance", o.EndpointID)
		c.mailbox.Put(upstream.AttemptFinished{AttemptResult: policy.AttemptResult{RequestID: o.RequestID, EndpointID: o.EndpointID, Outcome: protocol.NotSent.Outcome()}, Result: protocol.NotSent})
		if t != nil {
			t.inFlight++
		}
		return
	}
	until := t.Deadline
	if patient := now.Add(time.Duration(o.Timeout) * time.Microsecond); o.Timeout != 0 && patient.Before(until) {
		until = patient
	}
	if t.OnFirstAttempt != nil {
		t.OnFirstAttempt()
		t.OnFirstAttempt = nil
	}
	if t.attempts++; t.attempts > 1 {
		c.activity.retries++
	}
	c.activity.attempts++
	t.inFlight, t.endpoint = t.inFlight+1, a
	s := upstream.Attempt{RequestID: o.RequestID, Encoded: t.Encoded, DecidedAt: now, Deadline: until}
	if o.WriteBefore != 0 {
		s.WriteBefore = c.clock.Time(o.WriteBefore)
	}
	a.Send(s)
}

func (c *Loop) replyTo(id uint64, r Reply) {
	if t := c.requests[id]; t != nil && !t.answered {
		if r.Rejected {
			t.result = admission.Rejected
			c.activity.rejected++
		} else {
			t.result = admission.Failed
			c.activity.failed++
		}
		t.Deliver(r)
		c.finishRequest(id, t)
	}
}

// Flush waits until all that was put in before has been handled.
func (c *Loop) Flush(ctx context.Context) {
	done := make(chan struct{})
	c.mailbox.Put(Barrier{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
