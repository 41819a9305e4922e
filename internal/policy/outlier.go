package policy

import "switchfork/internal/stats"

const (
	ejectionTime   = 1 * second // the order of a restart's first signs
	ejectionJitter = 500 * millisecond
	// rejectionBackoff is about the time in which a full endpoint completes a request.
	rejectionBackoff = 300 * millisecond
	// maxSilentOutcomes in a row are the endpoint's own: one timeout may be a heavy request, one break the connection's.
	maxSilentOutcomes = 2
	errorRateWeight   = 0.2  // of one result in an endpoint's moving mean
	ejectErrorRate    = 0.45 // three errors in a row
	elevatedErrorRate = 0.3  // two errors in a row
)

// updateHealth decides whether an endpoint is ejected: it cannot be reached, falls silent or answers with errors. It is called
// for the result of each attempt of this agent.
func (e *endpointRecord) updateHealth(outcome attemptOutcome) {
	switch outcome.Outcome {
	case OK:
		e.silentOutcomes = 0
		e.lastAnswerAt = e.now
		e.errorRate *= 1 - errorRateWeight
	case ServerError, Malformed:
		e.recordError(outcome)
	case Rejected:
		e.rejectingUntil = e.now + rejectionBackoff
	case TimedOut:
		if e.lastAnswerAt < e.now-outcome.Elapsed {
			e.silentOutcomes++
		}
	case ConnectionLost: // a dead process breaks the next connection too, or refuses it
		e.silentOutcomes++
	case ConnectFailed, Cancelled, NotAttempted:
	}
	if outcome.Outcome == ConnectFailed || e.silentOutcomes >= maxSilentOutcomes {
		e.eject()
	}
}

// recordError ejects an endpoint with many errors: one that fails fast looks idle and draws ever more requests. On the canary
// the release analyzer gets its evidence first.
func (e *endpointRecord) recordError(outcome attemptOutcome) {
	if outcome.isClientError {
		return
	}
	e.silentOutcomes = 0
	e.lastAnswerAt = e.now
	e.errorRate = stats.MovingMean(e.errorRate, 1, errorRateWeight)
	if e.errorRate <= ejectErrorRate {
		return
	}
	if !outcome.onCanary || outcome.Outcome == Malformed || e.evidence.isConclusive() {
		e.eject()
	}
}

// eject takes an endpoint out of use for a while. It comes back for one request at a time, as health checks may pass beside a
// stuck queue.
func (e *endpointRecord) eject() {
	e.silentOutcomes = maxSilentOutcomes - 1
	e.limit.Value = e.minLimit()
	e.ejectedUntil = e.now + ejectionTime + e.randomBelow(ejectionJitter)
}

// startHealthCheck has an ejected endpoint come back by a health check, where these are allowed.
func (e *endpointRecord) startHealthCheck() {
	wasEjected := e.ejectedUntil > 0 && !e.isEjected()
	if !e.healthChecks || !wasEjected || e.isChecking || !e.isReady() {
		return
	}
	e.isChecking = true
	e.emit(CheckHealth{EndpointID: e.ID})
}

// finishHealthCheck brings the endpoint back, or ejects it again. An error is an answer too, as health checks may fail where
// requests succeed.
func (e *endpointRecord) finishHealthCheck(outcome Outcome) {
	e.ejectedUntil = 0
	if e.isChecking && outcome != OK && outcome != ServerError {
		e.eject()
	}
	e.isChecking = false
}
