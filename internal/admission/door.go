// Package admission holds every decision of who goes in to the module and when: fairness among tenants and among a tenant's
// clients, how many may be in at a time, who has to go when there is no room, and when those who are turned away should
// come back. It owns the txns that wait and the promises given; it must never route a txn or look at an answer's content.
//
// Use: make one Door an agent with New, tell it what happens with the clock in whole microseconds, and carry out the
// orders that each call returns before the next one; they stand in a slice that the next call uses again. A Door does no
// I/O, reads no clock and starts no goroutine; the same calls give the same orders.
package admission

import (
	"math/rand"
)

// Micros is a time or a span in whole microseconds.
type Micros = int64

const (
	ms     Micros = 1000
	second        = 1000 * ms
)

// RequestClass is what the door knows of a kind of txn.
type RequestClass struct {
	LatencyObjective, Timeout Micros
	PriorityWeight            float64
	Keyed                     bool // its key marks the repeats of one txn
}

// Tenant is a customer with its share of the whole.
type Tenant struct{ Weight float64 }

// Limits is what may be kept at a time, waiting or in; Queues is how many each tenant's clients are spread over.
type Limits struct {
	Requests int
	Bytes    int64
	Queues   int
}

// LimitsFor works out the bounds from the memory that the agent may use and the places that it has for clients.
func LimitsFor(memoryMB, places, queues int) Limits {
	memory := int64(memoryMB) << 20
	return Limits{Requests: max(1, min(places, int(memory/memoryPart/ticketBytes))), Bytes: memory / memoryPart / 2, Queues: queues}
}

// memoryPart of the memory is for those at the door and in; half of that for what they send. ticketBytes is what a txn
// holds beside it, garbage included: on loopback an agent with 730 connections held 50 MB more than a quiet one.
const memoryPart, ticketBytes = 4, 64 << 10

// RetryAfterLimits are the told limits of come-back times; Most 0: clients are told none.
type RetryAfterLimits struct{ Max Micros }

// Arrival is a txn at the door.
type Arrival struct {
	ID       uint64
	Tenant   int    // its index; one that was not told counts with all others of that sort
	Client   uint64 // who asks, hashed
	Class    int
	Key      uint64 // the reference or the thing it concerns, hashed with nothing else; 0: none
	IsRetry  bool   // marked as a client's next try
	CostHint Micros // the told hint; 0: none
	Deadline Micros
	Bytes    int
}

// Result an admitted txn ended.
type Result int

const (
	Succeeded Result = iota
	Rejected         // the module had no way for it
	Failed
	ClientGone // its client has gone
	resultCount
)

// CommandKind of an order.
type CommandKind int

const (
	Admit    CommandKind = iota // hand it to the module
	Reject                      // tell the client to come back after Wait
	Coalesce                    // it gets the answer of First, which is in
)

// Reason a txn is refused.
type Reason int

const (
	NoReason    Reason = iota
	TooLate            // it would not get in in time
	NoCapacity         // the bound is reached, and its tenant is furthest over its share
	Replaced           // its own next try has taken its place
	Draining           // the agent ends
	reasonCount        // how many there are
)

func (w Reason) String() string {
	return [...]string{"none", "too late", "no room", "replaced", "draining"}[w]
}

// Command is what is to be done with one txn.
type Command struct {
	Kind       CommandKind
	ID         uint64
	LeaderID   uint64 // of a Share
	RetryAfter Micros // of a Refuse; 0: no advice
	Reason     Reason
}

// state of a ticket.
type state int8

const (
	waiting state = iota
	behind        // it waits for its first try, which is in
	in
)

// ticket is the one record of a txn that the door knows.
type ticket struct {
	Arrival
	state    state
	who      uint64 // what its next try will be known by
	cost     float64
	came     Micros // the first try's coming, where it took over a place
	giveUp   Micros // it is refused then
	entered  Micros
	due      int64 // the beat at which it gives up; -1: none
	sooner   *ticket
	later    *ticket
	tenant   *tenant
	queue    *queue
	lane     int
	prev     *ticket
	next     *ticket
	follower *ticket // its next try, while this one is in
	first    *ticket // the other way round
	sent     bool
}

