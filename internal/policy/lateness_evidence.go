package policy

import (
	"math"

	"switchfork/internal/stats"
)

const (
	minLateRate    = 0.1  // lowest rate of late answers that is assumed of a baseline
	badLateFactor  = 4.0  // a bad build's rate of late answers, as a multiple of the baseline's; high, because lateness is common
	latenessDecay  = 0.98 // factor on the baseline's lateness counts at each outcome
	fullWeightFrom = 20   // outcomes of a stage from which on lateness counts in full; the first late answers may come from one queue

	// The same for an evaluator, which gets the outcomes of all agents.
	evaluatorLatenessDecay  = 0.998
	evaluatorFullWeightFrom = 200

	// maxLatenessCanaryShare is the canary's share of the traffic from which on lateness is not evidence on the build: the load
	// that the canary has taken over may cause the lateness.
	maxLatenessCanaryShare = 0.25
)

// addLateness adds an endpoint's answer, late or on time, to the evidence on lateness.
func (b *buildEvidence) addLateness(e *endpointRecord, isLate bool) {
	decay := latenessDecay
	fullWeight := fullWeightFrom
	if b.evaluators.isMember {
		decay = evaluatorLatenessDecay
		fullWeight = evaluatorFullWeightFrom
	}
	if !b.isEvidence(e, &b.baselineLateness, isLate, decay) {
		return
	}
	if b.baselineLateness.count() < minOutcomes || b.endpoints.readyCount(e.Build) < minEndpoints {
		return
	}
	b.outcomeCount++
	step := newRateTest(b.baselineLateness.rate(minLateRate), badLateFactor).Step(isLate)
	step *= min(1, float64(b.outcomeCount)/float64(fullWeight))
	// Answers on time add up to at most half of the endpoint's share of the limit, so that they do not hide failures.
	e.enqueue(latenessStep{step: step, minRatio: -maxGoodEvidence / 2 / b.goodEvidenceShares(e)})
}

// latenessRatio returns the evidence on lateness over the given endpoints.
func (b *buildEvidence) latenessRatio(collected collectedEvidence) float64 {
	ratio := boundedSum(collected.flooredLateness)
	if b.isLateOnFew(collected.lateness) {
		ratio = min(ratio, 0)
	}
	// All agents follow the evaluators, and endpoints that have just warmed up are late too. So an evaluator needs stronger
	// evidence from lateness.
	if b.evaluators.isMember && ratio > 0 {
		ratio = max(0, ratio-math.Log(float64(b.evaluators.agentCount)))
	}
	return ratio
}

// isLateOnFew reports whether at least half of the endpoints are not late, and there are enough outcomes to tell. The cause of the
// lateness is then the late endpoints or their load, and not the build.
func (b *buildEvidence) isLateOnFew(latenessRatios []float64) bool {
	count := len(latenessRatios)
	if count <= 1 {
		return false
	}
	hasEnough := b.evaluators.isMember || b.outcomeCount >= minOutcomes*count
	return hasEnough && stats.LowerMedian(latenessRatios) <= 0
}
