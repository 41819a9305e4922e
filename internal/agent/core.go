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

// mailbox is where an actor gets its notes; putting one never waits.
type mailbox[T any] struct {
	mu    sync.Mutex
	notes []T
	bell  chan struct{} // holds one token while there are notes
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{bell: make(chan struct{}, 1)} }

func (m *mailbox[T]) put(n T) {
	m.mu.Lock()
	m.notes = append(m.notes, n)
	m.mu.Unlock()
	select {
	case m.bell <- struct{}{}:
	default:
	}
}

// take empties the mailbox into a slice; the one handed in is used again.
func (m *mailbox[T]) take(used []T) []T {
	clear(used)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.notes
	m.notes = used[:0]
	return out
}

// Clock counts microseconds: one look at the wall, then monotonic, so that times of starts fit it and it never
// runs back.
type Clock struct{ start time.Time }

func NewClock() Clock { return Clock{time.Now()} }

func (c Clock) at(t time.Time) policy.Micros {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}
func (c Clock) now() policy.Micros { return c.at(time.Now()) }

// time is the other way round.
func (c Clock) time(at policy.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}

// reply is what the client gets in the end: an appliance's answer, or the module's own no.
type reply struct {
	settled *answer
	refused bool // a repeat does no harm
	holdOff policy.Micros
}

// open is a txn that the module has, or that has a submission out.
type open struct {
	parcel  *parcel
	reply   chan reply // holds one
	expires time.Time
	over    bool // it has its final answer, or nobody waits for one
	out     int  // submissions that have not ended
	tries   int
	on      *appliance
	done    func() // when it is over and nothing of it is out; nil where nobody asks
	sent    func() // when it is first sent; nil where nobody asks
	how     admission.Result
	also    []chan reply // its next tries, which get its answer
}

// tell gives a final answer to all who wait for it.
func (t *open) tell(r reply) {
	t.reply <- r
	for _, also := range t.also {
		also <- r
	}
	t.also = nil
}

// What the others put into the core's mailbox; the module's own events come as they are.
type (
	arrived struct {
		taken policy.RequestArrived
		*open
	}
	ended struct {
		policy.AttemptResult
		ending Ending
		answer *answer
	}
	listing struct {
		policy.EndpointUpdate
		hosts []entry // beside the rows
	}
	shortage struct{}                     // descriptors for connections to appliances are used up
	calledIn struct{ done chan struct{} } // answered when all before it has been handled
)

// Core is the module's actor.
type Core struct {
	module     policy.Router
	clock      Clock
	moment     policy.Micros // the clock stands while this is set
	box        *mailbox[any]
	urgent     *mailbox[any]     // news and list changes are not kept waiting
	wakes      []policy.SetTimer // by time
	asked      time.Time         // when the module was last asked
	inflows    *inflows          // on which list and news come
	mu         sync.Mutex
	readers    []func(calledIn) // the actors that hand them on
	late       policy.Micros    // the bell that was last found to be late
	txns       map[uint64]*open
	appliances map[uint32]*appliance
	all        []*appliance // in the order of their coming
	hire       func(uint32, entry) *appliance
	vote       func(policy.Vote)
	tell       func(policy.SendGossip)
	done       account
	votes      func(policy.Vote) // takes the module's votes in the launcher's place; nil: nobody
}

// Through names who takes the module's votes in the launcher's place. It is to be called before Serve.
func (c *Core) Through(votes func(policy.Vote)) { c.votes = votes }

// News gives the module where a build stands, ahead of what waits.
func (c *Core) News(s policy.RolloutUpdate) { c.urgent.put(s) }

// NewCore puts the module behind a mailbox. hire makes an appliance's actor; vote and tell carry orders on.
func NewCore(module policy.Router, clock Clock) *Core {
	return &Core{
		module: module, clock: clock, box: newMailbox[any](), urgent: newMailbox[any](), inflows: &inflows{open: map[*owing]bool{}},
		txns: map[uint64]*open{}, appliances: map[uint32]*appliance{},
	}
}