// Controller decides; see the package.
type Controller struct {
	now      Micros
	products []RequestClass
	rank     []int // of a product: 0 the dearest
	lanes    int
	tenants  []*tenant
	fair     level
	room     Limits
	waits    RetryAfterLimits
	shared   bool // a next try gets the first one's answer
	salt     uint64
	chance   *rand.Rand
	tickets  map[uint64]*ticket
	tries    map[uint64]*ticket // by who
	spare    *ticket            // records to use again, linked by next
	dues     wheel
	out      []Command
	waitN    int
	inN      int
	outN     int // of those, the module has sent
	inCost   float64
	took     float64 // the mean time from going in to the answer
	wanted   Micros  // since when somebody waits; -1: nobody does
	bytes    int64
	limit    limit
	usual    []float64 // mean work by product
	flow     flow
	until    Micros // the drain's end; 0: none
	promises book
	Counters Counters
}

// Counters is what has happened since the start; it decides nothing.
type Counters struct {
	Arrived, Admitted, Rejoined, Coalesced                                   uint64
	Rejected                                                                 [reasonCount]uint64
	Reserved, ReservationsHonored, ReservationsMissed, ReservationsUnclaimed uint64
	EarlyRetries                                                             uint64
	Finished                                                                 [resultCount]uint64 // of those that were in
}

// New makes a door. shares are by tenant index, one more stands for all that were not told. shared: a next try that
// comes while its first is in is given that one's answer instead of waiting for it.
func New(products []RequestClass, shares []Tenant, room Limits, waits RetryAfterLimits, shared bool, seed int64) *Controller {
	d := &Controller{
		products: products, room: room, waits: waits, shared: shared, chance: rand.New(rand.NewSource(seed)),
		tickets: map[uint64]*ticket{}, tries: map[uint64]*ticket{}, usual: make([]float64, len(products)),
	}
	d.salt = d.chance.Uint64()
	d.rank, d.lanes = ranks(products)
	for i, p := range products {
		d.usual[i] = float64(p.LatencyObjective) / usualPart
		d.took = max(d.took, d.usual[i])
	}
	d.room.Requests, d.room.Queues = max(1, room.Requests), max(1, room.Queues)
	d.limit, d.wanted = newLimit(float64(d.room.Requests)), -1
	d.fair.init(len(shares) + 1)
	for i := 0; i <= len(shares); i++ {
		t := &tenant{weight: strangers}
		if i < len(shares) {
			t.weight = max(shares[i].Weight, 1e-6)
		}
		t.flow.item, t.flow.place = t, -1
		t.queues.init(d.room.Queues)
		t.all = make([]queue, d.room.Queues)
		d.tenants = append(d.tenants, t)
	}
	d.promises.init(d.room.Requests, len(d.tenants), waits.Max)
	return d
}

const (
	// strangers is the weight of all tenants together that were not told, beside told shares that add up to about one.
	strangers = 0.05
	// usualPart of the SLA time is a txn's work until some have been seen.
	usualPart = 8
	// usualFade: the mean work of a product looks back over some fifty txns. leastHint: a hint counts for no less than
	// this part of it, so that who says that all its txns are small gains four times its share at the most.
	usualFade, leastHint = 0.02, 0.25
	// waitPart of its SLA time is the longest that a txn waits here, and what leaves it answerParts of the time that answers
	// take now, leastWait of it at the least: who goes in too late is given up inside after all, having cost an appliance its work.
	waitPart, answerParts, leastWait = 0.5, 3.0, 0.05
)

// patience is how long a txn of a product may wait here.
func (d *Controller) patience(product int) Micros {
	sla := float64(d.products[product].LatencyObjective)
	return Micros(max(leastWait*sla, min(waitPart*sla, sla-answerParts*d.took)))
}

