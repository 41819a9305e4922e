package policy

import (
	"math"

	"switchfork/internal/sprt"
	"switchfork/internal/stats"
)

const (
	// minOutcomes, decisionThreshold and holdThreshold are the design's figures.
	minOutcomes, decisionThreshold, holdThreshold = 10, 3, 1
	// minEndpoints: the lateness of a build with fewer may be theirs alone. Of a stage's first ripeOutcomes
	// lateness counts less. The canary's lateness counts while it has less than canaryMinority of the traffic.
	// An endpoint is no evidence while it is a youngEndpoint, in its first cold seconds.
	minEndpoints, ripeOutcomes, panelRipeOutcomes, canaryMinority, youngEndpoint = 3, 20, 200, 0.25, 2 * second
	// reportDecay: the last three or four reports are compared with. maxReportStep is what one adds at the most:
	// two must speak. slowFactor is a slow build; goodFactor a good one beside warm endpoints.
	reportDecay, maxReportStep, slowFactor, goodFactor = 0.7, 2, 1.6, 1.15
	// largeBuildSize: with more endpoints failures are one sum, with good outcomes saved up to the threshold in
	// all. By endpoint each saves up a small part of an error there, and of errors that come everywhere most
	// count as failing; in a smaller build the sum is too slow: its few errors have all good outcomes against.
	// maxEndpointEvidence bounds what one of several adds; of a large build 1/evidenceQuorum must speak.
	// oldestFailingShare of the oldest endpoints must fail, and minEndpoints of them at least.
	largeBuildSize, maxEndpointEvidence, evidenceQuorum, oldestFailingShare = 24, 2, 4, 0.6
	// latencyWindowSize: two seconds of a busy agent. Evaluators hear panelLatencyWindow in less, and its median
	// is known to a tenth. baselineWeight: some fifty answers of a class. canaryShareWeight: the last fifty.
	latencyWindowSize, panelLatencyWindow, baselineWeight, canaryShareWeight = 30, 300, 0.02, 0.02
	// slowdownFactor slower with less than slowdownCompletions done: either alone is only more traffic.
	slowdownFactor, slowdownCompletions = 1.3, 0.8
	// onTimeDrop with completionDrop: more traffic lowers only the one, less traffic only the other. Nothing is
	// released while less than onTimeDrop of the requests are on time. wholeFleetShare: with less of the
	// baseline's warm endpoints the others are slow for that reason.
	onTimeDrop, completionDrop, wholeFleetShare = 0.6, 0.85, 0.85
	// collapsedCompletions need not be told apart from other trouble. slowdownRecovery: how much faster a passed
	// overload is forgotten. isolatedSlowdown needs no drop, but counts for less.
	collapsedCompletions, slowdownRecovery, isolatedSlowdown, isolatedSlowdownWeight = 0.5, 4, 1.6, 0.7
	// completionWindow and baselineWindow: completions are averaged over these times. After establishTime a
	// released build counts as part of the baseline.
	completionWindow, baselineWindow, establishTime = 3 * second, 10 * second, 25 * second
	// Where the outcomes of all are known, a slowdown with stepCanaryShare and less than stepArrivals of the
	// baseline's attempts came with the build: it counts stepWeight, so that three seconds are enough.
	stepCanaryShare, stepArrivals, stepWeight = 0.1, 1.2, 3
	// minRate and badRateFactor are the design's; maxBadRate and minRateRatio keep a test's rates apart.
	minRate, badRateFactor, maxBadRate, minRateRatio = 0.01, 3, 0.95, 1.05
	// Lateness is common, so it must differ by more. failureDecay: the baseline's last hundreds of outcomes.
	// latenessDecay: the last fifty, as overloads pass; evaluators hear more in the same time.
	minLateRate, lateRateFactor, failureDecay, latenessDecay, panelLatenessDecay = 0.1, 4, 0.997, 0.98, 0.998
)

// recordOutcome: a timeout says that something is overloaded, not what; good builds were rolled back for it.
func (a *releaseAnalyzer) recordOutcome(outcome attemptOutcome) {
	isOK := outcome.Outcome == OK
	if !outcome.isClientError && (isOK || outcome.Outcome == ServerError) {
		a.addFailureEvidence(outcome.endpoint, !isOK)
	}
	if outcome.class < 0 || !isOK && outcome.Outcome != TimedOut {
		return
	}
	a.recordLatency(outcome)
	isOnTime := isOK && outcome.Elapsed <= outcome.latencyObjective
	a.recordOnTime(isOnTime)
	// A slow build still answers, but late. Only while the earlier one has most of the traffic, and warm.
	if a.decidesItself() && a.canaryTrafficShare < canaryMinority && outcome.endpoint.warmUpFactor() >= 1 {
		a.addLatenessEvidence(outcome.endpoint, !isOnTime)
	}
	onCanary := stats.Indicator(outcome.endpoint.Build == a.build)
	a.canaryTrafficShare = (a.canaryTrafficShare + onCanary*canaryShareWeight) * (1 - canaryShareWeight)
}