// Serve connects the orders and empties the mailboxes until the end.
func (c *Core) Serve(ctx context.Context, pool *Pool, launcher *Launcher, peers *Peers) {
	c.hire = func(id uint32, e entry) *appliance { return pool.hire(id, e, c) }
	if c.vote, c.tell = launcher.put, peers.put; c.votes != nil {
		c.vote = c.votes
	}
	// What the agent was started with is one moment to the module: news a few microseconds younger than its first
	// event would read as a release made after the start, and the calm before the next would go unseen.
	c.moment = c.clock.now()
	c.first()
	c.moment = 0
	timer := time.NewTimer(time.Hour)
	var notes []any
	for {
		if len(c.wakes) > 0 {
			timer.Reset(time.Duration(c.wakes[0].At-c.clock.now()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.box.bell:
		case <-c.urgent.bell:
		}
		notes = c.box.take(notes)
		for _, n := range notes {
			c.first()
			c.note(n)
		}
		c.first()
		c.done.say(time.Now())
		for now := c.clock.now(); len(c.wakes) > 0 && c.wakes[0].At <= now; {
			token := c.wakes[0].Token
			c.wakes = slices.Delete(c.wakes, 0, 1)
			c.handle(policy.TimerFired{Token: token})
		}
	}
}

// A bell that is so late says that the process stood still. What the list and the launcher wrote meanwhile counts as
// told, but may not have been read yet, while txns wait already: the readers get a moment first, and longer while something that
// has come in is not handed on: behind hundreds of txns on a full core a moment was not enough (the night still-over-drain, 4 of 20
// plays). It guards against all that stops an agent (a frozen machine, a starved core); it costs a little where the core is merely full.
const stalled, catchUp, catchUpMost = 250 * time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond

// caughtUp names one more actor that hands the list or the news on.
func (c *Core) caughtUp(ask func(calledIn)) {
	c.mu.Lock()
	c.readers = append(c.readers, ask)
	c.mu.Unlock()
}

// catch waits until all that had come in is in the mailbox, a bounded time.
func (c *Core) catch() {
	time.Sleep(catchUp)
	end := time.Now().Add(catchUpMost)
	for c.inflows.behind() && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	readers := slices.Clone(c.readers)
	c.mu.Unlock()
	for _, ask := range readers {
		done := make(chan struct{})
		ask(calledIn{done})
		select {
		case <-done:
		case <-time.After(time.Until(end)):
		}
	}
}

// first hands the list and the news on before anything else.
func (c *Core) first() {
	if len(c.wakes) > 0 && c.wakes[0].At != c.late && c.clock.now()-c.wakes[0].At > stalled.Microseconds() {
		c.late = c.wakes[0].At
		c.catch()
	}
	for _, n := range c.urgent.take(nil) {
		c.note(n)
	}
}

func (c *Core) note(n any) {
	switch n := n.(type) {
	case arrived:
		c.txns[n.taken.ID] = n.open
		c.done.taken++
		c.handle(n.taken)
	case policy.RequestCancelled:
		if t := c.txns[n.RequestID]; t != nil && !t.over {
			t.how = admission.ClientGone
			c.done.left++
			c.over(n.RequestID, t)
			c.handle(n)
		}
	case ended:
		c.ended(n)
	case listing:
		c.listing(n)
	case policy.RolloutUpdate:
		if n.IsVoteReply && n.Outcome == policy.Rejected {
			c.done.voteFull++
		}
		c.handle(n)
	case shortage:
		for _, a := range c.all {
			a.box.put(trim{})
		}
	case calledIn:
		close(n.done)
	case alsoTo:
		if t := c.txns[n.first]; t != nil && !t.over {
			t.also = append(t.also, n.open.reply)
		} else {
			n.open.reply <- reply{refused: true} // nothing was sent for it
		}
	default:
		c.handle(n)
	}
}

func (c *Core) over(id uint64, t *open) {
	if t.over = true; t.out == 0 {
		delete(c.txns, id)
		if t.done != nil {
			t.done()
		}
	}
}

// ended closes a submission. The first settled answer is the client's, and so is the word that its request is wrong:
// no other appliance would find it right.
func (c *Core) ended(n ended) {
	t := c.txns[n.RequestID]
	if t == nil {
		n.RequestDone = true
	} else {
		t.out--
		if !t.over && (n.ending == Settled || n.ending == Rejected) {
			t.how = admission.Succeeded
			c.done.settled++
			t.tell(reply{settled: n.answer})
			t.over = true
		}
		if n.RequestDone = t.over; t.over {
			c.over(n.RequestID, t)
		}
	}
	c.handle(n.AttemptResult)
}

// listing makes actors for new appliances and passes addresses on before the module hears of the rows. Those that are
// gone end by themselves once nothing of theirs is out; one that returns gets a new actor.
func (c *Core) listing(n listing) {
	there := map[uint32]bool{}
	for i, row := range n.Endpoints {
		a := c.appliances[row.ID]
		if row.State == policy.Gone {
			c.dismiss(a)
			continue
		}
		there[row.ID] = true
		if a == nil {
			a = c.hire(row.ID, n.hosts[i])
			c.appliances[row.ID], c.all = a, append(c.all, a)
		}
		a.box.put(listed{entry: n.hosts[i]})
	}
	if n.Full {
		for _, a := range slices.Clone(c.all) {
			if !there[a.id] {
				c.dismiss(a)
			}
		}
	}
	c.handle(n.EndpointUpdate)
}

func (c *Core) dismiss(a *appliance) {
	if a == nil {
		return
	}
	a.box.put(listed{gone: true})
	delete(c.appliances, a.id)
	c.all = slices.DeleteFunc(c.all, func(b *appliance) bool { return a == b })
}

// handle is the only place that calls the module. A panic there ends the process: a module in an unknown state
// could break any rule.
func (c *Core) handle(ev policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("module panicked", "panic", p, "event", fmt.Sprintf("%T%+v", ev, ev), "stack", string(debug.Stack()))
			panic(p)
		}
	}()
	now := c.moment
	if now == 0 {
		now = c.clock.now()
	}
	c.asked = time.Now() // before: what comes of it is as old as what the module knew
	for _, o := range c.module.Handle(now, ev) {
		c.carryOut(o)
	}
}