// Arrive takes a txn to the door.
func (d *Controller) Arrive(now Micros, a Arrival) []Command {
	d.begin(now)
	d.Counters.Arrived++
	if a.CostHint > 0 {
		d.usual[a.Class] += (float64(a.CostHint) - d.usual[a.Class]) * usualFade
	}
	if a.Tenant < 0 || a.Tenant >= len(d.tenants) {
		a.Tenant = len(d.tenants) - 1
	}
	t := d.take(a)
	if d.join(t) {
		d.fit()
		return d.flush()
	}
	d.know(t)
	promised := d.promises.claim(d, t)
	d.line(t)
	switch {
	case promised == onTime && d.inN < d.limit.most()+d.limit.reserve():
		// Its place was booked ahead, so it goes in before those who wait; its tenant pays as for any other.
		d.Counters.ReservationsHonored++
		d.unline(t)
		d.pay(t)
		d.admit(t)
	case promised == onTime:
		d.Counters.ReservationsMissed++
		fallthrough
	default:
		d.enter()
		if t.state != waiting {
			break
		}
		if wait := d.ahead(t); d.now+wait > t.giveUp || d.until > 0 && d.now+wait > d.until {
			d.refuse(t, TooLate)
		}
	}
	d.fit()
	return d.flush()
}

// fit holds the bound.
func (d *Controller) fit() {
	for d.waitN+d.inN > d.room.Requests || d.bytes > d.room.Bytes {
		last := d.over()
		if last == nil {
			d.dues.each(func(t *ticket) { last = t }) // only next tries are left, behind first ones that are in
		}
		if last == nil {
			return
		}
		d.refuse(last, NoCapacity)
	}
}

// AttemptSent tells that the module has found a way for a txn: until then it waits in there.
func (d *Controller) AttemptSent(now Micros, id uint64) []Command {
	d.begin(now)
	if t := d.tickets[id]; t != nil && t.state == in && !t.sent {
		t.sent = true
		d.outN++
		d.limit.moved(now, d.inN, d.outN)
	}
	return d.flush()
}

// Finish tells that an admitted txn has its answer, or that nobody waits for one; nothing of it is out any more.
func (d *Controller) Finish(now Micros, id uint64, how Result) []Command {
	d.begin(now)
	t := d.tickets[id]
	if t == nil || t.state != in {
		return d.Abandon(now, id)
	}
	d.inN--
	d.Counters.Finished[how]++
	took := now - t.entered
	if t.sent {
		d.outN--
	}
	d.limit.moved(now, d.inN, d.outN)
	d.limit.ended(now, how, t.sent)
	d.inCost -= t.cost
	if how == Succeeded {
		if usual := &d.usual[t.Class]; t.CostHint == 0 {
			*usual += (float64(took) - *usual) * usualFade
		}
		d.took += (float64(took) - d.took) * usualFade
	}
	if f := t.follower; f != nil { // its first try is over: it goes next, in that one's place
		t.follower, f.first = nil, nil
		f.state, f.cost = waiting, d.price(f)
		d.waitN--
		d.line(f)
		d.know(f)
	}
	d.drop(t)
	d.enter()
	return d.flush()
}

// Abandon tells that a client of a txn that waits has left. One that is in ends with Ended.
func (d *Controller) Abandon(now Micros, id uint64) []Command {
	d.begin(now)
	if t := d.tickets[id]; t != nil && t.state != in {
		d.leave(t)
		d.drop(t)
		d.enter()
	}
	return d.flush()
}

// TimerFired is to be called at the time that Next gave, or later.
func (d *Controller) TimerFired(now Micros) []Command {
	d.begin(now)
	d.dues.expired(now, func(t *ticket) { d.refuse(t, TooLate) })
	if d.until > 0 && now >= d.until {
		d.dues.each(func(t *ticket) { d.refuse(t, Draining) })
	}
	d.promises.sweep(d)
	d.limit.tick(now, d.waitN > 0)
	d.enter()
	return d.flush()
}

// beatEvery: the limit's rounds are looked at so often while anything waits: well inside any SLA time.
const beatEvery = 10 * ms

// NextTimer is when the door wants a Bell; 0: not before something happens.
func (d *Controller) NextTimer() Micros {
	next := Micros(0)
	sooner := func(at Micros) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if d.dues.n > 0 {
		sooner(d.now + beatEvery - d.now%beatEvery)
		sooner(d.until)
	}
	sooner(d.promises.next())
	return next
}

