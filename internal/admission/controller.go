// Package admission is the admission control of the router. It decides which request is handed to the dispatcher and when: it
// queues requests fairly among tenants and among each tenant's clients, learns how many may be in progress at a time, and
// rejects those that cannot be served in time or that exceed the limits. A rejected client may be sent a Retry-After time. If
// possible, capacity is reserved for the client's return at that time.
//
// A Controller owns all state of waiting requests, requests in progress and reservations. It does no I/O, reads no clock and
// starts no goroutine; the same calls always produce the same commands. One goroutine, the owner of the controller, makes all
// calls. Each call passes the current time in microseconds and returns the commands to carry out before the next call, in a
// slice that the next call reuses.
//
// The controller is composed of components that do not depend on each other, each in a separate file:
//
//	requestRecords    holds the records of all open requests
//	retryIndex        finds the earlier attempt of a retry
//	costEstimator     estimates the cost of a request, and how long the request may wait
//	waitingRequests   holds the waiting requests: fairQueues orders them, timingWheel expires them
//	concurrencyLimit  decides how many requests may be in progress
//	rateEstimator     estimates the rate at which cost is admitted
//	reservationTable  decides when a rejected client should return
package admission

import "math/rand"

// Controller is the admission control of one process. Create it with New. The methods that callers use are in this file and
// in status.go. The decisions behind them are in admit.go and retries.go.
type Controller struct {
	limits           Limits
	coalescesRetries bool // see Config.CoalesceRetries

	now      Micros
	drain    drain
	commands []Command

	requests     requestRecords
	retries      retryIndex
	costs        costEstimator
	waiting      waitingRequests
	concurrency  concurrencyLimit
	rates        rateEstimator
	reservations reservationTable

	// Counters may be read by the controller's owner between two calls.
	Counters Counters
}

// New creates a controller. A limit of less than one request or one queue is raised to one.
func New(config Config) *Controller {
	config.Limits.Requests = max(1, config.Limits.Requests)
	config.Limits.Queues = max(1, config.Limits.Queues)
	random := rand.New(rand.NewSource(config.Seed))
	hashSeed := random.Uint64()
	tenantCount := len(config.Tenants) + 1
	return &Controller{
		limits:           config.Limits,
		coalescesRetries: config.CoalesceRetries,
		requests:         newRequestRecords(),
		retries:          newRetryIndex(config.Classes, hashSeed),
		costs:            newCostEstimator(config.Classes),
		waiting:          waitingRequests{queues: newFairQueues(config, hashSeed)},
		concurrency:      newConcurrencyLimit(float64(config.Limits.Requests)),
		rates:            newRateEstimator(),
		reservations:     newReservationTable(config.Limits.Requests, tenantCount, config.RetryAfter.Max, random),
	}
}

// Arrive reports that a new request has arrived.
func (c *Controller) Arrive(now Micros, arrival Arrival) []Command {
	c.beginCall(now)
	c.Counters.Arrived++
	c.costs.recordArrival(&arrival)
	request := c.track(arrival)
	if !c.joinEarlierAttempt(request) {
		c.retries.register(request)
		returnsOnTime := c.claimReservation(request)
		c.waiting.enqueue(request)
		if !returnsOnTime || !c.admitReserved(request) {
			c.admitOrWait(request)
		}
	}
	c.enforceLimits()
	return c.endCall()
}

// AttemptSent reports that the dispatcher has sent an admitted request to an endpoint.
func (c *Controller) AttemptSent(now Micros, id uint64) []Command {
	c.beginCall(now)
	request := c.requests.get(id)
	if request != nil && request.state == stateInProgress && !request.isSent {
		request.isSent = true
		c.concurrency.recordSent(now)
	}
	return c.endCall()
}

// Finish reports that an admitted request has been answered, or that no client waits for its answer any longer. None of the
// request's attempts may still be in flight. For a request that is not in progress, Finish is the same as Abandon.
func (c *Controller) Finish(now Micros, id uint64, result Result) []Command {
	c.beginCall(now)
	request := c.requests.get(id)
	if request == nil || request.state != stateInProgress {
		return c.Abandon(now, id)
	}
	c.Counters.Finished[result]++
	c.rates.recordFinished(request.cost)
	c.concurrency.recordFinished(now, result, request.isSent)
	if result == Succeeded {
		c.costs.recordResponseTime(&request.Arrival, now-request.admittedAt)
	}
	c.enqueueFollower(request)
	c.discard(request)
	c.admitWaiting()
	return c.endCall()
}

// Abandon reports that the client of a waiting request no longer waits for the answer. For a request in progress, call Finish
// instead.
func (c *Controller) Abandon(now Micros, id uint64) []Command {
	c.beginCall(now)
	request := c.requests.get(id)
	if request != nil && request.state != stateInProgress {
		c.waiting.remove(request)
		c.discard(request)
		c.admitWaiting()
	}
	return c.endCall()
}

// TimerFired rejects the requests that have waited too long, ends expired reservations, adjusts the concurrency limit and
// admits waiting requests. It has to be called at the time that NextTimer returned, or later.
func (c *Controller) TimerFired(now Micros) []Command {
	c.beginCall(now)
	c.waiting.deadlines.expire(now, func(request *trackedRequest) { c.reject(request, TooLate) })
	if c.drain.isOver(now) {
		c.waiting.deadlines.forEach(func(request *trackedRequest) { c.reject(request, Draining) })
	}
	c.Counters.ReservationsUnclaimed += uint64(c.reservations.expire(c.now))
	c.concurrency.tick(now, c.waiting.count > 0)
	c.admitWaiting()
	return c.endCall()
}

// NextTimer returns the time at which TimerFired has to be called. 0 means that TimerFired is not needed until another method
// has been called.
func (c *Controller) NextTimer() Micros {
	earliest := Micros(0)
	consider := func(at Micros) {
		if at > 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	if c.waiting.count > 0 {
		consider(c.waiting.deadlines.nextTick(c.now))
		consider(c.drain.deadline)
	}
	consider(c.reservations.nextDeadline())
	return earliest
}

// Drain announces that the process shuts down at the time until. Queued requests that are not expected to be admitted by then
// are rejected at once. The same holds for requests that arrive later.
func (c *Controller) Drain(now, until Micros) []Command {
	c.beginCall(now)
	c.drain.announce(until)
	var unservable []*trackedRequest
	c.waiting.deadlines.forEach(func(request *trackedRequest) {
		if request.state == stateWaiting && c.drain.endsBefore(now+c.estimatedWait(request)) {
			unservable = append(unservable, request)
		}
	})
	for _, request := range unservable {
		c.reject(request, TooLate)
	}
	return c.endCall()
}

// SetWeights changes the weights of the configured tenants. The index of a tenant is the same as in Config.Tenants.
func (c *Controller) SetWeights(tenants []Tenant) { c.waiting.queues.setWeights(tenants) }

// beginCall starts a call. The controller's time never goes back, even if now does. The commands of the previous call have
// been carried out, so their slice is reused.
func (c *Controller) beginCall(now Micros) {
	c.now = max(c.now, now)
	c.commands = c.commands[:0]
}

// endCall ends a call and returns its commands.
func (c *Controller) endCall() []Command {
	c.rates.recordBacklog(c.now, c.waiting.count > 0)
	return c.commands
}

func (c *Controller) emit(command Command) {
	if command.Kind == Reject {
		c.Counters.Rejected[command.Reason]++
	}
	c.commands = append(c.commands, command)
}
