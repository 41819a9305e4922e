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
	millisecond Micros = 1000
	second             = 1000 * millisecond
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
func LimitsFor(budgetMB, upstreamSlots, queues int) Limits {
	budgetBytes := int64(budgetMB) << 20
	return Limits{Requests: max(1, min(upstreamSlots, int(budgetBytes/budgetDivisor/bytesPerRequest))), Bytes: budgetBytes / budgetDivisor / 2, Queues: queues}
}

// budgetDivisor of the memory is for those at the door and in; half of that for what they send. ticketBytes is what a txn
// holds beside it, garbage included: on loopback an agent with 730 connections held 50 MB more than a quiet one.
const budgetDivisor, bytesPerRequest = 4, 64 << 10

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

// requestState of a ticket.
type requestState int8

const (
	stateWaiting   requestState = iota
	stateFollowing              // it waits for its first try, which is in
	stateInProgress
)

// trackedRequest is the one record of a txn that the door knows.
type trackedRequest struct {
	Arrival
	state        requestState
	retryKey     uint64 // what its next try will be known by
	cost         float64
	firstArrival Micros // the first try's coming, where it took over a place
	waitDeadline Micros // it is refused then
	admittedAt   Micros
	deadlineTick int64 // the beat at which it gives up; -1: none
	slotPrevious *trackedRequest
	slotNext     *trackedRequest
	tenant       *tenantState
	queue        *clientQueue
	priority     int
	previous     *trackedRequest
	next         *trackedRequest
	follower     *trackedRequest // its next try, while this one is in
	leader       *trackedRequest // the other way round
	isSent       bool
}

