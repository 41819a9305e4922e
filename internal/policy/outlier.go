package policy

import "switchfork/internal/stats"

const (
	// ejectionTime and ejectionJitter: common practice; a second is the order of a restart's first signs.
	// fullBackoff: a full endpoint completes a request or two in this time.
	ejectionTime, ejectionJitter, fullBackoff = 1 * second, 500 * millisecond, 300 * millisecond
	// quietShare of the latency objective with attempts in flight and no answer: no more until it answers. It
	// guards against all that goes silent (frozen, cut off, stuck) before timeouts tell, and may pass over an
	// endpoint with one long request. maxSilentOutcomes: one timeout may be a heavy request and one break the
	// connection's; two in a row are the endpoint's own.
	quietShare, maxSilentOutcomes = 0.8, 2
	// errorRateWeight, ejectErrorRate, elevatedErrorRate: two errors in a row are elevated, three eject it.
	errorRateWeight, ejectErrorRate, elevatedErrorRate = 0.2, 0.45, 0.3
	// initialLimit: two in work and two waiting at an endpoint not known yet. quickShare and lateShare of the
	// latency objective: below the one there is room, above the other too much is open.
	initialLimit, quickShare, lateShare = 4, 0.25, 0.45
	// limitDecrease at most once in limitCutInterval: a few late answers from one overload are one sign.
	limitDecrease, limitCutInterval = 0.7, 250 * millisecond
	// slowShareWeight: some twenty answers. maxSlowShare: a healthy busy zone is late with a tenth.
	// zoneLimitStep halves a limit in some twenty answers and raises it zoneGrowth times as fast.
	slowShareWeight, maxSlowShare, zoneLimitStep, zoneGrowth = 0.05, 0.25, 0.03, 3
	// minOpenPerEndpoint, or openFactor of what it serves at one time, leaves no queue, of all agents together.
	// unlimitedOpen is no limit.
	minOpenPerEndpoint, openFactor, unlimitedOpen = 4, 2, 1e6
	// inFlightReportWeight: reports of it are late and noisy, and set right what lost messages left.
	inFlightReportWeight = 0.2
)

func (e *endpointRecord) isAvailable() bool {
	isExcluded := e.isChecking || e.now < max(e.ejectedUntil, e.fullUntil)
	if isExcluded || float64(e.inFlight)+1 > max(1, e.limit.Value) {
		return false
	}
	return e.inFlight == 0 || float64(e.now-e.waitingSince) < quietShare*float64(e.lastObjective)
}

// updateTotalInFlight counts down by one of all agents' requests that ended, and follows a report, if any.
func (e *endpointRecord) updateTotalInFlight(reported float64) {
	e.totalInFlight = max(0, e.totalInFlight-1)
	if reported >= 0 {
		e.totalInFlight = stats.MovingMean(e.totalInFlight, reported, inFlightReportWeight)
	}
}

// startHealthCheck has an ejected endpoint come back by a health check, where these are allowed.
func (e *endpointRecord) startHealthCheck() {
	if e.healthChecks && e.ejectedUntil > 0 && e.now >= e.ejectedUntil && !e.isChecking && e.isReady() {
		e.isChecking = true
		e.emit(CheckHealth{EndpointID: e.ID})
	}
}

// healthCheckDone: an error is an answer too, as health checks may fail where requests succeed.
func (e *endpointRecord) healthCheckDone(outcome Outcome) {
	e.ejectedUntil = 0
	if e.isChecking && outcome != OK && outcome != ServerError {
		e.eject()
	}
	e.isChecking = false
}

// eject: the endpoint comes back for one request at a time, as health checks may pass beside a stuck queue.
func (e *endpointRecord) eject() {
	e.silentOutcomes = maxSilentOutcomes - 1
	e.limit.Value = e.minLimit()
	e.ejectedUntil = e.now + ejectionTime + e.randomBelow(ejectionJitter)
}

// updateLimit guards against any endpoint that answers too slowly (slowed, overloaded, cold, a heavy build):
// requests then go elsewhere. It may harm where a class's own work takes almost its latency objective.
func (e *endpointRecord) updateLimit(outcome attemptOutcome) {
	took, objective := float64(outcome.Elapsed), float64(outcome.latencyObjective)
	isOK := outcome.Outcome == OK
	isTimeout := outcome.Outcome == TimedOut && objective > 0
	switch {
	case isOK && took < quickShare*objective && float64(e.inFlight+1) >= e.limit.Value/2:
		e.limit.Increase()
	case outcome.Outcome == Rejected, isTimeout, isOK && took > lateShare*objective:
		e.limit.Decrease(e.now, e.minLimit(), limitDecrease, limitCutInterval)
	}
}

// updateHealth ejects an endpoint that cannot be reached, falls silent or answers with errors.
func (e *endpointRecord) updateHealth(outcome attemptOutcome) {
	e.updateLimit(outcome)
	switch outcome.Outcome {
	case OK:
		e.silentOutcomes, e.lastAnswerAt = 0, e.now
		e.errorRate *= 1 - errorRateWeight
	case ServerError, Malformed:
		e.recordError(outcome)
	case Rejected:
		e.fullUntil = e.now + fullBackoff
	case TimedOut, ConnectionLost:
		// One connection may break by itself; a dead process breaks the next one too, or refuses it.
		isSilent := outcome.Outcome == ConnectionLost || e.lastAnswerAt < e.now-outcome.Elapsed
		e.silentOutcomes += stats.Count(isSilent)
	}
	if outcome.Outcome == ConnectFailed || e.silentOutcomes >= maxSilentOutcomes {
		e.eject()
	}
}

// recordError: an endpoint that fails fast looks idle and draws ever more requests. On the canary the release
// analyzer gets its evidence first.
func (e *endpointRecord) recordError(outcome attemptOutcome) {
	if outcome.isClientError {
		return
	}
	e.silentOutcomes, e.lastAnswerAt = 0, e.now
	e.errorRate = stats.MovingMean(e.errorRate, 1, errorRateWeight)
	hasEvidence := e.failureRatio+e.flooredLateness >= decisionThreshold
	if e.errorRate > ejectErrorRate && (!outcome.onCanary || outcome.Outcome == Malformed || hasEvidence) {
		e.eject()
	}
}

// adjustLimit limits this agent's own attempts in a zone by the share of late answers. It guards against what
// loads a zone or the fleet (moved traffic, retries), where one agent meets no endpoint often enough:
// requests use another zone, or wait and are rejected. It may hold back requests that are late by themselves.
func (z *zoneState) adjustLimit(isSlow bool, minLimit float64) {
	z.slowShare = stats.MovingMean(z.slowShare, stats.Indicator(isSlow), slowShareWeight)
	if z.slowShare > maxSlowShare {
		z.limit = max(minLimit, min(z.limit, float64(z.inFlight+1))*(1-zoneLimitStep))
	} else {
		z.limit = min(z.limit*(1+zoneGrowth*zoneLimitStep), unlimitedOpen)
	}
}

// updateZone keeps the limit at or above this agent's share of the attempts that leave no queue in the zone.
func (d *dispatcher) updateZone(zone int, outcome attemptOutcome) {
	isSlow := outcome.Outcome != OK || outcome.Elapsed > outcome.latencyObjective
	if outcome.latencyObjective > 0 && outcome.Outcome != ServerError && outcome.Outcome < NotAttempted {
		open := max(minOpenPerEndpoint, openFactor*d.endpoints.warmConcurrency)
		minLimit := max(1, open*d.endpoints.endpointsPerAgent(zone, d.instance.Agents))
		d.zoneFor(zone).adjustLimit(isSlow, minLimit)
	}
}
