package policy

import "math"

const (
	// advanceAfter, stageTimeout: the design's. voteRenewal leaves a third of a vote's life for a lost answer.
	advanceAfter, stageTimeout, voteRenewal = 3 * second, 5 * second, 0.66
	// blindDelay gives others time to see a slowdown. panelDelay: without a panel the others advance later.
	blindDelay, panelDelay = 10 * second, 5 * second
	// voteFullDelay and voteRetryDelay: after "full" the rollout controller gets a second, else a short wait.
	voteFullDelay, voteRetryDelay = 1 * second, 250 * millisecond
	// panelSize: some are left when agents restart in numbers, and telling them costs little.
	panelSize = 5
	// batchInterval and maxBatchBytes: a batch of outcomes goes out soon, or when it is full.
	batchInterval, maxBatchBytes = 500 * millisecond, 256 - recordBytes
	// digestInterval: by each evaluator in turn, so that four of the last five may be lost.
	digestInterval, digestLifetime = 1 * second, 1 * second
	// verdictInterval and verdictLifetime: two messages in a row may be lost.
	verdictInterval, verdictLifetime = 1 * second, 3 * second
	// slowdownHolds keeps back a release, slowdownPauses a stage before, where the build has pauseCanaryShare of
	// the traffic: with less it is more likely another overload. slowdownRollsBack outlives most passing ones.
	slowdownHolds, slowdownPauses, slowdownRollsBack, pauseCanaryShare = 0.5e6, 0.2e6, 9e6, 0.15
)

// delayVote puts the next vote off after a failed call, not all agents in step.
func (a *releaseAnalyzer) delayVote(outcome Outcome) {
	a.lastVote = NoVote
	a.quietUntil = a.now + voteRetryDelay + a.randomBelow(a.votingPeriod()+1)
	if outcome == Rejected {
		a.quietUntil += voteFullDelay - voteRetryDelay + a.randomBelow(voteFullDelay)
	}
}

// broadcastDigest tells all agents which endpoints hold more than their share. Where an agent meets each once
// a minute, no limit of its own can tell; the evaluators hear of all. A digest may be a second old.
func (a *releaseAnalyzer) broadcastDigest() {
	panelIndex := a.panelIndexOf(a.index)
	if panelIndex < 0 || !a.sharesInFlight || a.now < a.digestSentAt+digestInterval {
		return
	}
	if a.digestSentAt == 0 {
		a.digestSentAt = a.now - digestInterval*Micros(panelIndex)/panelSize // in turn
		return
	}
	inFlight, capacity := a.endpoints.totalLoad()
	a.sendDigest(func(e *endpointRecord) bool {
		return e.isReady() && e.totalInFlight > loadBound*inFlight*e.capacity()/capacity
	})
}

// rollbackThreshold is higher for one of many who decide alone, and lower where many must agree.
func (a *releaseAnalyzer) rollbackThreshold() float64 {
	switch {
	case a.isEvaluator:
		return decisionThreshold // its verdict decides for all
	case a.evaluators != nil, a.usesReports():
		return decisionThreshold + math.Log(float64(a.agentCount))
	}
	return max(holdThreshold, decisionThreshold-math.Log(float64(max(1, a.votingRules.VotesToRollback))))
}

// evidenceVerdict is the verdict without regard to the time.
func (a *releaseAnalyzer) evidenceVerdict(ratio float64) Verdict {
	isTimed := a.votingRules.Rule == TimedStages
	switch {
	case a.build == 0 || a.rolledBack[a.build]:
		return NoVote
	case a.mustRollback(ratio):
		return Rollback
	case a.phase != Evaluating:
		return NoVote
	case isTimed && ratio > holdThreshold:
		return Hold
	case isTimed, ratio > holdThreshold, a.usesReports() && a.reportedRatio > holdThreshold,
		a.isPausedBySlowdown():
		return NoVote
	}
	return Advance
}