// Controller decides; see the package.
type Controller struct {
	now              Micros
	classes          []RequestClass
	classPriorities  []int // of a product: 0 the dearest
	priorityCount    int
	tenants          []*tenantState
	tenantScheduler  fairScheduler
	limits           Limits
	retryAfter       RetryAfterLimits
	coalescesRetries bool // a next try gets the first one's answer
	hashSeed         uint64
	random           *rand.Rand
	requests         map[uint64]*trackedRequest
	byRetryKey       map[uint64]*trackedRequest // by who
	freeRequests     *trackedRequest            // records to use again, linked by next
	deadlines        timingWheel
	commands         []Command
	waitingCount     int
	inProgressCount  int
	sentCount        int // of those, the module has sent
	inProgressCost   float64
	meanDuration     float64 // the mean time from going in to the answer
	backloggedSince  Micros  // since when somebody waits; -1: nobody does
	heldBytes        int64
	concurrency      concurrencyLimit
	meanCosts        []float64 // mean work by product
	throughput       throughputMeter
	drainDeadline    Micros // the drain's end; 0: none
	reservations     reservationTable
	Counters         Counters
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
func New(classes []RequestClass, tenants []Tenant, limits Limits, retryAfter RetryAfterLimits, coalescesRetries bool, seed int64) *Controller {
	c := &Controller{
		classes: classes, limits: limits, retryAfter: retryAfter, coalescesRetries: coalescesRetries, random: rand.New(rand.NewSource(seed)),
		requests: map[uint64]*trackedRequest{}, byRetryKey: map[uint64]*trackedRequest{}, meanCosts: make([]float64, len(classes)),
	}
	c.hashSeed = c.random.Uint64()
	c.classPriorities, c.priorityCount = priorityLevels(classes)
	for i, class := range classes {
		c.meanCosts[i] = float64(class.LatencyObjective) / initialCostDivisor
		c.meanDuration = max(c.meanDuration, c.meanCosts[i])
	}
	c.limits.Requests, c.limits.Queues = max(1, limits.Requests), max(1, limits.Queues)
	c.concurrency, c.backloggedSince = newConcurrencyLimit(float64(c.limits.Requests)), -1
	c.tenantScheduler.init(len(tenants) + 1)
	for i := 0; i <= len(tenants); i++ {
		tenant := &tenantState{weight: unknownTenantsWeight}
		if i < len(tenants) {
			tenant.weight = max(tenants[i].Weight, 1e-6)
		}
		tenant.flow.owner, tenant.flow.heapIndex = tenant, -1
		tenant.queueScheduler.init(c.limits.Queues)
		tenant.queues = make([]clientQueue, c.limits.Queues)
		c.tenants = append(c.tenants, tenant)
	}
	c.reservations.init(c.limits.Requests, len(c.tenants), retryAfter.Max)
	return c
}

const (
	// unknownTenantsWeight is the weight of all tenants together that were not told, beside told shares that add up to about one.
	unknownTenantsWeight = 0.05
	// initialCostDivisor of the SLA time is a txn's work until some have been seen.
	initialCostDivisor = 8
	// smoothingFactor: the mean work of a product looks back over some fifty txns. leastHint: a hint counts for no less than
	// this part of it, so that who says that all its txns are small gains four times its share at the most.
	smoothingFactor, minHintFraction = 0.02, 0.25
	// maxWaitFraction of its SLA time is the longest that a txn waits here, and what leaves it answerParts of the time that answers
	// take now, leastWait of it at the least: who goes in too late is given up inside after all, having cost an appliance its work.
	maxWaitFraction, responseTimeMultiple, minWaitFraction = 0.5, 3.0, 0.05
)

// maxWait is how long a txn of a product may wait here.
func (c *Controller) maxWait(class int) Micros {
	latencyObjective := float64(c.classes[class].LatencyObjective)
	return Micros(max(minWaitFraction*latencyObjective, min(maxWaitFraction*latencyObjective, latencyObjective-responseTimeMultiple*c.meanDuration)))
}

// Arrive takes a txn to the door.
func (c *Controller) Arrive(now Micros, arrival Arrival) []Command {
	c.begin(now)
	c.Counters.Arrived++
	if arrival.CostHint > 0 {
		c.meanCosts[arrival.Class] += (float64(arrival.CostHint) - c.meanCosts[arrival.Class]) * smoothingFactor
	}
	if arrival.Tenant < 0 || arrival.Tenant >= len(c.tenants) {
		arrival.Tenant = len(c.tenants) - 1
	}
	request := c.newRequest(arrival)
	if c.joinEarlierAttempt(request) {
		c.enforceLimits()
		return c.flush()
	}
	c.registerRetryKey(request)
	claim := c.reservations.claim(c, request)
	c.enqueue(request)
	switch {
	case claim == claimOnTime && c.inProgressCount < c.concurrency.value()+c.concurrency.reservationHeadroom():
		// Its place was booked ahead, so it goes in before those who wait; its tenant pays as for any other.
		c.Counters.ReservationsHonored++
		c.dequeue(request)
		c.chargeFlows(request)
		c.admit(request)
	case claim == claimOnTime:
		c.Counters.ReservationsMissed++
		fallthrough
	default:
		c.admitWaiting()
		if request.state != stateWaiting {
			break
		}
		if wait := c.estimatedWait(request); c.now+wait > request.waitDeadline || c.drainDeadline > 0 && c.now+wait > c.drainDeadline {
			c.reject(request, TooLate)
		}
	}
	c.enforceLimits()
	return c.flush()
}

// enforceLimits holds the bound.
func (c *Controller) enforceLimits() {
	for c.waitingCount+c.inProgressCount > c.limits.Requests || c.heldBytes > c.limits.Bytes {
		candidate := c.evictionCandidate()
		if candidate == nil {
			c.deadlines.forEach(func(request *trackedRequest) { candidate = request }) // only next tries are left, behind first ones that are in
		}
		if candidate == nil {
			return
		}
		c.reject(candidate, NoCapacity)
	}
}

// AttemptSent tells that the module has found a way for a txn: until then it waits in there.
func (c *Controller) AttemptSent(now Micros, id uint64) []Command {
	c.begin(now)
	if request := c.requests[id]; request != nil && request.state == stateInProgress && !request.isSent {
		request.isSent = true
		c.sentCount++
		c.concurrency.observe(now, c.inProgressCount, c.sentCount)
	}
	return c.flush()
}

// Finish tells that an admitted txn has its answer, or that nobody waits for one; nothing of it is out any more.
func (c *Controller) Finish(now Micros, id uint64, result Result) []Command {
	c.begin(now)
	request := c.requests[id]
	if request == nil || request.state != stateInProgress {
		return c.Abandon(now, id)
	}
	c.inProgressCount--
	c.Counters.Finished[result]++
	duration := now - request.admittedAt
	if request.isSent {
		c.sentCount--
	}
	c.concurrency.observe(now, c.inProgressCount, c.sentCount)
	c.concurrency.recordFinished(now, result, request.isSent)
	c.inProgressCost -= request.cost
	if result == Succeeded {
		if meanCost := &c.meanCosts[request.Class]; request.CostHint == 0 {
			*meanCost += (float64(duration) - *meanCost) * smoothingFactor
		}
		c.meanDuration += (float64(duration) - c.meanDuration) * smoothingFactor
	}
	if follower := request.follower; follower != nil { // its first try is over: it goes next, in that one's place
		request.follower, follower.leader = nil, nil
		follower.state, follower.cost = stateWaiting, c.estimatedCost(follower)
		c.waitingCount--
		c.enqueue(follower)
		c.registerRetryKey(follower)
	}
	c.discard(request)
	c.admitWaiting()
	return c.flush()
}

// Abandon tells that a client of a txn that waits has left. One that is in ends with Ended.
func (c *Controller) Abandon(now Micros, id uint64) []Command {
	c.begin(now)
	if request := c.requests[id]; request != nil && request.state != stateInProgress {
		c.stopWaiting(request)
		c.discard(request)
		c.admitWaiting()
	}
	return c.flush()
}

// TimerFired is to be called at the time that Next gave, or later.
func (c *Controller) TimerFired(now Micros) []Command {
	c.begin(now)
	c.deadlines.expire(now, func(request *trackedRequest) { c.reject(request, TooLate) })
	if c.drainDeadline > 0 && now >= c.drainDeadline {
		c.deadlines.forEach(func(request *trackedRequest) { c.reject(request, Draining) })
	}
	c.reservations.expire(c)
	c.concurrency.tick(now, c.waitingCount > 0)
	c.admitWaiting()
	return c.flush()
}

// tickInterval: the limit's rounds are looked at so often while anything waits: well inside any SLA time.
const tickInterval = 10 * millisecond

// NextTimer is when the door wants a Bell; 0: not before something happens.
func (c *Controller) NextTimer() Micros {
	next := Micros(0)
	consider := func(at Micros) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if c.deadlines.count > 0 {
		consider(c.now + tickInterval - c.now%tickInterval)
		consider(c.drainDeadline)
	}
	consider(c.reservations.nextDeadline())
	return next
}

// Drain: the agent ends at the time until. Who will not get in before it is told so at once, here and on arrival.
func (c *Controller) Drain(now, until Micros) []Command {
	c.begin(now)
	c.drainDeadline = max(until, 1)
	var unservable []*trackedRequest
	c.deadlines.forEach(func(request *trackedRequest) {
		if request.state == stateWaiting && now+c.estimatedWait(request) > c.drainDeadline {
			unservable = append(unservable, request)
		}
	})
	for _, request := range unservable {
		c.reject(request, TooLate)
	}
	return c.flush()
}

// SetWeights puts other weights in force; tenants keep their order.
func (c *Controller) SetWeights(tenants []Tenant) {
	for i, tenant := range tenants {
		if i < len(c.tenants)-1 {
			c.tenants[i].weight = max(tenant.Weight, 1e-6)
		}
	}
}

// Status is what is in hand now, for figures and logs.
type Status struct {
	Waiting, InProgress, Reservations int
	Limit                             float64
	Bytes                             int64
}

func (c *Controller) Status() Status {
	return Status{c.waitingCount, c.inProgressCount, c.reservations.count, c.concurrency.current, c.heldBytes}
}

// TenantStatus is a tenant's part of the state.
type TenantStatus struct {
	Waiting      int
	Cost         float64
	AdmittedCost float64 // work admitted since the start, in microseconds
	ReservedCost float64 // work promised a time that has not come
}

func (c *Controller) Tenant(tenant int) TenantStatus {
	state := c.tenants[tenant]
	return TenantStatus{state.waitingCount, state.waitingCost, state.admittedCost, c.reservations.outstandingCost(tenant, c.now)}
}

func (c *Controller) begin(now Micros) { c.now, c.commands = max(c.now, now), c.commands[:0] }

func (c *Controller) flush() []Command {
	if c.waitingCount == 0 {
		c.backloggedSince = -1
	} else if c.backloggedSince < 0 {
		c.backloggedSince = c.now
	}
	return c.commands
}

// newRequest makes the record of an arrival.
func (c *Controller) newRequest(arrival Arrival) *trackedRequest {
	request := c.freeRequests
	if request != nil {
		c.freeRequests = request.next
	} else {
		request = new(trackedRequest)
	}
	*request = trackedRequest{Arrival: arrival, firstArrival: c.now, deadlineTick: -1, tenant: c.tenants[arrival.Tenant], priority: c.classPriorities[arrival.Class]}
	request.retryKey = c.retryKeyOf(&arrival)
	request.cost = c.estimatedCost(request)
	request.waitDeadline = min(request.firstArrival+c.maxWait(arrival.Class), arrival.Deadline)
	if c.drainDeadline > 0 {
		request.waitDeadline = min(request.waitDeadline, max(c.drainDeadline, c.now))
	}
	c.requests[arrival.ID] = request
	c.heldBytes += int64(arrival.Bytes)
	return request
}

// retryKeyOf is what the next try of a txn is known by: the reference that it carries, else what it concerns and who asks.
// Without either it is not known: each of a client's txns is then its own.
func (c *Controller) retryKeyOf(arrival *Arrival) uint64 {
	hash := mix(c.hashSeed ^ uint64(arrival.Tenant)<<32 ^ uint64(arrival.Class))
	switch {
	case arrival.Key != 0 && c.classes[arrival.Class].Keyed:
		return mix(hash ^ arrival.Key)
	case arrival.Key != 0:
		return mix(mix(hash^arrival.Key) + arrival.Client)
	}
	return mix(mix(hash) + arrival.Client)
}

// estimatedCost is the work that a txn is charged: its hint, or the mean of its product.
func (c *Controller) estimatedCost(request *trackedRequest) float64 {
	meanCost := max(c.meanCosts[request.Class], 1)
	if request.CostHint > 0 {
		return max(float64(request.CostHint), minHintFraction*meanCost)
	}
	return meanCost
}

// joinEarlierAttempt puts a next try into its first one's place. While that one waits, it takes over the place, and the first is told
// so; while it is in, nothing may be sent twice: the next try waits for its end. Inquiry-like txns on one thing are many
// clients' own, so they join only where the client says that it is a next try.
func (c *Controller) joinEarlierAttempt(request *trackedRequest) bool {
	if request.Key == 0 || !request.IsRetry && !c.classes[request.Class].Keyed {
		return false
	}
	leader := c.byRetryKey[request.retryKey]
	if leader == nil {
		return false
	}
	c.Counters.Rejoined++
	switch leader.state {
	case stateWaiting:
		request.firstArrival, request.waitDeadline = leader.firstArrival, min(max(leader.waitDeadline, leader.firstArrival), request.Deadline)
		c.replaceInQueue(leader, request)
		c.registerRetryKey(request)
		c.emit(Command{Kind: Reject, ID: leader.ID, Reason: Replaced})
		c.release(leader)
	case stateFollowing, stateInProgress:
		for leader.state == stateFollowing {
			leader = leader.leader
		}
		if previous := leader.follower; previous != nil { // a third try: the second has its answer
			c.reject(previous, Replaced)
		}
		if c.coalescesRetries {
			c.Counters.Coalesced++
			c.emit(Command{Kind: Coalesce, ID: request.ID, LeaderID: leader.ID})
			c.heldBytes -= int64(request.Bytes)
			delete(c.requests, request.ID)
			c.recycle(request)
			return true
		}
		leader.follower, request.leader, request.state = request, leader, stateFollowing
		request.waitDeadline = request.Deadline
		if c.drainDeadline > 0 {
			request.waitDeadline = min(request.waitDeadline, c.drainDeadline)
		}
		c.waitingCount++
		c.deadlines.add(request)
	}
	return true
}

// registerRetryKey keeps a ticket to be found by its next try; one without a key has none that could be known.
func (c *Controller) registerRetryKey(request *trackedRequest) {
	if request.Key != 0 {
		c.byRetryKey[request.retryKey] = request
	}
}

// admitWaiting lets in as many as may be, the one whose turn it is first.
func (c *Controller) admitWaiting() {
	for c.inProgressCount < c.concurrency.value() {
		request := c.dequeueNext()
		if request == nil {
			return
		}
		c.admit(request)
	}
}

func (c *Controller) admit(request *trackedRequest) {
	request.state, request.admittedAt = stateInProgress, c.now
	c.inProgressCount, c.inProgressCost = c.inProgressCount+1, c.inProgressCost+request.cost
	c.Counters.Admitted++
	c.throughput.add(c.now, request.cost)
	c.concurrency.observe(c.now, c.inProgressCount, c.sentCount)
	c.emit(Command{Kind: Admit, ID: request.ID})
}

// reject turns a txn away that waits, and tells when to come back.
func (c *Controller) reject(request *trackedRequest, reason Reason) {
	c.stopWaiting(request)
	retryAfter := Micros(0)
	if reason == TooLate || reason == NoCapacity {
		retryAfter = c.reservations.reserve(c, request)
	}
	c.emit(Command{Kind: Reject, ID: request.ID, RetryAfter: retryAfter, Reason: reason})
	c.discard(request)
}

// stopWaiting takes a ticket out of where it waits.
func (c *Controller) stopWaiting(request *trackedRequest) {
	switch request.state {
	case stateWaiting:
		c.dequeue(request)
	case stateFollowing:
		request.leader.follower = nil
		request.leader = nil
		c.waitingCount--
		if request.deadlineTick >= 0 {
			c.deadlines.remove(request)
		}
	}
}

// discard ends a ticket that is nowhere any more.
func (c *Controller) discard(request *trackedRequest) {
	if request.Key != 0 && c.byRetryKey[request.retryKey] == request {
		delete(c.byRetryKey, request.retryKey)
	}
	c.release(request)
}

func (c *Controller) release(request *trackedRequest) {
	c.heldBytes -= int64(request.Bytes)
	delete(c.requests, request.ID)
	c.recycle(request)
}

func (c *Controller) recycle(request *trackedRequest) {
	*request = trackedRequest{next: c.freeRequests}
	c.freeRequests = request
}

func (c *Controller) emit(command Command) {
	if command.Kind == Reject {
		c.Counters.Rejected[command.Reason]++
	}
	c.commands = append(c.commands, command)
}

// mix spreads a number over 64 bits (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// throughputMeter measures the work let in.
type throughputMeter struct {
	updatedAt Micros
	rate      float64 // work a microsecond
}

// throughputWindow: long enough that single txns don't move it, short enough to follow a fleet that slows down.
const throughputWindow = 1 * second

func (m *throughputMeter) add(now Micros, cost float64) {
	m.rate = m.rateAt(now) + cost/float64(throughputWindow)
	m.updatedAt = now
}

func (m *throughputMeter) rateAt(now Micros) float64 {
	return m.rate * max(0, 1-float64(now-m.updatedAt)/float64(throughputWindow)) // between two txns as good as an exponential
}

// admissionRate is the work a microsecond that goes in while all is wanted: what was let in of late, or, where nothing has waited
// for long and so less was let in than could be, what is in over the time that it takes.
func (c *Controller) admissionRate() float64 {
	rate := c.throughput.rateAt(c.now)
	if c.backloggedSince < 0 || c.now-c.backloggedSince < throughputWindow {
		rate = max(rate, c.inProgressCost/max(c.meanDuration, 1))
	}
	return max(rate, 1e-9)
}
