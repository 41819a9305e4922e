package policy

import "switchfork/internal/stats"

const (
	// returnRateWeight: the last ten rejected clients. returnGrace is added to the longest wait they follow.
	// lowReturnRate: below it, ending late attempts frees more than the retries cost. Clients that are spread
	// over a zone's agents come back to any of them, so that one agent sees only its share.
	returnRateWeight, returnGrace, initialReturnRate, lowReturnRate = 0.1, 500 * millisecond, 0.5, 0.3
	// A request is held for holdShare of its latency objective; giving one up means overload for overloadTime.
	holdShare, overloadTime = 0.5, 1 * second
	// tenantErrorWeight: a tenant's last twenty results. tenantErrorExcess: a bad build or endpoint fails less.
	tenantErrorWeight, tenantErrorExcess, maxTenants = 0.05, 0.2, 1000
	// pollRetryDelay doubles with each failure in a row up to eight times, with jitter: no flood of calls.
	pollRetryDelay, maxPollDoublings = 400 * millisecond, 3
)

// mayAttempt holds the five rules; every attempt passes it.
func (d *dispatcher) mayAttempt(req *request, e *endpointRecord) bool {
	return d.mayStartAttempt(req) && d.mayUseBuild(req, e.Build) && d.mayUseEndpoint(req, e)
}

// mayStartAttempt is rule 1, no attempt after the deadline, and rule 2, never two attempts at once.
func (d *dispatcher) mayStartAttempt(req *request) bool {
	isOpen := !req.isClosed && d.requests[req.ID] == req && d.now < req.Deadline
	return isOpen && req.attemptAt == nil && req.attempts < d.retryLimits.MaxAttempts
}

// mayUseEndpoint is rules 2 to 4; rule 3 is that a state in the list binds at once, well inside the grace.
func (d *dispatcher) mayUseEndpoint(req *request, e *endpointRecord) bool {
	return d.isRepeatSafe(req, e) && e.isReady() && d.fitsSlowStart(req, e)
}

// isRepeatSafe is rule 2: a request that may have run goes only where a repeat does no harm.
func (d *dispatcher) isRepeatSafe(req *request, e *endpointRecord) bool {
	class, ran := &d.classes[req.Class], req.mayHaveRunAt
	isDeduplicated := class.DedupScope == DedupAll || ran != nil &&
		(class.DedupScope == DedupZone && e.Zone == ran.Zone || class.DedupScope == DedupCell && e.Cell == ran.Cell)
	return d.isRepeatable(req, isDeduplicated)
}

// isRepeatable: a keyed request also needs an endpoint that drops repeats and still remembers the first.
func (d *dispatcher) isRepeatable(req *request, isDeduplicated bool) bool {
	idempotency := d.classes[req.Class].Idempotency
	return req.mayHaveRunAt == nil || idempotency == Idempotent ||
		idempotency == Keyed && isDeduplicated && d.now < req.dedupUntil
}

// attemptTimeout is none before the deadline, or the latency objective where rejected clients do not return.
func (d *dispatcher) attemptTimeout(req *request) Micros {
	low := lowReturnRate * min(1, float64(d.endpoints.zoneCount)/float64(d.instance.Agents))
	left := req.acceptedAt + d.classes[req.Class].LatencyObjective - d.now
	if d.clients.returnRate < low && left > 0 {
		return min(left, req.Deadline-d.now)
	}
	return 0
}

// isTooLate: a late retry, or any late attempt under overload, is more load for no value.
func (d *dispatcher) isTooLate(req *request) bool {
	isLate := d.now >= req.acceptedAt+d.classes[req.Class].LatencyObjective
	return isLate && (req.attempts > 0 || d.now-d.overloadedAt < overloadTime)
}

// mustGiveUp: no endpoint may take the request now and none will in time.
func (d *dispatcher) mustGiveUp(req *request) bool {
	holdTime := Micros(holdShare * float64(d.classes[req.Class].LatencyObjective))
	last := min(req.Deadline-2*busyTickInterval, req.acceptedAt+holdTime)
	return req.attempts >= d.retryLimits.MaxAttempts || d.now >= last ||
		req.serverErrors >= d.maxServerErrors(req) || !d.isRepeatable(req, true)
}

// finalAnswer of a request that did not succeed is a rejection where a retry does no harm, with the longest
// wait, as the overload would not be gone any sooner.
func (d *dispatcher) finalAnswer(req *request) Command {
	if d.isRepeatable(req, d.classes[req.Class].DedupScope == DedupAll) {
		return Reject{RequestID: req.ID, RetryAfter: d.retryLimits.MaxRetryAfter}
	}
	return Fail{RequestID: req.ID}
}

// mayHaveRun tells after which outcomes a request may have run, or may still run.
func mayHaveRun(outcome Outcome) bool {
	return outcome == ServerError || outcome == TimedOut || outcome == ConnectionLost ||
		outcome == Cancelled || outcome == Malformed
}

// isClientError guards healthy endpoints against tenants whose requests fail wherever they go: such errors
// would eject all endpoints. It may spare an endpoint that fails everything, while few tenants are well.
func (d *dispatcher) isClientError(req *request, outcome Outcome, onCanary bool) bool {
	d.tenantErrors.clearAbove(maxTenants)
	isClientError := outcome == ServerError && d.hasFailingTenant(req)
	if !onCanary && (outcome == OK || outcome == ServerError) { // a bad build's errors are its own
		d.tenantErrors.record(req.Tenant, outcome == ServerError, tenantErrorWeight)
	}
	return isClientError
}

func (d *dispatcher) hasFailingTenant(req *request) bool {
	return d.tenantErrors.rates[req.Tenant]-d.tenantErrors.lowest() > tenantErrorExcess
}

// maxServerErrors: an error may be the build's or the endpoint's, three at different endpoints are the
// request's own. A failing tenant gets one, as each retry leaves less of the exposure cap to others.
func (d *dispatcher) maxServerErrors(req *request) int {
	return 3 - 2*stats.Count(d.hasFailingTenant(req))
}
