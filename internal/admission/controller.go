// Package admission is the admission control of the router. It decides which request is handed to the dispatcher and when:
// it queues requests fairly among tenants and among each tenant's clients, learns how many may be in progress at a time,
// rejects those that cannot be served in time or that exceed the limits, and reserves capacity for the end of the
// Retry-After that a rejected client is sent.
//
// A Controller owns all state of the requests that wait, the requests in progress and the reservations. It does no I/O,
// reads no clock and starts no goroutine; the same calls always produce the same commands. One goroutine, the owner of the
// controller, makes all calls. Each call passes the current time in microseconds and returns the commands to carry out
// before the next call, in a slice that the next call reuses.
package admission

import "math/rand"

// Controller is the admission control of one process. Create it with New.
type Controller struct {
	// Configuration.
	classes          []RequestClass
	classPriorities  []int // by class; 0 is served first
	priorityCount    int
	limits           Limits
	retryAfter       RetryAfterLimits
	coalescesRetries bool // a retry shares the answer of its earlier attempt in progress

	now      Micros
	random   *rand.Rand
	hashSeed uint64 // keeps clients from choosing their queues
	commands []Command

	requests     map[uint64]*trackedRequest // by ID
	byRetryKey   map[uint64]*trackedRequest
	freeRequests *trackedRequest // records to reuse, linked by next
	heldBytes    int64

	tenants         []*tenantState // the last one stands for all unknown tenants
	tenantScheduler fairScheduler[*tenantState]
	deadlines       timingWheel
	waitingCount    int
	backloggedSince Micros // start of the time for which requests have been waiting; -1: none waits
	drainDeadline   Micros // 0: not draining

	concurrency     concurrencyLimit
	inProgressCount int
	sentCount       int // requests in progress that the dispatcher has sent to an endpoint
	inProgressCost  float64

	meanCosts        []float64 // by class
	meanResponseTime float64   // from admission to the answer
	throughput       throughputMeter
	reservations     reservationTable

	// Counters may be read between two calls.
	Counters Counters
}

const (
	// unknownTenantsWeight is the weight of all unknown tenants together, where configured weights add up to about one.
	unknownTenantsWeight = 0.05
	// minTenantWeight keeps divisions by a weight finite.
	minTenantWeight = 1e-6
)

// New creates a controller. Limits below one count as one, and so do tenants' weights that are not positive as a very small one.
func New(config Config) *Controller {
	classes, tenants, limits := config.Classes, config.Tenants, config.Limits
	limits.Requests = max(1, limits.Requests)
	limits.Queues = max(1, limits.Queues)
	c := &Controller{
		classes:          classes,
		limits:           limits,
		retryAfter:       config.RetryAfter,
		coalescesRetries: config.CoalesceRetries,
		random:           rand.New(rand.NewSource(config.Seed)),
		requests:         map[uint64]*trackedRequest{},
		byRetryKey:       map[uint64]*trackedRequest{},
		backloggedSince:  -1,
		concurrency:      newConcurrencyLimit(float64(limits.Requests)),
		meanCosts:        make([]float64, len(classes)),
	}
	c.hashSeed = c.random.Uint64()
	c.classPriorities, c.priorityCount = priorityLevels(classes)
	for i, class := range classes {
		c.meanCosts[i] = float64(class.LatencyObjective) / initialCostDivisor
		c.meanResponseTime = max(c.meanResponseTime, c.meanCosts[i])
	}
	c.tenantScheduler = newFairScheduler[*tenantState](len(tenants) + 1)
	for _, tenant := range tenants {
		c.tenants = append(c.tenants, newTenantState(max(tenant.Weight, minTenantWeight), limits.Queues))
	}
	c.tenants = append(c.tenants, newTenantState(unknownTenantsWeight, limits.Queues))
	c.reservations = newReservationTable(limits.Requests, len(c.tenants), config.RetryAfter.Max)
	return c
}

// Arrive takes in a new request.
func (c *Controller) Arrive(now Micros, arrival Arrival) []Command {
	c.begin(now)
	c.Counters.Arrived++
	if arrival.CostHint > 0 {
		average(&c.meanCosts[arrival.Class], float64(arrival.CostHint))
	}
	if arrival.Tenant < 0 || arrival.Tenant >= len(c.tenants) {
		arrival.Tenant = len(c.tenants) - 1
	}
	request := c.track(arrival)
	if !c.joinEarlierAttempt(request) {
		c.registerRetryKey(request)
		hasReservation := c.reservations.claim(c, request)
		c.enqueue(request)
		if !hasReservation || !c.admitReserved(request) {
			c.admitOrWait(request)
		}
	}
	c.enforceLimits()
	return c.flush()
}

// admitReserved admits a queued request that arrived at its reserved time ahead of those that wait, where the headroom of the
// concurrency limit allows it; its tenant pays as for any other. It returns whether the request was admitted.
func (c *Controller) admitReserved(request *trackedRequest) bool {
	if c.inProgressCount >= c.concurrency.value()+c.concurrency.reservationHeadroom() {
		c.Counters.ReservationsMissed++
		return false
	}
	c.Counters.ReservationsHonored++
	c.dequeue(request)
	c.chargeFlows(request)
	c.admit(request)
	return true
}

