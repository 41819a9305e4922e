package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	advanceAfter    = 3 * second  // of a stage, with good evidence
	stageTimeout    = 5 * second  // of a stage, without
	renewalFraction = 0.66        // of a vote's lifetime, so that a third is left for a lost answer
	noBaselineDelay = 10 * second // gives others, who have a latency baseline, time to see a slowdown
	noMajorityDelay = 5 * second  // without the evaluators' majority the others advance later
	voteRetryDelay  = 250 * millisecond
	voteRejectDelay = 1 * second // the rollout controller has too many calls
	// Slow time, weighted, from which a release is held back, a stage before it is paused, or the build is rolled back, which
	// outlives most overloads that pass.
	releaseHoldSlowTime = 500 * millisecond
	stagePauseSlowTime  = 200 * millisecond
	rollbackSlowTime    = 9 * second
	// pauseCanaryShare of the traffic: with less a slowdown is more likely another overload.
	pauseCanaryShare = 0.15
	// minOnTimeShare of the requests is needed for a release, also where there is no baseline.
	minOnTimeShare = 0.6
)

// voter decides what this agent votes on the build in evaluation, and when: from the evidence, the slowdown, the reports and the
// evaluators' majority. The analyzer calls it at each tick, and after a vote that failed.
type voter struct {
	release      *releaseState
	endpoints    *endpointSet
	evaluators   *evaluatorGroup
	verdicts     *verdictExchange
	evidence     *buildEvidence
	slowdown     *slowdownDetector
	reports      *controllerReports
	rules        VotingRules
	wanted       Verdict
	wantedSince  Micros
	lastVote     Verdict
	lastVoteAt   Micros
	backoffUntil Micros // no vote before then
}

// vote sends the current verdict, if a vote is due.
func (v *voter) vote() {
	verdict := v.currentVerdict()
	if verdict != v.wanted {
		v.wanted = verdict
		v.wantedSince = v.release.now
	}
	if v.isDue(verdict) {
		v.lastVote = verdict
		v.lastVoteAt = v.release.now
		v.release.emit(Vote{Build: v.release.build, Stage: v.release.stage, Verdict: verdict})
	}
}

// isDue reports whether a verdict is to be sent: it is new, or its vote has to be renewed.
func (v *voter) isDue(verdict Verdict) bool {
	if v.release.now < max(v.backoffUntil, v.wantedSince+v.spread()) {
		return false
	}
	renewAfter := Micros(renewalFraction * float64(v.rules.VoteLifetime))
	needsRenewal := verdict != NoVote && v.release.now-v.lastVoteAt >= renewAfter
	return verdict != v.lastVote || needsRenewal
}

// delay puts the next vote off after a failed call, not all agents in step.
func (v *voter) delay(outcome Outcome) {
	v.lastVote = NoVote
	v.backoffUntil = v.release.now + voteRetryDelay + v.release.randomBelow(v.period()+1)
	if outcome == Rejected {
		v.backoffUntil += voteRejectDelay - voteRetryDelay + v.release.randomBelow(voteRejectDelay)
	}
}

// period is the time in which all voters can vote at the configured rate of calls to the controller.
func (v *voter) period() Micros {
	if v.rules.CallsPerSecond <= 0 {
		return 0 // not configured
	}
	voters := v.evaluators.agentCount
	if v.evaluators.isMember {
		voters = evaluatorCount
	}
	period := Micros(float64(voters) * float64(second) / v.rules.CallsPerSecond)
	return min(v.rules.VoteLifetime, period)
}

// spread delays the votes of those who vote for silent evaluators, over the period: a few suffice.
func (v *voter) spread() Micros {
	if v.evaluators.decidesItself() {
		return 0
	}
	hash := hashing.Mix64(uint64(v.evaluators.agentIndex) ^ uint64(v.release.build+v.release.stage)<<20)
	return Micros(unitInterval(hash) * float64(v.period()))
}

// currentVerdict is the agent's own verdict, or that of most evaluators; to advance also takes its time.
func (v *voter) currentVerdict() Verdict {
	ratio := v.evidence.ratio()
	verdict := v.evidenceVerdict(ratio)
	majority, hasMajority := v.verdicts.majority()
	if v.evaluators.isMember {
		v.verdicts.announce(verdict)
	} else if hasMajority && verdict != Rollback {
		verdict = majority
	}
	if verdict == Advance && !v.isTimeToAdvance(ratio, hasMajority) {
		return NoVote
	}
	return verdict
}

