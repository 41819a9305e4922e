package policy

import (
	"math"

	"switchfork/internal/hashing"
)

const (
	advanceAfter    = 3 * second        // stage time after which good evidence advances the stage
	stageTimeout    = 5 * second        // stage time after which the stage advances without good evidence
	renewalFraction = 0.66              // part of a vote's lifetime after which it is renewed; a third is left for a lost reply
	noBaselineDelay = 10 * second       // extra stage time without a full latency window; other agents may see a slowdown meanwhile
	noMajorityDelay = 5 * second        // extra stage time of agents that are not evaluators, while the evaluators have no majority
	voteRetryDelay  = 250 * millisecond // shortest wait after a failed vote
	voteRejectDelay = 1 * second        // shortest wait after the rollout controller rejected a vote because of too many calls
	// Weighted slow times from which on, in this order, the release is held back, a stage before the last is paused, and the build
	// is rolled back. rollbackSlowTime is longer than most temporary overloads.
	releaseHoldSlowTime = 500 * millisecond
	stagePauseSlowTime  = 200 * millisecond
	rollbackSlowTime    = 9 * second
	// pauseCanaryShare is the canary's share of the traffic from which on a slowdown pauses a stage before the last. With a smaller
	// share a slowdown is more likely an overload that the canary did not cause.
	pauseCanaryShare = 0.15
	// minOnTimeShare is the share of requests on time that a release needs, even without a baseline.
	minOnTimeShare = 0.6
)

// voter decides what this agent votes on the build in evaluation, and when. It uses the evidence, the slowdown, the controller's
// reports and the evaluators' majority. The analyzer calls it at each tick, and after a vote that failed.
type voter struct {
	release      *releaseState
	endpoints    *endpointSet
	evaluators   *evaluatorGroup
	verdicts     *verdictExchange
	evidence     *buildEvidence
	slowdown     *slowdownDetector
	reports      *controllerReports
	rules        VotingRules
	wanted       Verdict // current verdict, sent or not
	wantedSince  Micros
	lastVote     Verdict // NoVote after a failed vote and when the rollout changes
	lastVoteAt   Micros
	backoffUntil Micros // no vote is sent before this time
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

// isDue reports whether a verdict is to be sent as a vote, because it is new or because its vote has to be renewed.
func (v *voter) isDue(verdict Verdict) bool {
	if v.release.now < max(v.backoffUntil, v.wantedSince+v.spreadDelay()) {
		return false
	}
	renewAfter := Micros(renewalFraction * float64(v.rules.VoteLifetime))
	needsRenewal := verdict != NoVote && v.release.now-v.lastVoteAt >= renewAfter
	return verdict != v.lastVote || needsRenewal
}

// backOff delays the next vote after a failed one, by a random time so that agents do not retry in step.
func (v *voter) backOff(outcome Outcome) {
	v.lastVote = NoVote
	v.backoffUntil = v.release.now + voteRetryDelay + v.release.randomBelow(v.period()+1)
	if outcome == Rejected {
		v.backoffUntil += voteRejectDelay - voteRetryDelay + v.release.randomBelow(voteRejectDelay)
	}
}

// period returns the time in which all voters can vote at the configured rate of calls to the rollout controller, at most the
// lifetime of a vote.
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

// spreadDelay returns the delay of this agent's vote. It spreads the votes of agents that are not evaluators over the period. When
// they vote in place of silent evaluators, a few of these votes are enough.
func (v *voter) spreadDelay() Micros {
	if v.evaluators.evaluatesReleases() {
		return 0
	}
	hash := hashing.Mix64(uint64(v.evaluators.agentIndex) ^ uint64(v.release.build+v.release.stage)<<20)
	return Micros(unitInterval(hash) * float64(v.period()))
}

// currentVerdict returns this agent's own verdict. An agent that is not an evaluator follows the evaluators' majority instead,
// unless its own verdict is to roll back. To advance, the stage must also have run long enough.
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

// isTimeToAdvance reports whether the stage has run long enough. With good evidence less time is enough.
func (v *voter) isTimeToAdvance(ratio float64, hasMajority bool) bool {
	if v.endpoints.readyCount(v.release.build) == 0 {
		return false // this agent's list is out of date, and an advance would remove endpoints that it still knows
	}
	sinceStart := v.release.now - v.endpoints.newestStart(v.release.build)
	elapsed := v.stageTime(sinceStart, hasMajority)
	if elapsed >= stageTimeout {
		return true
	}
	isGood := v.evidence.outcomeCount >= minOutcomes && ratio <= -decisionThreshold
	return isGood && min(elapsed, sinceStart) >= advanceAfter
}

// stageTime returns the time that counts towards an advance. In the last stage, which releases the build, it counts from the
// newest start of the build's endpoints if that is later than the start of the stage. In other stages that delay would cost more.
func (v *voter) stageTime(sinceStart Micros, hasMajority bool) Micros {
	elapsed := v.release.now - v.release.stageStartedAt
	if v.release.isLastStage() {
		elapsed = min(elapsed, sinceStart)
		if !v.slowdown.latencies.isWindowFull() && v.rules.VotesToAdvance <= 1 {
			elapsed -= noBaselineDelay // this agent cannot see a slowdown; others may, and its vote alone is enough
		}
	}
	if !v.evaluators.evaluatesReleases() && !hasMajority {
		elapsed -= noMajorityDelay
	}
	return elapsed
}

// evidenceVerdict returns this agent's verdict without regard to the stage time.
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
	areReportsUnfavorable := v.reports.areUsed() && v.reports.ratio > holdThreshold
	if ratio > holdThreshold || areReportsUnfavorable || v.isPausedBySlowdown() {
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
	countsSlowdown := !v.release.isEstablished() && v.evaluators.evaluatesReleases()
	return countsSlowdown && v.slowdown.slowTime >= float64(rollbackSlowTime)
}

// rollbackThreshold returns the evidence that a rollback needs. It is higher where one of many agents decides alone, and lower
// where many must agree.
func (v *voter) rollbackThreshold() float64 {
	switch {
	case v.evaluators.isMember:
		return decisionThreshold // an evaluator's verdict decides for all agents
	case v.evaluators.exist(), v.reports.areUsed():
		return decisionThreshold + math.Log(float64(v.evaluators.agentCount))
	}
	return max(holdThreshold, decisionThreshold-math.Log(float64(max(1, v.rules.VotesToRollback))))
}

// isPausedBySlowdown reports whether the build must not advance because the fleet is slow.
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
	// An evaluator gets the outcomes of all agents. If these are slow while the canary has enough traffic, the evaluator need not
	// wait.
	isSlowNow := v.slowdown.latencyRatio >= slowdownFactor || v.slowdown.isFarLessOnTime()
	if v.evaluators.isMember && isSlowNow {
		return true
	}
	return slowTime >= float64(stagePauseSlowTime)
}
