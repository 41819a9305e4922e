package policy

import "switchfork/internal/stats"

const (
	ejectionTime   = 1 * second // about the time that a restart takes to show its first signs
	ejectionJitter = 500 * millisecond
	// rejectionBackoff is the pause after a rejected attempt. It is about the time in which a full endpoint completes a request.
	rejectionBackoff = 300 * millisecond
	// maxSilentOutcomes is the number of outcomes in a row without an answer after which an endpoint is ejected. A single timeout
	// may be due to a heavy request, and a single lost connection to the connection itself.
	maxSilentOutcomes = 2
	errorRateWeight   = 0.2  // weight of one result in an endpoint's moving mean
	ejectErrorRate    = 0.45 // an endpoint with a higher error rate is ejected; exceeded after three errors in a row
	elevatedErrorRate = 0.3  // a higher error rate is suspect where earlier builds fail too; exceeded after two errors in a row
)

// updateHealth ejects an endpoint that cannot be reached, does not answer or answers with errors. It is called with the outcome
// of each attempt of this agent.
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
		if e.lastAnswerAt < e.now-outcome.Elapsed && !outcome.isCutShort() {
			e.silentOutcomes++
		}
	case ConnectionLost: // if the process is dead, the next connection is lost or refused too
		e.silentOutcomes++
	case ConnectFailed, Cancelled, NotAttempted:
	}
	if outcome.Outcome == ConnectFailed || e.silentOutcomes >= maxSilentOutcomes {
		e.eject()
	}
}

// recordError ejects an endpoint with many errors: an endpoint that fails fast looks idle and would get more and more requests.
// Server errors eject an endpoint of the canary only once its evidence is conclusive, so that the release analyzer gets the
// evidence first.
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

// eject takes an endpoint out of use for a while. Afterwards the endpoint first gets only one request at a time, because health
// checks may pass while its queue is stuck.
func (e *endpointRecord) eject() {
	e.silentOutcomes = maxSilentOutcomes - 1
	e.limit.Value = e.minLimit()
	e.ejectedUntil = e.now + ejectionTime + e.randomBelow(ejectionJitter)
}

// startHealthCheck starts a health check of an endpoint whose ejection has expired, if health checks are allowed.
func (e *endpointRecord) startHealthCheck() {
	wasEjected := e.ejectedUntil > 0 && !e.isEjected()
	if !e.healthChecks || !wasEjected || e.isChecking || !e.isReady() {
		return
	}
	e.isChecking = true
	e.emit(CheckHealth{EndpointID: e.ID})
}

// finishHealthCheck puts the endpoint back into use, or ejects it again. A server error counts as an answer, because health
// checks may fail where requests succeed.
func (e *endpointRecord) finishHealthCheck(outcome Outcome) {
	e.ejectedUntil = 0
	if e.isChecking && outcome != OK && outcome != ServerError {
		e.eject()
	}
	e.isChecking = false
}
