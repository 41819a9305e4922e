package policy

// attemptRules decides whether an attempt is allowed at all, by the protocol's rules:
//
//  1. A request gets one final answer before its deadline; no attempt starts after it.
//  2. No request takes effect twice: one attempt at a time, and what may have run is repeated only where that does no harm.
//  3. Nothing new goes to an endpoint that drains or has left.
//  4. All agents together do not overload an endpoint in slow start.
//  5. The exposure of a build in evaluation stays within its cap.
//
// Every attempt passes mayAttempt before it is sent; the endpoint selector asks the single rules for each candidate.
type attemptRules struct {
	*sharedState
	requests    requestTable
	classes     []RequestClass
	exposure    *exposureGuard
	slowStart   *slowStartRule
	maxAttempts int // for one request
}

func (r *attemptRules) mayAttempt(req *request, e *endpointRecord) bool {
	return r.mayStartAttempt(req) && r.mayUseBuild(req, e.Build) && r.mayUseEndpoint(req, e)
}

// mayStartAttempt is rule 1, no attempt after the deadline, and rule 2, never two attempts at once.
func (r *attemptRules) mayStartAttempt(req *request) bool {
	if !r.requests.isOpen(req) || r.now >= req.Deadline {
		return false
	}
	return req.attemptAt == nil && !r.hasUsedAttempts(req)
}

// hasUsedAttempts reports whether a request has had as many attempts as it may.
func (r *attemptRules) hasUsedAttempts(req *request) bool { return req.attempts >= r.maxAttempts }

// mayUseBuild is rule 5, which exposureGuard holds.
func (r *attemptRules) mayUseBuild(req *request, build int) bool {
	return r.exposure.mayUse(req, build)
}

// mayUseEndpoint is rules 2 to 4; rule 3 is that a state in the list binds at once, well inside the grace.
func (r *attemptRules) mayUseEndpoint(req *request, e *endpointRecord) bool {
	return r.isRepeatSafe(req, e) && e.isReady() && r.slowStart.fits(req, e)
}

// isRepeatSafe is rule 2: a request that may have run goes only where a repeat does no harm.
func (r *attemptRules) isRepeatSafe(req *request, e *endpointRecord) bool {
	if req.mayHaveRunAt == nil {
		return true
	}
	return r.isRepeatable(req, r.sharesDedup(req, e))
}

// sharesDedup reports whether an endpoint drops repeats of what ran where the request may have run.
func (r *attemptRules) sharesDedup(req *request, e *endpointRecord) bool {
	ranAt := req.mayHaveRunAt
	switch r.classes[req.Class].DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return e.Zone == ranAt.Zone
	case DedupCell:
		return e.Cell == ranAt.Cell
	}
	return false
}

// isRepeatable reports whether a request may run again. A keyed request that may have run also needs an endpoint that drops
// repeats and still remembers the first.
func (r *attemptRules) isRepeatable(req *request, isDeduplicated bool) bool {
	if req.mayHaveRunAt == nil {
		return true
	}
	switch r.classes[req.Class].Idempotency {
	case Idempotent:
		return true
	case Keyed:
		return isDeduplicated && r.now < req.dedupUntil
	case NonIdempotent:
	}
	return false
}

// mayHaveRun reports after which outcomes a request may have run, or may still run.
func mayHaveRun(outcome Outcome) bool {
	switch outcome {
	case ServerError, TimedOut, ConnectionLost, Cancelled, Malformed:
		return true
	case OK, Rejected, ConnectFailed, NotAttempted:
	}
	return false
}

// dedupUntil is when a keyed request that was sent at the given time is no longer deduplicated; 0 for others.
func (c *RequestClass) dedupUntil(sentAt Micros) Micros {
	if c.Idempotency != Keyed {
		return 0
	}
	return sentAt + c.DedupWindow
}