func (c *Core) carryOut(o policy.Command) {
	switch o := o.(type) {
	case policy.SetTimer:
		at, _ := slices.BinarySearchFunc(c.wakes, o.At, func(w policy.SetTimer, at policy.Micros) int { return int(w.At - at) })
		c.wakes = slices.Insert(c.wakes, at, o)
	case policy.SendAttempt:
		c.submit(o)
	case policy.Reject:
		c.answer(o.RequestID, reply{refused: true, holdOff: o.RetryAfter})
	case policy.Fail:
		c.answer(o.RequestID, reply{})
	case policy.Vote:
		c.done.votes++
		c.vote(o)
	case policy.CheckHealth:
		if a := c.appliances[o.EndpointID]; a != nil {
			c.done.probes++
			a.box.put(probe{})
		}
	case policy.CancelAttempt:
		if t := c.txns[o.RequestID]; t != nil && t.out > 0 {
			c.done.calledOff++
			t.on.box.put(callOff{o.RequestID})
		}
	case policy.SendGossip:
		c.tell(o)
	case policy.WatchEndpoints: // the watch on the list always stands
	case policy.LogMessage:
		slog.Info("module", "says", o.Text)
	default:
		panic(fmt.Sprintf("no way to carry out %T", o))
	}
}

// submit hands a submission on; one that cannot be sent at all ends at once.
func (c *Core) submit(o policy.SendAttempt) {
	t, a := c.txns[o.RequestID], c.appliances[o.EndpointID]
	now := c.asked
	if t == nil || t.over || t.out > 0 || a == nil {
		slog.Error("submission that cannot be", "txn", o.RequestID, "appliance", o.EndpointID)
		c.box.put(ended{AttemptResult: policy.AttemptResult{RequestID: o.RequestID, EndpointID: o.EndpointID, Outcome: NotSent.outcome()}, ending: NotSent})
		if t != nil {
			t.out++
		}
		return
	}
	until := t.expires
	if patient := now.Add(time.Duration(o.Timeout) * time.Microsecond); o.Timeout != 0 && patient.Before(until) {
		until = patient
	}
	if t.sent != nil {
		t.sent()
		t.sent = nil
	}
	if t.tries++; t.tries > 1 {
		c.done.again++
	}
	c.done.submissions++
	t.out, t.on = t.out+1, a
	s := submission{id: o.RequestID, parcel: t.parcel, at: now, until: until}
	if o.WriteBefore != 0 {
		s.before = c.clock.time(o.WriteBefore)
	}
	a.box.put(s)
}

