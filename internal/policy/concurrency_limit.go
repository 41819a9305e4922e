package policy

import "switchfork/internal/stats"

const (
	initialEndpointLimit  = 4.0  // limit of a new endpoint: two requests being served and two waiting
	quickAnswerFraction   = 0.25 // part of the latency objective; a quicker answer shows free capacity
	lateAnswerFraction    = 0.45 // part of the latency objective; a later answer shows that too many attempts are open
	cutShortFraction      = 0.1  // part of the latency objective; an attempt that had less time is no sign of anything
	limitDecreaseFactor   = 0.7
	limitDecreaseInterval = 250 * millisecond // late answers within this time count as one sign of overload
	// silenceTimeoutFraction is the part of the latency objective after which an endpoint with attempts in flight and no answer
	// counts as silent. It gets no more attempts until it answers.
	silenceTimeoutFraction = 0.8
	// inFlightReportWeight is the weight of an endpoint's report in the count of its requests in flight. Reports are late and
	// noisy, but they correct the errors that lost messages cause in the count.
	inFlightReportWeight = 0.2
)

// isAvailable reports whether an endpoint may take one more attempt of this agent. The endpoint must be within its concurrency
// limit. It must not be ejected, in a health check, in the pause after a rejection, or silent. An endpoint that hangs (frozen, cut
// off, stuck) is noticed earlier by its silence than by timeouts. As a side effect, an endpoint with one long request may be passed
// over. The endpoint selector calls isAvailable for each candidate.
func (e *endpointRecord) isAvailable() bool {
	if e.isChecking || e.isEjected() || e.now < e.rejectingUntil {
		return false
	}
	if float64(e.inFlight)+1 > max(1, e.limit.Value) {
		return false
	}
	return e.inFlight == 0 || !e.isSilent()
}

func (e *endpointRecord) isSilent() bool {
	return float64(e.now-e.waitingSince) >= silenceTimeoutFraction*float64(e.lastObjective)
}

// minLimitPerCore returns an agent's lowest concurrency limit for one core. All agents together may have one open attempt per core.
func minLimitPerCore(agents int) float64 { return 1 / float64(agents) }

// minLimit returns the endpoint's lowest concurrency limit: minLimitPerCore, times the requests that a warm endpoint serves
// concurrently.
func (e *endpointRecord) minLimit() float64 {
	return e.endpoints.minLimitPerCore * e.endpoints.warmConcurrency
}

// updateLimit adjusts the concurrency limit according to an attempt's outcome. It guards against endpoints that answer too slowly
// (slowed down, overloaded, warming up, with a slow build): requests then go elsewhere. As a side effect, a class whose requests
// always take almost as long as their latency objective may be held back.
func (e *endpointRecord) updateLimit(outcome attemptOutcome) {
	switch {
	case outcome.isQuick() && e.isHalfFull():
		e.limit.Increase()
	case outcome.isOverloadSign():
		e.limit.Decrease(e.now, e.minLimit(), limitDecreaseFactor, limitDecreaseInterval)
	}
}

// isHalfFull reports whether about half of the limit is in use, so that a higher limit matters.
func (e *endpointRecord) isHalfFull() bool { return float64(e.inFlight+1) >= e.limit.Value/2 }

func (o attemptOutcome) isQuick() bool {
	return o.Outcome == OK && float64(o.Elapsed) < quickAnswerFraction*float64(o.latencyObjective)
}

// isCutShort reports whether an attempt had so little time that its timeout says nothing about its endpoint.
func (o attemptOutcome) isCutShort() bool {
	return o.Outcome == TimedOut && float64(o.Elapsed) < cutShortFraction*float64(o.latencyObjective)
}

// isOverloadSign reports whether an outcome shows that too many attempts are open at its endpoint.
func (o attemptOutcome) isOverloadSign() bool {
	switch o.Outcome {
	case OK:
		return float64(o.Elapsed) > lateAnswerFraction*float64(o.latencyObjective)
	case Rejected:
		return true
	case TimedOut:
		return o.latencyObjective > 0 && !o.isCutShort()
	case ServerError, ConnectFailed, ConnectionLost, Cancelled, NotAttempted, Malformed:
	}
	return false
}

// updateTotalInFlight subtracts a request that ended from totalInFlight, and moves totalInFlight towards the reported count.
// reported is negative if there is no report.
func (e *endpointRecord) updateTotalInFlight(reported float64) {
	e.totalInFlight = max(0, e.totalInFlight-1)
	if reported >= 0 {
		e.totalInFlight = stats.MovingMean(e.totalInFlight, reported, inFlightReportWeight)
	}
}