// Drain: the agent ends at the time until. Who will not get in before it is told so at once, here and on arrival.
func (d *Controller) Drain(now, until Micros) []Command {
	d.begin(now)
	d.until = max(until, 1)
	var late []*ticket
	d.dues.each(func(t *ticket) {
		if t.state == waiting && now+d.ahead(t) > d.until {
			late = append(late, t)
		}
	})
	for _, t := range late {
		d.refuse(t, TooLate)
	}
	return d.flush()
}

// SetWeights puts other weights in force; tenants keep their order.
func (d *Controller) SetWeights(shares []Tenant) {
	for i, s := range shares {
		if i < len(d.tenants)-1 {
			d.tenants[i].weight = max(s.Weight, 1e-6)
		}
	}
}

// Status is what is in hand now, for figures and logs.
type Status struct {
	Waiting, InProgress, Reservations int
	Limit                             float64
	Bytes                             int64
}

func (d *Controller) Status() Status {
	return Status{d.waitN, d.inN, d.promises.n, d.limit.now, d.bytes}
}

// TenantStatus is a tenant's part of the state.
type TenantStatus struct {
	Waiting      int
	Cost         float64
	AdmittedCost float64 // work admitted since the start, in microseconds
	ReservedCost float64 // work promised a time that has not come
}

func (d *Controller) Tenant(tenant int) TenantStatus {
	t := d.tenants[tenant]
	return TenantStatus{t.n, t.cost, t.served, d.promises.ahead(tenant, d.now)}
}

func (d *Controller) begin(now Micros) { d.now, d.out = max(d.now, now), d.out[:0] }

func (d *Controller) flush() []Command {
	if d.waitN == 0 {
		d.wanted = -1
	} else if d.wanted < 0 {
		d.wanted = d.now
	}
	return d.out
}

// take makes the record of an arrival.
func (d *Controller) take(a Arrival) *ticket {
	t := d.spare
	if t != nil {
		d.spare = t.next
	} else {
		t = new(ticket)
	}
	*t = ticket{Arrival: a, came: d.now, due: -1, tenant: d.tenants[a.Tenant], lane: d.rank[a.Class]}
	t.who = d.whoOf(&a)
	t.cost = d.price(t)
	t.giveUp = min(t.came+d.patience(a.Class), a.Deadline)
	if d.until > 0 {
		t.giveUp = min(t.giveUp, max(d.until, d.now))
	}
	d.tickets[a.ID] = t
	d.bytes += int64(a.Bytes)
	return t
}

// whoOf is what the next try of a txn is known by: the reference that it carries, else what it concerns and who asks.
// Without either it is not known: each of a client's txns is then its own.
func (d *Controller) whoOf(a *Arrival) uint64 {
	h := mix(d.salt ^ uint64(a.Tenant)<<32 ^ uint64(a.Class))
	switch {
	case a.Key != 0 && d.products[a.Class].Keyed:
		return mix(h ^ a.Key)
	case a.Key != 0:
		return mix(mix(h^a.Key) + a.Client)
	}
	return mix(mix(h) + a.Client)
}

// price is the work that a txn is charged: its hint, or the mean of its product.
func (d *Controller) price(t *ticket) float64 {
	usual := max(d.usual[t.Class], 1)
	if t.CostHint > 0 {
		return max(float64(t.CostHint), leastHint*usual)
	}
	return usual
}

