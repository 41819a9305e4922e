package policy

const (
	// lowFleetReturnRate of rejected clients: below it, ending late attempts frees more capacity than the retries cost.
	lowFleetReturnRate = 0.3
	// pendingShare of its latency objective is how long a request may stay pending.
	pendingShare = 0.5
	// overloadDuration after a request was given up the agent counts as overloaded.
	overloadDuration = 1 * second
	// maxServerErrors at different endpoints are the request's own fault: one may be the build's or the endpoint's.
	maxServerErrors = 3
	// maxServerErrorsOfFailingTenant: each retry uses up exposure that other tenants could have.
	maxServerErrorsOfFailingTenant = 1
)

// retryPolicy decides when an attempt times out, when a request gets no other attempt, and what its final answer is: from its
// deadline, its latency objective, its attempts so far and the agent's overload. The dispatcher asks it for each request that it
// routes.
type retryPolicy struct {
	*sharedState
	endpoints    *endpointSet
	rules        *attemptRules
	clients      *rejectedClients
	tenants      *tenantErrorRates
	classes      []RequestClass
	limits       RetryLimits
	agents       int
	overloadedAt Micros // when a request was last given up as no endpoint could take it in time
}

// attemptTimeout is how long an attempt may take: 0, that is until the deadline, or until the latency objective where rejected
// clients do not return.
func (p *retryPolicy) attemptTimeout(req *request) Micros {
	left := req.acceptedAt + p.classes[req.Class].LatencyObjective - p.now
	if p.clients.returnRate >= p.lowReturnRate() || left <= 0 {
		return 0
	}
	return min(left, req.Deadline-p.now)
}

// lowReturnRate is the rate below which few clients return, as one agent sees it: clients that are spread over a zone's agents come
// back to any of them.
func (p *retryPolicy) lowReturnRate() float64 {
	return lowFleetReturnRate * min(1, float64(p.endpoints.zoneCount)/float64(p.agents))
}

// isTooLate reports whether any attempt would be load for no value: a late retry, or a late attempt under overload.
func (p *retryPolicy) isTooLate(req *request) bool {
	if p.now < req.acceptedAt+p.classes[req.Class].LatencyObjective {
		return false
	}
	return req.attempts > 0 || p.now-p.overloadedAt < overloadDuration
}

// recordOverload notes that a request is given up as no endpoint could take it.
func (p *retryPolicy) recordOverload() { p.overloadedAt = p.now }

// mustGiveUp reports whether a request that no endpoint may take now is not kept pending: no endpoint will in time.
func (p *retryPolicy) mustGiveUp(req *request) bool {
	if p.rules.hasUsedAttempts(req) || p.hasTooManyErrors(req) || !p.rules.isRepeatable(req, true) {
		return true
	}
	return p.now >= p.pendingUntil(req)
}

// pendingUntil is how long a request is kept pending, at the most until just before its deadline.
func (p *retryPolicy) pendingUntil(req *request) Micros {
	pendingTime := Micros(pendingShare * float64(p.classes[req.Class].LatencyObjective))
	return min(req.Deadline-2*busyTickInterval, req.acceptedAt+pendingTime)
}

func (p *retryPolicy) hasTooManyErrors(req *request) bool {
	limit := maxServerErrors
	if p.tenants.isFailing(req.Tenant) {
		limit = maxServerErrorsOfFailingTenant
	}
	return req.serverErrors >= limit
}

// finalAnswer of a request that did not succeed is a rejection where a retry does no harm, with the longest wait, as the
// overload would not be gone any sooner.
func (p *retryPolicy) finalAnswer(req *request) Command {
	isDeduplicated := p.classes[req.Class].DedupScope == DedupAll
	if p.rules.isRepeatable(req, isDeduplicated) {
		return Reject{RequestID: req.ID, RetryAfter: p.limits.MaxRetryAfter}
	}
	return Fail{RequestID: req.ID}
}
