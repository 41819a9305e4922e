package policy

import "switchfork/internal/stats"

const (
	initialEndpointLimit  = 4.0  // two requests in work and two waiting, at an endpoint that is not known yet
	quickAnswerFraction   = 0.25 // of the latency objective: below it the endpoint has free capacity
	lateAnswerFraction    = 0.45 // of the latency objective: above it too much is open
	limitDecreaseFactor   = 0.7
	limitDecreaseInterval = 250 * millisecond // late answers of one overload are one sign
	// silenceTimeoutFraction of the latency objective with attempts in flight and no answer: the endpoint gets no more until
	// it answers.
	silenceTimeoutFraction = 0.8
	// inFlightReportWeight: reports are late and noisy, and set right what lost messages left.
	inFlightReportWeight = 0.2
)

// isAvailable decides whether an endpoint may take one more attempt of this agent: it is not ejected, within its concurrency
// limit and not silent. Silence tells of what hangs (frozen, cut off, stuck) before timeouts do; an endpoint with one long
// request may be passed over. The endpoint selector asks for each candidate.
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

// minLimitPerCore is the lowest concurrency limit of one core: one open attempt of all agents together.
func minLimitPerCore(agents int) float64 { return 1 / float64(agents) }

// minLimit is the lowest concurrency limit of the endpoint, by what it serves at one time.
func (e *endpointRecord) minLimit() float64 {
	return e.endpoints.minLimitPerCore * e.endpoints.warmConcurrency
}

// updateLimit adjusts the concurrency limit by a result. It guards against any endpoint that answers too slowly (slowed,
// overloaded, warming up, a heavy build): requests then go elsewhere. A class whose own work takes almost its latency objective
// may be held back.
func (e *endpointRecord) updateLimit(outcome attemptOutcome) {
	switch {
	case outcome.isQuick() && e.isHalfFull():
		e.limit.Increase()
	case outcome.isOverloadSign():
		e.limit.Decrease(e.now, e.minLimit(), limitDecreaseFactor, limitDecreaseInterval)
	}
}

// isHalfFull reports whether the limit is used enough for a higher one to matter.
func (e *endpointRecord) isHalfFull() bool { return float64(e.inFlight+1) >= e.limit.Value/2 }

func (o attemptOutcome) isQuick() bool {
	return o.Outcome == OK && float64(o.Elapsed) < quickAnswerFraction*float64(o.latencyObjective)
}

// isOverloadSign reports whether an outcome tells that too much is open at its endpoint.
func (o attemptOutcome) isOverloadSign() bool {
	switch o.Outcome {
	case OK:
		return float64(o.Elapsed) > lateAnswerFraction*float64(o.latencyObjective)
	case Rejected:
		return true
	case TimedOut:
		return o.latencyObjective > 0
	case ServerError, ConnectFailed, ConnectionLost, Cancelled, NotAttempted, Malformed:
	}
	return false
}

// updateTotalInFlight counts down by one of all agents' requests that ended, and follows a report, if any.
func (e *endpointRecord) updateTotalInFlight(reported float64) {
	e.totalInFlight = max(0, e.totalInFlight-1)
	if reported >= 0 {
		e.totalInFlight = stats.MovingMean(e.totalInFlight, reported, inFlightReportWeight)
	}
}