// isTimeToAdvance reports whether the stage has run for long enough: less where the evidence is good.
func (v *voter) isTimeToAdvance(ratio float64, hasMajority bool) bool {
	if v.endpoints.readyCount(v.release.build) == 0 {
		return false // its list is out of date: to advance unseen takes away the endpoints that it knows of
	}
	sinceStart := v.release.now - v.endpoints.newestStart(v.release.build)
	elapsed := v.stageTime(sinceStart, hasMajority)
	if elapsed >= stageTimeout {
		return true
	}
	isGood := v.evidence.outcomeCount >= minOutcomes && ratio <= -decisionThreshold
	return isGood && min(elapsed, sinceStart) >= advanceAfter
}

// stageTime is the time that counts for an advance. The last stage releases: there it also runs from the newest start. Elsewhere
// delay costs more.
func (v *voter) stageTime(sinceStart Micros, hasMajority bool) Micros {
	elapsed := v.release.now - v.release.stageStartedAt
	if v.release.isLastStage() {
		elapsed = min(elapsed, sinceStart)
		if !v.slowdown.latencies.isWindowFull() && v.rules.VotesToAdvance <= 1 {
			elapsed -= noBaselineDelay // it cannot see a slowdown; where one vote is enough, others may
		}
	}
	if !v.evaluators.decidesItself() && !hasMajority {
		elapsed -= noMajorityDelay
	}
	return elapsed
}

// evidenceVerdict is the verdict without regard to the time.
func (v *voter) evidenceVerdict(ratio float64) Verdict {
	if v.release.build == 0 || v.release.rolledBack[v.release.build] {
		return NoVote
	}
	if v.needsRollback(ratio) {
		return Rollback
	}
	if v.release.phase != Evaluating {
		return NoVote
	}
	if v.rules.Rule == TimedStages {
		if ratio > holdThreshold {
			return Hold
		}
		return NoVote
	}
	doReportsObject := v.reports.areUsed() && v.reports.ratio > holdThreshold
	if ratio > holdThreshold || doReportsObject || v.isPausedBySlowdown() {
		return NoVote
	}
	return Advance
}

func (v *voter) needsRollback(ratio float64) bool {
	minCount := minOutcomes / max(1, v.rules.VotesToRollback)
	if v.evidence.outcomeCount >= minCount && ratio >= v.rollbackThreshold() {
		return true
	}
	isReported := v.reports.areUsed() && v.reports.ratio >= decisionThreshold
	if isReported && ratio >= holdThreshold {
		return true
	}
	isWatched := !v.release.isEstablished() && v.evaluators.decidesItself()
	return isWatched && v.slowdown.slowTime >= float64(rollbackSlowTime)
}

// rollbackThreshold is higher for one of many who decide alone, and lower where many must agree.
func (v *voter) rollbackThreshold() float64 {
	switch {
	case v.evaluators.isMember:
		return decisionThreshold // its verdict decides for all
	case v.evaluators.exist(), v.reports.areUsed():
		return decisionThreshold + math.Log(float64(v.evaluators.agentCount))
	}
	return max(holdThreshold, decisionThreshold-math.Log(float64(max(1, v.rules.VotesToRollback))))
}

// isPausedBySlowdown reports whether the build does not advance as the fleet is slow.
func (v *voter) isPausedBySlowdown() bool {
	slowTime := 0.0
	if !v.release.isEstablished() {
		slowTime = v.slowdown.slowTime
	}
	if v.release.isLastStage() {
		return slowTime >= float64(releaseHoldSlowTime) || v.slowdown.onTimeShare < minOnTimeShare
	}
	if v.slowdown.canaryShare < pauseCanaryShare {
		return false
	}
	// An evaluator gets all outcomes, and sees them slow with the build's share: it need not wait.
	isSlowNow := v.slowdown.ratio >= slowdownFactor || v.slowdown.isFarLessOnTime()
	if v.evaluators.isMember && isSlowNow {
		return true
	}
	return slowTime >= float64(stagePauseSlowTime)
}