// join puts a next try into its first one's place. While that one waits, it takes over the place, and the first is told
// so; while it is in, nothing may be sent twice: the next try waits for its end. Inquiry-like txns on one thing are many
// clients' own, so they join only where the client says that it is a next try.
func (d *Controller) join(t *ticket) bool {
	if t.Key == 0 || !t.IsRetry && !d.products[t.Class].Keyed {
		return false
	}
	first := d.tries[t.who]
	if first == nil {
		return false
	}
	d.Counters.Rejoined++
	switch first.state {
	case waiting:
		t.came, t.giveUp = first.came, min(max(first.giveUp, first.came), t.Deadline)
		d.swap(first, t)
		d.know(t)
		d.say(Command{Kind: Reject, ID: first.ID, Reason: Replaced})
		d.forget(first)
	case behind, in:
		for first.state == behind {
			first = first.first
		}
		if old := first.follower; old != nil { // a third try: the second has its answer
			d.refuse(old, Replaced)
		}
		if d.shared {
			d.Counters.Coalesced++
			d.say(Command{Kind: Coalesce, ID: t.ID, LeaderID: first.ID})
			d.bytes -= int64(t.Bytes)
			delete(d.tickets, t.ID)
			d.recycle(t)
			return true
		}
		first.follower, t.first, t.state = t, first, behind
		t.giveUp = t.Deadline
		if d.until > 0 {
			t.giveUp = min(t.giveUp, d.until)
		}
		d.waitN++
		d.dues.add(t)
	}
	return true
}

// know keeps a ticket to be found by its next try; one without a key has none that could be known.
func (d *Controller) know(t *ticket) {
	if t.Key != 0 {
		d.tries[t.who] = t
	}
}

// enter lets in as many as may be, the one whose turn it is first.
func (d *Controller) enter() {
	for d.inN < d.limit.most() {
		t := d.turn()
		if t == nil {
			return
		}
		d.admit(t)
	}
}

func (d *Controller) admit(t *ticket) {
	t.state, t.entered = in, d.now
	d.inN, d.inCost = d.inN+1, d.inCost+t.cost
	d.Counters.Admitted++
	d.flow.add(d.now, t.cost)
	d.limit.moved(d.now, d.inN, d.outN)
	d.say(Command{Kind: Admit, ID: t.ID})
}

// refuse turns a txn away that waits, and tells when to come back.
func (d *Controller) refuse(t *ticket, why Reason) {
	d.leave(t)
	wait := Micros(0)
	if why == TooLate || why == NoCapacity {
		wait = d.promises.give(d, t)
	}
	d.say(Command{Kind: Reject, ID: t.ID, RetryAfter: wait, Reason: why})
	d.drop(t)
}

// leave takes a ticket out of where it waits.
func (d *Controller) leave(t *ticket) {
	switch t.state {
	case waiting:
		d.unline(t)
	case behind:
		t.first.follower = nil
		t.first = nil
		d.waitN--
		if t.due >= 0 {
			d.dues.remove(t)
		}
	}
}

// drop ends a ticket that is nowhere any more.
func (d *Controller) drop(t *ticket) {
	if t.Key != 0 && d.tries[t.who] == t {
		delete(d.tries, t.who)
	}
	d.forget(t)
}

func (d *Controller) forget(t *ticket) {
	d.bytes -= int64(t.Bytes)
	delete(d.tickets, t.ID)
	d.recycle(t)
}

func (d *Controller) recycle(t *ticket) {
	*t = ticket{next: d.spare}
	d.spare = t
}

func (d *Controller) say(o Command) {
	if o.Kind == Reject {
		d.Counters.Rejected[o.Reason]++
	}
	d.out = append(d.out, o)
}

// mix spreads a number over 64 bits (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// flow measures the work let in.
type flow struct {
	at   Micros
	rate float64 // work a microsecond
}

// flowSpan: long enough that single txns don't move it, short enough to follow a fleet that slows down.
const flowSpan = 1 * second

func (f *flow) add(now Micros, cost float64) {
	f.rate = f.per(now) + cost/float64(flowSpan)
	f.at = now
}

func (f *flow) per(now Micros) float64 {
	return f.rate * max(0, 1-float64(now-f.at)/float64(flowSpan)) // between two txns as good as an exponential
}

// pace is the work a microsecond that goes in while all is wanted: what was let in of late, or, where nothing has waited
// for long and so less was let in than could be, what is in over the time that it takes.
func (d *Controller) pace() float64 {
	pace := d.flow.per(d.now)
	if d.wanted < 0 || d.now-d.wanted < flowSpan {
		pace = max(pace, d.inCost/max(d.took, 1))
	}
	return max(pace, 1e-9)
}
