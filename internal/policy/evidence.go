package policy

import (
	"math"

	"switchfork/internal/sprt"
	"switchfork/internal/stats"
)

// Thresholds of the log likelihood ratio between "the build is bad" and "the build is as the baseline".
const (
	minOutcomes       = 10                    // before evidence decides; fewer where several votes are needed to roll back
	decisionThreshold = 3                     // from here on the build is bad, from the negative on good
	holdThreshold     = 1                     // above it the build does not advance
	maxSavedEvidence  = decisionThreshold + 1 // that good outcomes save up at the most: a build may turn bad late
)

const (
	minFailureRate     = 0.01  // of a baseline
	badFailureFactor   = 3.0   // times the baseline's rate is a bad build
	maxBadRate         = 0.95  // so that a good outcome still counts
	minRateRatio       = 1.05  // of a bad rate to the baseline's, so that they differ
	failureDecay       = 0.997 // of the baseline's counts, an outcome
	minEndpointAge     = 2 * second
	largeBuildSize     = 24  // endpoints; above it failures are one sum over the build
	evidenceQuorum     = 4   // one in so many endpoints must speak against a build, for the sum to be conclusive
	maxEndpointSum     = 2.0 // what one of several endpoints adds
	oldestFailingShare = 0.6 // of the oldest endpoints, for these to speak alone
	minEndpoints       = 3   // of a build: what fewer show may be theirs alone
)

// buildEvidence decides from the outcomes of attempts how strongly they speak against the canary: a sequential probability ratio
// test against the baseline, on failures and on lateness. The analyzer adds outcomes; the voter asks for the ratio.
type buildEvidence struct {
	release           *releaseState
	endpoints         *endpointSet
	evaluators        *evaluatorGroup
	outcomeCount      int     // on the canary since the last reset; an answer counts for failure and for lateness
	buildFailureRatio float64 // log likelihood ratio by failures, over all of the build's endpoints
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

// rate is the share of bad outcomes, at least the given floor.
func (c *outcomeCounts) rate(floor float64) float64 { return max(floor, c.bad/max(1, c.good+c.bad)) }

// newRateTest compares a baseline rate with one that is factor times as high.
func newRateTest(baselineRate, factor float64) sprt.Test {
	return sprt.NewTest(baselineRate, factor, sprt.Bounds{MaxBadRate: maxBadRate, MinRatio: minRateRatio})
}

// reset forgets the evidence on the canary, as another build or stage is evaluated. The baseline's counts stay.
func (b *buildEvidence) reset() {
	for _, e := range b.endpoints.all {
		e.enqueue(evidenceReset{})
	}
	b.outcomeCount = 0
	b.buildFailureRatio = 0
}

// addFailure takes in an answer of an endpoint, good or failed.
func (b *buildEvidence) addFailure(e *endpointRecord, isFailed bool) {
	if !b.isEvidence(e, &b.baselineFailures, isFailed, failureDecay) {
		return
	}
	b.outcomeCount++
	step := newRateTest(b.baselineFailures.rate(minFailureRate), badFailureFactor).Step(isFailed)
	e.enqueue(failureStep{step: step, minRatio: -maxSavedEvidence / b.evidenceShares(e)})
	// An endpoint of a large build adds one error at the most; past it, its good outcomes do not count either.
	maxStep := math.Log(badFailureFactor)
	cusum := e.evidence.failureCusum
	change := min(cusum+step, maxStep)
	b.buildFailureRatio = max(b.buildFailureRatio+change-min(cusum, maxStep), -maxSavedEvidence)
}

// isEvidence reports whether an outcome is evidence on the canary. The baseline's go into the counts.
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

// evidenceShares divides the evidence that good outcomes save up: among a build's ready endpoints, so that all must speak for an
// early advance; of a large build among those that have evidence, as one agent meets few of them. ratio counts a build as large
// by the endpoints that have evidence: only they are in its sums.
func (b *buildEvidence) evidenceShares(e *endpointRecord) float64 {
	if count := b.endpoints.readyCount(e.Build); count <= largeBuildSize {
		return float64(max(1, count))
	}
	return float64(b.endpoints.evidenceCount(e))
}

// ratio adds up the evidence of the build's endpoints, on failures and lateness apart, each bounded: a bad build fails, or is
// late, on most alike. Where earlier builds fail too, failing endpoints are no evidence against the build.
func (b *buildEvidence) ratio() float64 {
	isEarlierFailing := b.endpoints.isEarlierBuildFailing(b.release.build, ejectErrorRate)
	found := b.endpoints.withEvidence(b.release.build, isEarlierFailing)
	seen := collectEvidence(found)
	isLarge := len(found) > largeBuildSize
	late := b.lateRatio(seen)
	if isLarge {
		failing := b.largeBuildRatio(seen, found)
		if failing > 0 {
			late = max(late, 0) // quick answers do not speak for a build that fails
		}
		return failing + late
	}
	failing := boundedSum(seen.failure)
	switch {
	case failing > 0:
		return failing + max(late, 0)
	case late <= 0:
		return boundedSum(seen.combined) // quick answers do not speak twice for a build that does not fail
	}
	return failing + late
}

// largeBuildRatio is the evidence on failures of a build with many endpoints. By endpoint each would save up a small part of an
// error, and of errors that come everywhere most would count as failing.
func (b *buildEvidence) largeBuildRatio(seen collectedEvidence, found []*endpointRecord) float64 {
	failing := b.buildFailureRatio
	if evidenceQuorum*seen.failingCount < len(found) {
		failing = min(failing, holdThreshold) // a few endpoints' own, however often
	}
	if oldest := oldestEndpointsRatio(found); oldest > 0 {
		failing = max(failing, oldest)
	}
	return failing
}

// oldestEndpointsRatio adds up the evidence of the oldest of a build's endpoints, the most over any number of them: a build that
// decays fails there first, while all good outcomes of the younger are against it in the sum. Where the oldest fail by
// themselves it speaks against a good build.
func oldestEndpointsRatio(found []*endpointRecord) float64 {
	highest := 0.0
	sum := 0.0
	failing := 0.0
	for i, e := range byAge(found) {
		if e.evidence.isFailing() {
			failing++
		}
		sum += min(e.evidence.failureRatio, maxEndpointSum)
		count := float64(i + 1)
		if count >= minEndpoints && failing >= oldestFailingShare*count {
			highest = max(highest, sum)
		}
	}
	return highest
}

// boundedSum adds up the evidence of endpoints, each within its bounds.
func boundedSum(ratios []float64) float64 {
	sum := 0.0
	count := float64(len(ratios))
	for _, ratio := range ratios {
		if count > 1 {
			ratio = min(ratio, maxEndpointSum, evidenceQuorum*decisionThreshold/count)
		}
		sum += max(ratio, -maxSavedEvidence/count)
	}
	return sum
}
