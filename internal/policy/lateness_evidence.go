package policy

import (
	"math"

	"switchfork/internal/stats"
)

const (
	minLateRate    = 0.1 // of a baseline
	badLateFactor  = 4.0 // times the baseline's rate is a bad build; lateness is common, so it must differ by more
	latenessDecay  = 0.98
	fullWeightFrom = 20 // outcomes of a stage: the first late ones may all be of one queue

	// An evaluator gets the outcomes of all agents.
	evaluatorLatenessDecay  = 0.998
	evaluatorFullWeightFrom = 200

	// maxLatenessCanaryShare of the traffic at the canary: above it lateness may be the load that it took over.
	maxLatenessCanaryShare = 0.25
)

// addLateness takes in whether an answer of an endpoint was late.
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
	// It saves up half of its share of what the ratio counts, so that failures beside it are still seen.
	e.enqueue(latenessStep{step: step, minRatio: -maxSavedEvidence / 2 / b.evidenceShares(e)})
}

// lateRatio is the evidence on lateness, over all endpoints that have evidence.
func (b *buildEvidence) lateRatio(seen collectedEvidence) float64 {
	late := boundedSum(seen.flooredLateness)
	if b.isLateOnFew(seen.lateness) {
		late = min(late, 0)
	}
	// All follow an evaluator's verdict, and endpoints that have just warmed up are late too.
	if b.evaluators.isMember && late > 0 {
		late = max(0, late-math.Log(float64(b.evaluators.agentCount)))
	}
	return late
}

// isLateOnFew reports whether enough is known to say that half of the endpoints are not late: then lateness is that of some
// endpoints, or their load.
func (b *buildEvidence) isLateOnFew(latenessRatios []float64) bool {
	count := len(latenessRatios)
	if count <= 1 {
		return false
	}
	hasEnough := b.evaluators.isMember || b.outcomeCount >= minOutcomes*count
	return hasEnough && stats.LowerMedian(latenessRatios) <= 0
}