func (a *releaseAnalyzer) addFailureEvidence(e *endpointRecord, failed bool) {
	if !a.isEvidence(e, &a.baselineFailures, failed, failureDecay) {
		return
	}
	a.outcomeCount++
	step := newRateTest(a.baselineFailures.rate(minRate), badRateFactor).Step(failed)
	e.enqueue(evidence{failureStep: step, minRatio: -(decisionThreshold + 1) / a.evidenceShares(e)})
	// An endpoint of a large build adds one error at the most; past it, its good outcomes do not count either.
	maxStep := math.Log(badRateFactor)
	change := min(e.failureCusum+step, maxStep)
	a.buildFailureRatio = max(a.buildFailureRatio+change-min(e.failureCusum, maxStep), -decisionThreshold-1)
}

func (a *releaseAnalyzer) addLatenessEvidence(e *endpointRecord, isLate bool) {
	decay, ripe := latenessDecay, ripeOutcomes
	if a.isEvaluator {
		decay, ripe = panelLatenessDecay, panelRipeOutcomes
	}
	if !a.isEvidence(e, &a.baselineLateness, isLate, decay) ||
		a.baselineLateness.count() < minOutcomes || a.endpoints.readyCount(e.Build) < minEndpoints {
		return
	}
	a.outcomeCount++
	step := newRateTest(a.baselineLateness.rate(minLateRate), lateRateFactor).Step(isLate)
	step *= min(1, float64(a.outcomeCount)/float64(ripe)) // the first late ones may all be of one queue
	// It saves up half of its share of what the ratio counts, so that failures beside it are still seen.
	e.enqueue(evidence{latenessStep: step, minRatio: -(decisionThreshold + 1) / 2 / a.evidenceShares(e)})
}

// isEvidence tells whether an outcome is evidence on the canary. The baseline's go into the counts.
func (a *releaseAnalyzer) isEvidence(e *endpointRecord, counts *outcomeCounts, bad bool, decay float64) bool {
	if a.rolledBack[e.Build] || e.Build > a.build {
		return false
	}
	if e.Build < a.build {
		counts.add(bad, decay)
		return false
	}
	return e.Started <= 0 || a.now-e.Started >= youngEndpoint
}

// usesReports: the controller's counts stand in for what agents without gossip cannot tell each other.
func (a *releaseAnalyzer) usesReports() bool { return a.hasReports && a.evaluators == nil }

// evaluateReports weighs what the rollout controller counted over all agents in an interval, the same for
// all: failures and latencies by class, against earlier builds in the same interval.
func (a *releaseAnalyzer) evaluateReports() {
	canaryReports, baselineRequests := a.addReports()
	failureSum, latenessSum := 0.0, 0.0
	for _, report := range canaryReports {
		totals, good := &a.baselineTotals[report.Class], float64(report.Requests-report.Failures)
		mean := totals.meanLatency() / a.endpoints.meanWarmUpFactor(a.build)
		objective := float64(a.classes[report.Class].LatencyObjective)
		rate := max(minRate, totals.failures/max(1, totals.requests), math.Exp(-objective/max(1, mean)))
		test := newRateTest(rate, badRateFactor)
		failureSum += float64(report.Failures)*test.Failure() + good*test.Success()
		if expected := goodFactor * mean; expected > 0 {
			latenessSum += sprt.ExponentialMean(good, float64(report.MeanLatency), expected, slowFactor)
		}
	}
	if baselineRequests >= minOutcomes && !a.isEstablished() {
		step := min(failureSum+max(0, latenessSum), maxReportStep)
		a.reportedRatio = max(a.reportedRatio+step, -decisionThreshold-1)
	}
}

// evidenceShares divides the threshold that good outcomes save up: among a build's endpoints, so that all
// must speak for an early advance; of a large build among those heard, as one agent meets few of them.
func (a *releaseAnalyzer) evidenceShares(e *endpointRecord) float64 {
	if n := a.endpoints.readyCount(e.Build); n <= largeBuildSize {
		return float64(max(1, n))
	}
	return float64(a.endpoints.evidenceCount(e))
}

// evidenceRatio adds up the evidence of the build's endpoints, on failures and lateness apart, each bounded:
// a bad build fails, or is late, on most alike. None is saved up past the threshold: it may turn bad late.
func (a *releaseAnalyzer) evidenceRatio() float64 {
	// Where earlier builds fail too, failing endpoints are no evidence against the build.
	earlierFailing := a.endpoints.isEarlierBuildFailing(a.build, ejectErrorRate)
	seen := collectEvidence(a.endpoints.withEvidence(a.build, earlierFailing), holdThreshold)
	isLarge := len(seen.failure) > largeBuildSize
	failing, late := boundedSum(seen.failure), a.lateRatio(seen)
	if isLarge {
		failing = a.buildFailureRatio
		if evidenceQuorum*seen.failingEndpoints < len(seen.failure) {
			failing = min(failing, holdThreshold) // a few endpoints' own, however often
		}
		if oldest := a.endpoints.oldestEndpointsRatio(a.build, earlierFailing); oldest > 0 {
			failing = max(failing, oldest)
		}
	}
	switch {
	case failing > 0:
		late = max(late, 0) // quick answers do not speak for a build that fails
	case late <= 0 && !isLarge: // nor twice for one that does not fail
		return boundedSum(seen.combined)
	}
	return failing + late
}

