package policy

// attemptRules decides whether an attempt is allowed at all, by the protocol's rules:
//
//  1. A request gets one final answer before its deadline; no attempt starts after the deadline.
//  2. No request takes effect twice: it has one attempt at a time, and once it may have run it is repeated only if it is
//     idempotent or the endpoint drops the repeat.
//  3. No new attempt goes to an endpoint that is draining or has left.
//  4. All agents together do not overload an endpoint in slow start.
//  5. The exposure of a build in evaluation stays within its cap.
//
// Every attempt passes mayAttempt before it is sent. The endpoint selector checks the individual rules for each candidate.
type attemptRules struct {
	*sharedState
	requests    requestTable
	classes     []RequestClass
	exposure    *exposureGuard
	slowStart   *slowStartRule
	maxAttempts int // per request
}

func (r *attemptRules) mayAttempt(req *request, e *endpointRecord) bool {
	return r.mayStartAttempt(req) && r.mayUseBuild(req, e.Build) && r.mayUseEndpoint(req, e)
}

// mayStartAttempt applies rule 1 (no attempt after the deadline), the part of rule 2 that forbids two attempts at once, and the
// limit on attempts.
func (r *attemptRules) mayStartAttempt(req *request) bool {
	if !r.requests.isOpen(req) || r.now >= req.Deadline {
		return false
	}
	return req.attemptEndpoint == nil && !r.hasUsedAllAttempts(req)
}

// hasUsedAllAttempts reports whether a request has had as many attempts as are allowed.
func (r *attemptRules) hasUsedAllAttempts(req *request) bool { return req.attempts >= r.maxAttempts }

// mayUseBuild applies rule 5, which exposureGuard implements.
func (r *attemptRules) mayUseBuild(req *request, build int) bool {
	return r.exposure.mayUse(req, build)
}

// mayUseEndpoint applies rules 2 to 4. For rule 3, an endpoint's state in the list takes effect at once, well within the drain
// grace period.
func (r *attemptRules) mayUseEndpoint(req *request, e *endpointRecord) bool {
	return r.isRepeatSafe(req, e) && e.isReady() && r.slowStart.fits(req, e)
}

// isRepeatSafe applies rule 2: a request that may have run goes only to an endpoint where a repeat is safe.
func (r *attemptRules) isRepeatSafe(req *request, e *endpointRecord) bool {
	if req.mayHaveRunOn == nil {
		return true
	}
	return r.isRepeatable(req, r.sharesDedup(req, e))
}

// sharesDedup reports whether endpoint e drops repeats of requests that ran at the endpoint where req may have run.
func (r *attemptRules) sharesDedup(req *request, e *endpointRecord) bool {
	ranOn := req.mayHaveRunOn
	switch r.classes[req.Class].DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return e.Zone == ranOn.Zone
	case DedupCell:
		return e.Cell == ranOn.Cell
	}
	return false
}

// isRepeatable reports whether a request may run again. A keyed request that may have run also needs an endpoint that drops
// repeats and still remembers the first run.
func (r *attemptRules) isRepeatable(req *request, isDeduplicated bool) bool {
	if req.mayHaveRunOn == nil {
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

// mayHaveRun reports whether a request may have run, or may still be running, after an attempt with the given outcome.
func mayHaveRun(outcome Outcome) bool {
	switch outcome {
	case ServerError, TimedOut, ConnectionLost, Cancelled, Malformed:
		return true
	case OK, Rejected, ConnectFailed, NotAttempted:
	}
	return false
}

// dedupUntil returns the time until which endpoints drop repeats of a keyed request that was sent at sentAt. It returns 0 for
// other requests.
func (c *RequestClass) dedupUntil(sentAt Micros) Micros {
	if c.Idempotency != Keyed {
		return 0
	}
	return sentAt + c.DedupWindow
}