// admitOrWait admits as many requests as the concurrency limit allows, and rejects the given one if it is not among them and
// would not be admitted in time.
func (c *Controller) admitOrWait(request *trackedRequest) {
	c.admitWaiting()
	if request.state != stateWaiting {
		return
	}
	admission := c.now + c.estimatedWait(request)
	if admission > request.waitDeadline || c.drainDeadline > 0 && admission > c.drainDeadline {
		c.reject(request, TooLate)
	}
}

// AttemptSent reports that the dispatcher has sent an admitted request to an endpoint.
func (c *Controller) AttemptSent(now Micros, id uint64) []Command {
	c.begin(now)
	if request := c.requests[id]; request != nil && request.state == stateInProgress && !request.isSent {
		request.isSent = true
		c.sentCount++
		c.concurrency.observe(now, c.inProgressCount, c.sentCount)
	}
	return c.flush()
}

// Finish reports that an admitted request has its answer, or that nobody waits for one; no attempt of it is in flight any
// more. For a request that is not in progress it is the same as Abandon.
func (c *Controller) Finish(now Micros, id uint64, result Result) []Command {
	c.begin(now)
	request := c.requests[id]
	if request == nil || request.state != stateInProgress {
		return c.Abandon(now, id)
	}
	c.Counters.Finished[result]++
	c.inProgressCount--
	c.inProgressCost -= request.cost
	if request.isSent {
		c.sentCount--
	}
	c.concurrency.observe(now, c.inProgressCount, c.sentCount)
	c.concurrency.recordFinished(now, result, request.isSent)
	if result == Succeeded {
		c.recordResponseTime(request, now-request.admittedAt)
	}
	c.enqueueFollower(request)
	c.discard(request)
	c.admitWaiting()
	return c.flush()
}

// Abandon reports that the client of a waiting request has left. A request in progress ends with Finish instead.
func (c *Controller) Abandon(now Micros, id uint64) []Command {
	c.begin(now)
	if request := c.requests[id]; request != nil && request.state != stateInProgress {
		c.stopWaiting(request)
		c.discard(request)
		c.admitWaiting()
	}
	return c.flush()
}

// TimerFired does what is due. It is called at the time that NextTimer returned, or later.
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

// NextTimer returns when TimerFired has to be called; 0: not before the next event.
func (c *Controller) NextTimer() Micros {
	earliest := Micros(0)
	consider := func(at Micros) {
		if at > 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	if c.deadlines.count > 0 {
		consider(c.now + tickInterval - c.now%tickInterval)
		consider(c.drainDeadline)
	}
	consider(c.reservations.nextDeadline())
	return earliest
}

// Drain announces that the process shuts down at the given time. Requests that will not be admitted before are rejected at
// once, those that wait as well as those that arrive from now on.
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

// SetWeights changes the weights of the configured tenants, which keep their indices.
func (c *Controller) SetWeights(tenants []Tenant) {
	for i, tenant := range tenants {
		if i < len(c.tenants)-1 {
			c.tenants[i].weight = max(tenant.Weight, minTenantWeight)
		}
	}
}

// begin starts a call: time never goes back, and the commands of the last call have been carried out.
func (c *Controller) begin(now Micros) {
	c.now = max(c.now, now)
	c.commands = c.commands[:0]
}

// flush ends a call and returns its commands.
func (c *Controller) flush() []Command {
	switch {
	case c.waitingCount == 0:
		c.backloggedSince = -1
	case c.backloggedSince < 0:
		c.backloggedSince = c.now
	}
	return c.commands
}

func (c *Controller) emit(command Command) {
	if command.Kind == Reject {
		c.Counters.Rejected[command.Reason]++
	}
	c.commands = append(c.commands, command)
}

// admitWaiting admits waiting requests in fair order up to the concurrency limit.
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
	request.state = stateInProgress
	request.admittedAt = c.now
	c.inProgressCount++
	c.inProgressCost += request.cost
	c.Counters.Admitted++
	c.throughput.add(c.now, request.cost)
	c.concurrency.observe(c.now, c.inProgressCount, c.sentCount)
	c.emit(Command{Kind: Admit, ID: request.ID})
}

// reject turns a waiting request away, with a time to come back after where a later attempt may do better.
func (c *Controller) reject(request *trackedRequest, reason Reason) {
	c.stopWaiting(request)
	retryAfter := Micros(0)
	if reason == TooLate || reason == NoCapacity {
		retryAfter = c.reservations.reserve(c, request)
	}
	c.emit(Command{Kind: Reject, ID: request.ID, RetryAfter: retryAfter, Reason: reason})
	c.discard(request)
}

// stopWaiting takes a request out of its queue, or detaches it from the request that it follows.
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

// enforceLimits rejects waiting requests until the limits hold. Requests in progress are never evicted.
func (c *Controller) enforceLimits() {
	for c.waitingCount+c.inProgressCount > c.limits.Requests || c.heldBytes > c.limits.Bytes {
		candidate := c.evictionCandidate()
		if candidate == nil {
			// No queue holds a request: only retries that follow a request in progress are left.
			c.deadlines.forEach(func(request *trackedRequest) { candidate = request })
		}
		if candidate == nil {
			return
		}
		c.reject(candidate, NoCapacity)
	}
}