// combinedRatio counts lateness only where that speaks for the build.
func (e *endpointRecord) combinedRatio() float64 { return e.failureRatio + min(0, e.flooredLateness) }

func (a *releaseAnalyzer) lateRatio(seen endpointEvidence) float64 {
	late, n := boundedSum(seen.flooredLateness), len(seen.lateness)
	isEnough := n > 1 && (a.isEvaluator || a.outcomeCount >= minOutcomes*n)
	if isEnough && stats.LowerMedian(seen.lateness) <= 0 {
		late = min(late, 0) // half are not late: it is some endpoints, or their load
	}
	if a.isEvaluator && late > 0 { // all follow its verdict, and endpoints that just warmed up are late too
		late = max(0, late-math.Log(float64(a.agentCount)))
	}
	return late
}

// oldestEndpointsRatio adds up the evidence of the oldest of a build's endpoints, the most over any number of
// them: a build that decays fails there first, while all good outcomes of the younger are against it in the
// sum. It may harm where the oldest are endpoints that fail by themselves, which are of any age.
func (s *endpointSet) oldestEndpointsRatio(build int, earlierFailing bool) (highest float64) {
	failing, sum := 0.0, 0.0
	for i, e := range s.oldestWithEvidence(build, earlierFailing) {
		failing += stats.Indicator(e.failureCusum >= holdThreshold)
		sum += min(e.failureRatio, maxEndpointEvidence)
		if n := float64(i + 1); n >= minEndpoints && failing >= oldestFailingShare*n {
			highest = max(highest, sum)
		}
	}
	return highest
}

// boundedSum adds up the evidence of endpoints, each within its bounds.
func boundedSum(ratios []float64) (sum float64) {
	n := float64(len(ratios))
	for _, ratio := range ratios {
		if n > 1 {
			ratio = min(ratio, maxEndpointEvidence, evidenceQuorum*decisionThreshold/n)
		}
		sum += max(ratio, -(decisionThreshold+1)/n)
	}
	return sum
}

// isEstablished: the release has been out for a while, or since before this agent started.
func (a *releaseAnalyzer) isEstablished() bool {
	return a.phase != Evaluating && (a.stageStartedAt <= a.startedAt || a.now-a.stageStartedAt > establishTime)
}

func (a *releaseAnalyzer) isBaselinePeriod() bool {
	return a.slowdownTime == 0 && (a.build == 0 || a.isEstablished())
}

// updateSlowdown guards against a release that slows old and new builds alike: the median answer is far
// slower than before, with the fleet whole, and stays so. Its time counts by the build's share of the
// traffic, and in full with less completed. It may roll back a good build in a long overload of the fleet.
func (a *releaseAnalyzer) updateSlowdown() {
	elapsed, capacity, slowdown := a.updateRates()
	isWhole := capacity >= wholeFleetShare*a.baselineCapacity
	weight := a.canaryTrafficShare
	if a.isEvaluator { // it gets enough outcomes to compare medians
		slowdown /= max(a.baselineMedian, 1e-9)
	} else if a.usesReports() {
		slowdown, a.canaryTrafficShare = a.reportedSlowdown, a.reportedCanaryShare
	}
	slowdown *= stats.Indicator(isWhole)
	isStep := a.canaryTrafficShare >= stepCanaryShare && a.arrivalRate < stepArrivals*a.baselineArrivalRate
	if isStep && (a.isEvaluator || a.usesReports()) {
		weight = stepWeight
	}
	a.slowdownRatio = slowdown
	switch {
	case a.hasFewerCompletions(slowdown, isWhole):
		a.slowdownTime += elapsed * weight
	case slowdown >= isolatedSlowdown:
		a.slowdownTime += elapsed * weight * isolatedSlowdownWeight
	default:
		a.slowdownTime = max(0, a.slowdownTime-slowdownRecovery*elapsed)
	}
}

func (a *releaseAnalyzer) hasFewerCompletions(slowdown float64, isWhole bool) bool {
	rate, baseline := a.completionRate, a.baselineCompletionRate
	hasCollapsed := rate < collapsedCompletions*baseline
	isLessOnTime := a.onTimeShare < completionDrop*a.baselineOnTimeShare // not only that traffic ends
	return slowdown >= slowdownFactor && rate < slowdownCompletions*baseline || hasCollapsed && isLessOnTime ||
		isWhole && a.isFarLessOnTime() && rate < completionDrop*baseline
}

func (a *releaseAnalyzer) isFarLessOnTime() bool {
	return a.onTimeShare < onTimeDrop*a.baselineOnTimeShare
}