func (a *releaseAnalyzer) mustRollback(ratio float64) bool {
	minCount := minOutcomes / max(1, a.votingRules.VotesToRollback)
	isSlowdown := !a.isEstablished() && a.decidesItself() && a.slowdownTime >= slowdownRollsBack
	isReported := a.usesReports() && a.reportedRatio >= decisionThreshold && ratio >= holdThreshold
	return a.outcomeCount >= minCount && ratio >= a.rollbackThreshold() || isReported || isSlowdown
}

func (a *releaseAnalyzer) isPausedBySlowdown() bool {
	watches := !a.isEstablished()
	if a.isLastStage() {
		return watches && a.slowdownTime >= slowdownHolds || a.onTimeShare < onTimeDrop
	}
	// An evaluator gets all outcomes, and sees them slow with the build's share: it need not wait.
	isSlow := a.isEvaluator && (a.slowdownRatio >= slowdownFactor || a.isFarLessOnTime())
	isSlow = isSlow || watches && a.slowdownTime >= slowdownPauses
	return isSlow && a.canaryTrafficShare >= pauseCanaryShare
}

// currentVerdict is the agent's own verdict, or that of most evaluators; to advance also takes its time.
func (a *releaseAnalyzer) currentVerdict() Verdict {
	ratio := a.evidenceRatio()
	verdict := a.evidenceVerdict(ratio)
	panelVerdict, hasPanelVerdict := a.panelVerdict()
	if a.isEvaluator {
		a.announceVerdict(verdict)
	} else if hasPanelVerdict && verdict != Rollback {
		verdict = panelVerdict
	}
	if verdict != Advance {
		return verdict
	}
	if a.endpoints.readyCount(a.build) == 0 {
		return NoVote // its list is out of date: to advance unseen takes away the endpoints that it knows of
	}
	sinceStart := a.now - a.endpoints.newestStart(a.build)
	elapsed := a.stageTime(sinceStart, hasPanelVerdict)
	isGood := a.outcomeCount >= minOutcomes && ratio <= -decisionThreshold
	if isGood && min(elapsed, sinceStart) >= advanceAfter || elapsed >= stageTimeout {
		return Advance
	}
	return NoVote
}

// stageTime is the time that counts for an advance. The last stage releases: there it also runs from the
// newest start. Elsewhere delay costs more.
func (a *releaseAnalyzer) stageTime(sinceStart Micros, hasPanelVerdict bool) Micros {
	elapsed := a.now - a.stageStartedAt
	if a.isLastStage() {
		elapsed = min(elapsed, sinceStart)
		if len(a.relativeLatencies) < a.latencyWindow() && a.votingRules.VotesToAdvance <= 1 {
			elapsed -= blindDelay // it cannot see a slowdown; where one vote is enough, others may
		}
	}
	if !a.decidesItself() && !hasPanelVerdict {
		elapsed -= panelDelay
	}
	return elapsed
}

// votingPeriod is the time in which all voters can vote at the configured rate of calls to the controller.
func (a *releaseAnalyzer) votingPeriod() Micros {
	voters := a.agentCount
	if a.isEvaluator {
		voters = panelSize
	}
	if a.votingRules.CallsPerSecond <= 0 {
		return 0 // not configured
	}
	period := Micros(float64(voters) * float64(second) / a.votingRules.CallsPerSecond)
	return min(a.votingRules.VoteLifetime, period)
}

// voteDelay spreads the votes of those outside a silent panel over the period: a few suffice.
func (a *releaseAnalyzer) voteDelay() Micros {
	if a.decidesItself() {
		return 0
	}
	hash := mix64(uint64(a.index) ^ uint64(a.build+a.stage)<<20)
	return Micros(unitInterval(hash) * float64(a.votingPeriod()))
}

func (a *releaseAnalyzer) isVoteDue(verdict Verdict) bool {
	renewAfter := Micros(voteRenewal * float64(a.votingRules.VoteLifetime))
	isRenewal := verdict != NoVote && a.now-a.lastVoteAt >= renewAfter
	isQuiet := a.now < max(a.quietUntil, a.wantedSince+a.voteDelay())
	return !isQuiet && (verdict != a.lastVote || isRenewal)
}
