// Package admission is the admission control of the router. It decides which request is handed to the dispatcher and when:
// it queues requests fairly among tenants and among each tenant's clients, learns how many may be in progress at a time,
// rejects those that cannot be served in time or that exceed the limits, and reserves capacity for the end of the
// Retry-After that a rejected client is sent.
//
// A Controller owns all state of the requests that wait, the requests in progress and the reservations. It does no I/O,
// reads no clock and starts no goroutine; the same calls always produce the same commands. One goroutine, the owner of the
// controller, makes all calls. Each call passes the current time in microseconds and returns the commands to carry out
// before the next call, in a slice that the next call reuses.
//
// The controller composes parts that know nothing of each other, each in a file of its own:
//
//	requestRecords    the records of all open requests
//	retryIndex        which arrival is a retry of which request
//	costEstimator     what a request costs, and how long it may wait
//	waitingRequests   what waits: fairQueues (in which order) and timingWheel (until when)
//	concurrencyLimit  how many requests may be in progress
//	rateEstimator     at what rate cost is admitted
//	reservationTable  when a rejected client should return
package admission

import "math/rand"

// Controller is the admission control of one process. Create it with New. Its methods that callers use are in this file and
// in status.go; what it decides by asking its parts is in admit.go and retries.go.
type Controller struct {
	limits           Limits
	coalescesRetries bool // a retry shares the answer of its earlier attempt in progress

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

	// Counters may be read between two calls.
	Counters Counters
}

// New creates a controller. Limits below one request or one queue are raised to one.
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

// Arrive takes in a new request.
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

// Finish reports that an admitted request has its answer, or that nobody waits for one; no attempt of it is in flight any
// more. For a request that is not in progress it is the same as Abandon.
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

// Abandon reports that the client of a waiting request has left. A request in progress ends with Finish instead.
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

// TimerFired does what is due. It is called at the time that NextTimer returned, or later.
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

// NextTimer returns when TimerFired has to be called; 0: not before the next event.
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

// Drain announces that the process shuts down at the given time. Requests that will not be admitted before are rejected at
// once, those that wait as well as those that arrive from now on.
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

// SetWeights changes the weights of the configured tenants, which keep their indices.
func (c *Controller) SetWeights(tenants []Tenant) { c.waiting.queues.setWeights(tenants) }

// beginCall starts a call: time never goes back, and the commands of the last call have been carried out.
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
