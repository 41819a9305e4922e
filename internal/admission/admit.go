package admission

// track creates the record of an arriving request.
func (c *Controller) track(arrival Arrival) *trackedRequest {
	unknownTenant := c.waiting.queues.unknownTenant()
	if arrival.Tenant < 0 || arrival.Tenant > unknownTenant {
		arrival.Tenant = unknownTenant
	}
	request := c.requests.add(arrival)
	request.retryKey = c.retries.keyOf(&arrival)
	request.cost = c.costs.estimate(&arrival)
	request.firstArrival = c.now
	request.waitDeadline = min(request.firstArrival+c.costs.maxWait(arrival.Class), arrival.Deadline)
	if c.drain.isAnnounced() {
		request.waitDeadline = min(request.waitDeadline, max(c.drain.deadline, c.now))
	}
	return request
}

// discard removes the record and the retry key of a request that has ended. The request must no longer be waiting.
func (c *Controller) discard(request *trackedRequest) {
	c.retries.unregister(request)
	c.requests.release(request)
}

// claimReservation ends the reservation of an arriving request, if there is one, and reports whether the client has returned on
// time.
func (c *Controller) claimReservation(request *trackedRequest) bool {
	switch c.reservations.claim(c.now, request.retryKey) {
	case claimedOnTime:
		return true
	case claimedEarly:
		c.Counters.EarlyRetries++
	case claimedLate:
		c.Counters.ReservationsUnclaimed++
	case notReserved:
	}
	return false
}

// admitReserved admits a queued request that arrived at its reserved time, ahead of all other waiting requests. It does so only
// if the concurrency limit with its headroom has capacity for the request. The request's tenant is charged as usual.
// admitReserved reports whether the request was admitted.
func (c *Controller) admitReserved(request *trackedRequest) bool {
	if !c.concurrency.hasReservedCapacity() {
		c.Counters.ReservationsMissed++
		return false
	}
	c.Counters.ReservationsHonored++
	c.waiting.dequeueOutOfOrder(request)
	c.admit(request)
	return true
}

// admitOrWait admits as many waiting requests as the concurrency limit allows. If request is still waiting after that and is
// not expected to be admitted in time, admitOrWait rejects request.
func (c *Controller) admitOrWait(request *trackedRequest) {
	c.admitWaiting()
	if request.state != stateWaiting {
		return
	}
	admission := c.now + c.estimatedWait(request)
	if admission > request.waitDeadline || c.drain.endsBefore(admission) {
		c.reject(request, TooLate)
	}
}

// admitWaiting admits waiting requests in fair order up to the concurrency limit.
func (c *Controller) admitWaiting() {
	for c.concurrency.hasCapacity() {
		request := c.waiting.dequeue()
		if request == nil {
			return
		}
		c.admit(request)
	}
}

// admit hands a request that has been taken out of its queue to the dispatcher.
func (c *Controller) admit(request *trackedRequest) {
	request.state = stateInProgress
	request.admittedAt = c.now
	c.Counters.Admitted++
	c.rates.recordAdmission(c.now, request.cost)
	c.concurrency.recordAdmission(c.now)
	c.emit(Command{Kind: Admit, ID: request.ID})
}

// reject rejects a waiting request. The client is sent a Retry-After time if a later attempt may succeed.
func (c *Controller) reject(request *trackedRequest, reason Reason) {
	c.waiting.remove(request)
	retryAfter := Micros(0)
	if reason == TooLate || reason == NoCapacity {
		retryAfter = c.retryAfter(request)
	}
	c.emit(Command{Kind: Reject, ID: request.ID, RetryAfter: retryAfter, Reason: reason})
	c.discard(request)
}

// retryAfter returns the Retry-After time for a rejected request, and reserves capacity for the client's return if possible. A
// draining process reserves nothing, since the process will have ended when the client returns.
func (c *Controller) retryAfter(request *trackedRequest) Micros {
	if c.drain.isAnnounced() {
		return c.reservations.unreservedRetryAfter()
	}
	waitingCost := c.waiting.queues.tenants[request.Tenant].waitingCost
	retryAfter, isReserved := c.reservations.reserve(c.now, request, c.tenantRate(request.Tenant), waitingCost)
	if isReserved {
		c.Counters.Reserved++
	}
	return retryAfter
}

// enforceLimits rejects waiting requests until no limit is exceeded or no request waits. Requests in progress are never
// evicted.
func (c *Controller) enforceLimits() {
	for c.exceedsLimits() {
		candidate := c.waiting.evictionCandidate()
		if candidate == nil {
			return
		}
		c.reject(candidate, NoCapacity)
	}
}

func (c *Controller) exceedsLimits() bool {
	openCount := c.waiting.count + c.concurrency.inProgress
	return openCount > c.limits.Requests || c.requests.bodyBytes > c.limits.Bytes
}

// estimatedWait returns how long a queued request is expected to wait. This is the time in which the tenant's requests
// ahead of it are served, at the part of the tenant's rate that is not reserved for returning clients.
func (c *Controller) estimatedWait(request *trackedRequest) Micros {
	costAhead := c.waiting.queues.costAhead(request)
	return c.reservations.timeToServe(c.now, request.Tenant, costAhead, c.tenantRate(request.Tenant))
}

// tenantRate returns the rate at which a tenant's requests can be admitted, in cost per microsecond, if every tenant with
// waiting requests gets its share of the capacity.
func (c *Controller) tenantRate(tenant int) float64 {
	return c.waiting.queues.shareOfRate(tenant, c.rates.rate(c.now, c.costs.meanResponseTime))
}
