package policy

const (
	// lowFleetReturnRate is a share of the rejected clients of all agents. If fewer of these clients return, ending late attempts
	// frees more capacity than the retries cost.
	lowFleetReturnRate = 0.3
	// pendingShare is the share of its latency objective for which a request may stay pending.
	pendingShare = 0.5
	// overloadDuration is how long the agent counts as overloaded after it gave up a request that no endpoint could take.
	overloadDuration = 1 * second
	// maxServerErrors is the number of server errors after which a request is not retried. A single one may be the fault of the
	// build or the endpoint; this many, at different endpoints, are the fault of the request.
	maxServerErrors = 3
	// maxServerErrorsOfFailingTenant replaces maxServerErrors for tenants with a high error rate, because each of their retries
	// uses up exposure that other tenants could use.
	maxServerErrorsOfFailingTenant = 1
)

// retryPolicy decides when an attempt times out, when a request gets no further attempt, and what its final answer is. It goes
// by the request's deadline, latency objective and attempts so far, and by the overload of the agent. The dispatcher consults it
// for each request that it routes.
type retryPolicy struct {
	*sharedState
	endpoints    *endpointSet
	rules        *attemptRules
	clients      *rejectedClients
	tenants      *tenantErrorRates
	classes      []RequestClass
	limits       RetryLimits
	agents       int
	overloadedAt Micros // when a request was last given up because no endpoint could take it in time
}

// attemptTimeout returns how long an attempt may take. If few rejected clients return, that is until the latency objective.
// Otherwise, or if the latency objective has passed, it is 0, which means until the deadline.
func (p *retryPolicy) attemptTimeout(req *request) Micros {
	left := req.acceptedAt + p.classes[req.Class].LatencyObjective - p.now
	if p.clients.returnRate >= p.lowReturnRate() || left <= 0 {
		return 0
	}
	return min(left, req.Deadline-p.now)
}

// lowReturnRate returns the bound below which this agent's return rate of rejected clients is low. It is lower than
// lowFleetReturnRate if there are more agents than zones, because a rejected client may come back to any agent of a zone.
func (p *retryPolicy) lowReturnRate() float64 {
	return lowFleetReturnRate * min(1, float64(p.endpoints.zoneCount)/float64(p.agents))
}

// isTooLate reports whether an attempt would cause load without benefit: the latency objective has passed, and either the request
// has been attempted before or the agent is overloaded.
func (p *retryPolicy) isTooLate(req *request) bool {
	if p.now < req.acceptedAt+p.classes[req.Class].LatencyObjective {
		return false
	}
	return req.attempts > 0 || p.now-p.overloadedAt < overloadDuration
}

// recordOverload records that a request is given up because no endpoint could take it.
func (p *retryPolicy) recordOverload() { p.overloadedAt = p.now }

// mustGiveUp reports whether a request that no endpoint may take at present is given up instead of kept pending, because no
// endpoint will be able to take it in time.
func (p *retryPolicy) mustGiveUp(req *request) bool {
	if p.rules.hasUsedAllAttempts(req) || p.hasTooManyErrors(req) || !p.rules.isRepeatable(req, true) {
		return true
	}
	return p.now >= p.pendingUntil(req)
}

// pendingUntil returns the time until which a request is kept pending, at the latest just before its deadline.
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

// finalAnswer returns the final answer to a request that did not succeed: a rejection if a retry is safe, or else a failure.
// A rejection asks for the longest wait, because an overload does not pass any sooner.
func (p *retryPolicy) finalAnswer(req *request) Command {
	isDeduplicated := p.classes[req.Class].DedupScope == DedupAll
	if p.rules.isRepeatable(req, isDeduplicated) {
		return Reject{RequestID: req.ID, RetryAfter: p.limits.MaxRetryAfter}
	}
	return Fail{RequestID: req.ID}
}
