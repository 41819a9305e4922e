package policy

import (
	"math"

	"switchfork/internal/sprt"
	"switchfork/internal/stats"
)

// The evidence on a build is the log likelihood ratio between "the build is bad" and "the build is like the baseline".
const (
	minOutcomes       = 10                    // outcomes that a decision needs; fewer where a rollback needs several votes
	decisionThreshold = 3                     // at or above it the build is bad, at or below its negative the build is good
	holdThreshold     = 1                     // above it the build does not advance
	maxGoodEvidence   = decisionThreshold + 1 // limit on the evidence from good outcomes, as a build may turn bad late
)

const (
	minFailureRate     = 0.01       // lowest failure rate that is assumed of a baseline
	badFailureFactor   = 3.0        // a bad build's failure rate, as a multiple of the baseline's
	maxBadRate         = 0.95       // highest rate that is assumed of a bad build, so that a good outcome still counts
	minRateRatio       = 1.05       // lowest ratio of a bad rate to the baseline's, so that they differ
	failureDecay       = 0.997      // factor on the baseline's failure counts at each outcome
	minEndpointAge     = 2 * second // a canary endpoint's outcomes are not evidence before this age
	largeBuildSize     = 24         // number of endpoints above which the failures of all endpoints of a build go into one sum
	evidenceQuorum     = 4          // one in this many endpoints must have evidence against a build for the sum to be conclusive
	maxEndpointSum     = 2.0        // most evidence that each endpoint adds against a build with several endpoints
	oldestFailingShare = 0.6        // share of the oldest endpoints that must be failing for their sum to count
	minEndpoints       = 3          // lowest number of a build's endpoints; evidence from fewer may be due to these endpoints alone
)

// buildEvidence measures how strong the evidence against the canary is. It runs a sequential probability ratio test against the
// baseline on failures and another on lateness. The analyzer adds outcomes; the voter asks for the ratio.
type buildEvidence struct {
	release           *releaseState
	endpoints         *endpointSet
	evaluators        *evaluatorGroup
	outcomeCount      int     // outcomes of the canary since the last reset; an answer may count twice, for failure and for lateness
	buildFailureRatio float64 // log likelihood ratio of failures, over all endpoints of the canary
	baselineFailures  outcomeCounts
	baselineLateness  outcomeCounts
}

// outcomeCounts are decaying counts of good and bad outcomes.
type outcomeCounts struct{ good, bad float64 }

func (c *outcomeCounts) add(isBad bool, decay float64) {
	c.good = c.good*decay + stats.Indicator(!isBad)
	c.bad = c.bad*decay + stats.Indicator(isBad)
}

func (c *outcomeCounts) count() float64 { return c.good + c.bad }

// rate returns the share of bad outcomes, or the floor if that is higher.
func (c *outcomeCounts) rate(floor float64) float64 { return max(floor, c.bad/max(1, c.good+c.bad)) }

// newRateTest returns a test of a baseline rate against a bad rate that is factor times as high.
func newRateTest(baselineRate, factor float64) sprt.Test {
	return sprt.NewTest(baselineRate, factor, sprt.Bounds{MaxBadRate: maxBadRate, MinRatio: minRateRatio})
}

// reset clears the evidence on the canary when another build or stage is evaluated. The baseline's counts stay.
func (b *buildEvidence) reset() {
	for _, e := range b.endpoints.all {
		e.enqueue(evidenceReset{})
	}
	b.outcomeCount = 0
	b.buildFailureRatio = 0
}

// addFailure adds an endpoint's answer, good or failed, to the evidence on failures.
func (b *buildEvidence) addFailure(e *endpointRecord, isFailed bool) {
	if !b.isEvidence(e, &b.baselineFailures, isFailed, failureDecay) {
		return
	}
	b.outcomeCount++
	step := newRateTest(b.baselineFailures.rate(minFailureRate), badFailureFactor).Step(isFailed)
	e.enqueue(failureStep{step: step, minRatio: -maxGoodEvidence / b.goodEvidenceShares(e)})
	// In the sum over the build, each endpoint counts for at most one error. While the endpoint's own sum is above one error, its
	// good outcomes do not count either.
	maxStep := math.Log(badFailureFactor)
	cusum := e.evidence.failureCusum
	change := min(cusum+step, maxStep)
	b.buildFailureRatio = max(b.buildFailureRatio+change-min(cusum, maxStep), -maxGoodEvidence)
}

