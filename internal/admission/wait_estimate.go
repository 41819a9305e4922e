package admission

// estimatedWait returns how long a queued request will wait: the time that the cost ahead of it takes at its tenant's rate,
// less what is reserved for others. Ahead of it are the requests of its own queue that are served first, and a like
// amount in each other queue of its tenant, as they take turns.
func (c *Controller) estimatedWait(request *trackedRequest) Micros {
	tenant, queue := request.tenant, request.queue
	throughRequest := queue.cost
	if !queue.isLast(request) {
		throughRequest = queue.costThrough(request)
	}
	// The queue's start tag is that far ahead of the virtual time, and the other queues that hold requests advance alike.
	aheadInQueue := max(0, queue.flow.startTag-tenant.queueScheduler.virtualTime+throughRequest-request.cost)
	ahead := min(tenant.waitingCost-request.cost, aheadInQueue*float64(len(tenant.queueScheduler.active)))
	return c.reservations.timeToServe(c, request.Tenant, ahead)
}

// isLast returns whether a request is known, without a search, to be the last one that the queue serves.
func (q *clientQueue) isLast(request *trackedRequest) bool {
	return q.priorities[request.priority].tail == request && request.priority+1 == len(q.priorities)
}

// costThrough returns the cost of the requests that the queue serves before a request, and of the request itself.
func (q *clientQueue) costThrough(request *trackedRequest) (cost float64) {
	for i := range request.priority {
		for other := q.priorities[i].head; other != nil; other = other.next {
			cost += other.cost
		}
	}
	for other := request; other != nil; other = other.previous {
		cost += other.cost
	}
	return cost
}

// tenantRate returns the cost a microsecond that a tenant gets while all tenants that have requests waiting get their share.
func (c *Controller) tenantRate(tenant *tenantState) float64 {
	totalWeight := 0.0
	for _, entry := range c.tenantScheduler.active {
		totalWeight += entry.flow.owner.weight
	}
	if tenant.flow.heapIndex < 0 {
		totalWeight += tenant.weight
	}
	return c.admissionRate() * tenant.weight / totalWeight
}