func (c *Core) answer(id uint64, r reply) {
	if t := c.txns[id]; t != nil && !t.over {
		if r.refused {
			t.how = admission.Rejected
			c.done.declined++
		} else {
			t.how = admission.Failed
			c.done.voided++
		}
		t.tell(r)
		c.over(id, t)
	}
}

// Settle waits until all that was put in before has been handled.
func (c *Core) Settle(ctx context.Context) {
	done := make(chan struct{})
	c.box.put(calledIn{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Purse holds the descriptors for connections, to clients and appliances together, so that neither can use up what
// the other must have. Connections to appliances get what clients leave; clients leave them two fifths.
type Purse struct {
	mu                       sync.Mutex
	most, clients, addresses int
	given                    chan struct{} // holds a token after one was given back
}

func NewPurse(most int) *Purse { return &Purse{most: most, given: make(chan struct{}, 1)} }

// clientPart is the most that clients get: they hold a third at most for requests, each of those has one submission at
// most, and what is left beside that lets others in, be it to be turned away.
const clientPart = 0.6

// turnover is the part of the clients' places that is kept from open txns, so that whoever waits at the door is let in
// and hears at once that there is no room. Without it all fill with txns that the module holds, and those at the door
// wait unread until their time is over.
const turnover = 0.125

// Txns is the number that may be open.
func (p *Purse) Txns() int { return int((1 - turnover) * clientPart * float64(p.most)) }

// idlePart is the most that clients' idle connections may hold, a few times what traffic needs between two requests.
// It guards against clients that ask once and keep the connection: they may have no place left to ask from while each
// stands for its idle time. It costs a handshake where clients come back in turn, the one idle longest first.
const idlePart = 0.1

func (p *Purse) Idle() int { return max(1, int(idlePart*float64(p.most))) }

// appliance books a connection to an appliance, if there is one left.
func (p *Purse) appliance() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients+p.addresses >= p.most {
		return false
	}
	p.addresses++
	return true
}

// client books a client's connection, if there is one left for clients.
func (p *Purse) client() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients+p.addresses >= p.most || p.clients >= max(1, int(clientPart*float64(p.most))) {
		return false
	}
	p.clients++
	return true
}

func (p *Purse) give(clients, addresses int) {
	p.mu.Lock()
	p.clients, p.addresses = p.clients-clients, p.addresses-addresses
	p.mu.Unlock()
	select {
	case p.given <- struct{}{}:
	default:
	}
}

// sieve lets one line a second through for each thing that is wrong, so that bad input can't flood the log.
type sieve struct {
	mu   sync.Mutex
	last map[string]time.Time
}

var complaints = &sieve{last: map[string]time.Time{}}

const (
	sieveEvery = time.Second
	sieveMost  = 256 // kinds of complaint kept apart; beyond that they are forgotten and start anew
)

func (s *sieve) warn(kind, text string, args ...any) {
	s.mu.Lock()
	now := time.Now()
	fresh := now.Sub(s.last[kind]) >= sieveEvery
	if fresh {
		if len(s.last) >= sieveMost {
			clear(s.last)
		}
		s.last[kind] = now
	}
	s.mu.Unlock()
	if fresh {
		slog.Warn(text, args...)
	}
}