// isEvidence reports whether an outcome is evidence on the canary. An outcome of an earlier build is added to the baseline's
// counts instead.
func (b *buildEvidence) isEvidence(e *endpointRecord, counts *outcomeCounts, isBad bool, decay float64) bool {
	if b.release.rolledBack[e.Build] || e.Build > b.release.build {
		return false
	}
	if e.Build < b.release.build {
		counts.add(isBad, decay)
		return false
	}
	return e.Started <= 0 || b.release.now-e.Started >= minEndpointAge
}

// goodEvidenceShares returns the number of endpoints among which the limit on evidence from good outcomes is divided. In a small
// build it is divided among all ready endpoints, so that an early advance needs good outcomes from all of them. In a large build
// it is divided among the ready endpoints that have evidence, as one agent uses few endpoints of a large build. In contrast, the
// method ratio counts only endpoints with evidence to decide whether a build is large, because only these are in its sums.
func (b *buildEvidence) goodEvidenceShares(e *endpointRecord) float64 {
	if count := b.endpoints.readyCount(e.Build); count <= largeBuildSize {
		return float64(max(1, count))
	}
	return float64(b.endpoints.evidenceCount(e))
}

// ratio returns the log likelihood ratio against the canary. It sums the evidence on failures and the evidence on lateness over the
// build's endpoints separately. Each endpoint's part is bounded, as a bad build fails, or is late, on most of its endpoints. Where
// endpoints with earlier builds fail too, failing endpoints are not evidence against the canary.
func (b *buildEvidence) ratio() float64 {
	isEarlierFailing := b.endpoints.isEarlierBuildFailing(b.release.build, ejectErrorRate)
	evaluated := b.endpoints.withEvidence(b.release.build, isEarlierFailing)
	collected := collectEvidence(evaluated)
	isLarge := len(evaluated) > largeBuildSize
	lateness := b.latenessRatio(collected)
	if isLarge {
		failureRatio := b.largeBuildRatio(collected, evaluated)
		if failureRatio > 0 {
			lateness = max(lateness, 0) // quick answers do not make up for failures
		}
		return failureRatio + lateness
	}
	failureRatio := boundedSum(collected.failure)
	switch {
	case failureRatio > 0:
		return failureRatio + max(lateness, 0)
	case lateness <= 0:
		return boundedSum(collected.combined) // one bound for failures and lateness, so that a quick answer does not count twice
	}
	return failureRatio + lateness
}

// largeBuildRatio returns the evidence on failures of a build with many endpoints. The evidence is not summed by endpoint: the good
// outcomes of each endpoint could then make up for only a small part of an error, and errors that are spread over the whole fleet
// would make most endpoints count as failing.
func (b *buildEvidence) largeBuildRatio(collected collectedEvidence, endpoints []*endpointRecord) float64 {
	ratio := b.buildFailureRatio
	if evidenceQuorum*collected.failingCount < len(endpoints) {
		ratio = min(ratio, holdThreshold) // too few endpoints fail for a decision, however often they fail
	}
	if oldest := oldestEndpointsRatio(endpoints); oldest > 0 {
		ratio = max(ratio, oldest)
	}
	return ratio
}

// oldestEndpointsRatio returns the highest sum of evidence on failures over the n oldest endpoints of a build. It tries each n from
// minEndpoints on, and skips those for which too few of the n endpoints are failing. A build that decays fails on its oldest
// endpoints first, while the good outcomes of the younger endpoints outweigh these failures in the sum over all. Where the oldest
// endpoints fail for other reasons than their build, the result is wrongly evidence against a good build.
func oldestEndpointsRatio(endpoints []*endpointRecord) float64 {
	highest := 0.0
	sum := 0.0
	failingCount := 0.0
	for i, e := range byAge(endpoints) {
		if e.evidence.isFailing() {
			failingCount++
		}
		sum += min(e.evidence.failureRatio, maxEndpointSum)
		count := float64(i + 1)
		if count >= minEndpoints && failingCount >= oldestFailingShare*count {
			highest = max(highest, sum)
		}
	}
	return highest
}

// boundedSum sums the evidence of endpoints, each within bounds. A single endpoint has no upper bound.
func boundedSum(ratios []float64) float64 {
	sum := 0.0
	count := float64(len(ratios))
	for _, ratio := range ratios {
		if count > 1 {
			ratio = min(ratio, maxEndpointSum, evidenceQuorum*decisionThreshold/count)
		}
		sum += max(ratio, -maxGoodEvidence/count)
	}
	return sum
}
