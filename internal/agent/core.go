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
	"switchfork/internal/policy"
)

// This file owns the module's actor: its mailbox, its clock, its bell, and who gets each of its orders. Nothing
// else calls the module. It must never decide anything about a txn: what the module did not order does not happen.

// Mailbox is where an actor gets its notes; putting one never waits.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // holds one token while there are notes
}

func NewMailbox[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

func (m *Mailbox[T]) Put(n T) {
	m.mu.Lock()
	m.items = append(m.items, n)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready holds one token while there are notes.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take empties the mailbox into a slice; the one handed in is used again.
func (m *Mailbox[T]) Take(used []T) []T {
	clear(used)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.items
	m.items = used[:0]
	return out
}

// Clock counts microseconds: one look at the wall, then monotonic, so that times of starts fit it and it never
// runs back.
type Clock struct{ start time.Time }

func NewClock() Clock { return Clock{time.Now()} }

func (c Clock) At(t time.Time) policy.Micros {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}
func (c Clock) Now() policy.Micros { return c.At(time.Now()) }

// Time is the other way round.
func (c Clock) Time(at policy.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}

// Reply is what the client gets in the end: an appliance's answer, or the module's own no.
type Reply struct {
	Response   *Response
	Rejected   bool // a repeat does no harm
	RetryAfter policy.Micros
}

// Request is a txn that the module has, or that has a submission out.
type Request struct {
	Encoded        *EncodedRequest
	replies        chan Reply // holds one
	Deadline       time.Time
	answered       bool // it has its final answer, or nobody waits for one
	inFlight       int  // submissions that have not ended
	attempts       int
	endpoint       *Endpoint
	OnDone         func() // when it is over and nothing of it is out; nil where nobody asks
	OnFirstAttempt func() // when it is first sent; nil where nobody asks
	result         admission.Result
	coalesced      []chan Reply // its next tries, which get its answer
}

// NewRequest makes a request that has to be answered by a deadline. onDone is called when it is answered and nothing of it is in flight.
func NewRequest(encoded *EncodedRequest, deadline time.Time, onDone func()) *Request {
	return &Request{Encoded: encoded, replies: make(chan Reply, 1), Deadline: deadline, OnDone: onDone}
}

// Replies gives the one final answer.
func (t *Request) Replies() <-chan Reply { return t.replies }

// Result tells how an answered request ended.
func (t *Request) Result() admission.Result { return t.result }

// Deliver gives a final answer to all who wait for it.
func (t *Request) Deliver(r Reply) {
	t.replies <- r
	for _, also := range t.coalesced {
		also <- r
	}
	t.coalesced = nil
}

// What the others put into the core's mailbox; the module's own events come as they are.
type (
	requestArrived struct {
		event policy.RequestArrived
		*Request
	}
	EndpointList struct {
		policy.EndpointUpdate
		Entries []ListEntry // beside the rows
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
	mailbox       *Mailbox[any]
	urgent        *Mailbox[any]     // news and list changes are not kept waiting
	timers        []policy.SetTimer // by time
	handledAt     time.Time         // when the module was last asked
	unread        *UnreadGauge      // on which list and news come
	mu            sync.Mutex
	readers       []func(Barrier) // the actors that hand them on
	lateTimer     policy.Micros   // the bell that was last found to be late
	requests      map[uint64]*Request
	endpoints     map[uint32]*Endpoint
	endpointOrder []*Endpoint // in the order of their coming
	newEndpoint   func(uint32, ListEntry) *Endpoint
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
func (c *Loop) UnreadInput() *UnreadGauge { return c.unread }

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
func (c *Loop) AttemptFinished(result AttemptFinished) { c.mailbox.Put(result) }

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
		router: module, clock: clock, mailbox: NewMailbox[any](), urgent: NewMailbox[any](), unread: &UnreadGauge{open: map[*ResetConn]bool{}},
		requests: map[uint64]*Request{}, endpoints: map[uint32]*Endpoint{},
	}
}

// Serve connects the orders and empties the mailboxes until the end.
func (c *Loop) Serve(ctx context.Context, pool *Pool, vote func(policy.Vote), gossip func(policy.SendGossip)) {
	c.newEndpoint = func(id uint32, e ListEntry) *Endpoint { return pool.NewEndpoint(id, e, c) }
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

// A bell that is so late says that the process stood still. What the list and the launcher wrote meanwhile counts as
// told, but may not have been read yet, while txns wait already: the readers get a moment first, and longer while something that
// has come in is not handed on: behind hundreds of txns on a full core a moment was not enough (the night still-over-drain, 4 of 20
// plays). It guards against all that stops an agent (a frozen machine, a starved core); it costs a little where the core is merely full.
const StallThreshold, readerGrace, maxReaderWait = 250 * time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond

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
	if len(c.timers) > 0 && c.timers[0].At != c.lateTimer && c.clock.Now()-c.timers[0].At > StallThreshold.Microseconds() {
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
	case AttemptFinished:
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
func (c *Loop) attemptFinished(n AttemptFinished) {
	t := c.requests[n.RequestID]
	if t == nil {
		n.RequestDone = true
	} else {
		t.inFlight--
		if !t.answered && (n.Result == Succeeded || n.Result == ClientError) {
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

func (c *Loop) removeEndpoint(a *Endpoint) {
	if a == nil {
		return
	}
	a.Remove()
	delete(c.endpoints, a.ID())
	c.endpointOrder = slices.DeleteFunc(c.endpointOrder, func(b *Endpoint) bool { return a == b })
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
		c.mailbox.Put(AttemptFinished{AttemptResult: policy.AttemptResult{RequestID: o.RequestID, EndpointID: o.EndpointID, Outcome: NotSent.Outcome()}, Result: NotSent})
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
	s := Attempt{RequestID: o.RequestID, Encoded: t.Encoded, DecidedAt: now, Deadline: until}
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

// Budget holds the descriptors for connections, to clients and appliances together, so that neither can use up what
// the other must have. Connections to appliances get what clients leave; clients leave them two fifths.
type Budget struct {
	mu                        sync.Mutex
	limit, clients, upstreams int
	freed                     chan struct{} // holds a token after one was given back
}

func NewBudget(most int) *Budget { return &Budget{limit: most, freed: make(chan struct{}, 1)} }

// clientShare is the most that clients get: they hold a third at most for requests, each of those has one submission at
// most, and what is left beside that lets others in, be it to be turned away.
const clientShare = 0.6

// reservedShare is the part of the clients' places that is kept from open txns, so that whoever waits at the door is let in
// and hears at once that there is no room. Without it all fill with txns that the module holds, and those at the door
// wait unread until their time is over.
const reservedShare = 0.125

// MaxRequests is the number that may be open.
func (p *Budget) MaxRequests() int { return int((1 - reservedShare) * clientShare * float64(p.limit)) }

// idleShare is the most that clients' idle connections may hold, a few times what traffic needs between two requests.
// It guards against clients that ask once and keep the connection: they may have no place left to ask from while each
// stands for its idle time. It costs a handshake where clients come back in turn, the one idle longest first.
const idleShare = 0.1

func (p *Budget) MaxIdleClients() int { return max(1, int(idleShare*float64(p.limit))) }

// AcquireUpstream books a connection to an appliance, if there is one left.
func (p *Budget) AcquireUpstream() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients+p.upstreams >= p.limit {
		return false
	}
	p.upstreams++
	return true
}

// AcquireClient books a client's connection, if there is one left for clients.
func (p *Budget) AcquireClient() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients+p.upstreams >= p.limit || p.clients >= max(1, int(clientShare*float64(p.limit))) {
		return false
	}
	p.clients++
	return true
}

// Freed holds a token after a connection was given back.
func (p *Budget) Freed() <-chan struct{} { return p.freed }

// Release gives connections back.
func (p *Budget) Release(clients, addresses int) {
	p.mu.Lock()
	p.clients, p.upstreams = p.clients-clients, p.upstreams-addresses
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// Logger lets one line a second through for each thing that is wrong, so that bad input can't flood the log.
type Logger struct {
	mu   sync.Mutex
	last map[string]time.Time
}

var complaints = &Logger{last: map[string]time.Time{}}

const (
	interval = time.Second
	maxKinds = 256 // kinds of complaint kept apart; beyond that they are forgotten and start anew
)

func (s *Logger) Warn(kind, text string, args ...any) {
	s.mu.Lock()
	now := time.Now()
	fresh := now.Sub(s.last[kind]) >= interval
	if fresh {
		if len(s.last) >= maxKinds {
			clear(s.last)
		}
		s.last[kind] = now
	}
	s.mu.Unlock()
	if fresh {
		slog.Warn(text, args...)
	}
}
