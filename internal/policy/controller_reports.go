package policy

import (
	"math"

	"switchfork/internal/sprt"
)

const (
	reportDecay   = 0.7  // of earlier reports' counts, an interval
	maxReportStep = 2.0  // that one interval adds: one alone does not decide
	badSlowFactor = 1.6  // times the expected latency is a slow build
	goodFactor    = 1.15 // times the baseline's latency is a good one beside warm endpoints
)

// controllerReports decides what the rollout controller's counts say of the canary: failures and latencies by class over all
// agents in an interval, the same for all, against earlier builds in the same interval. They stand in for what agents without
// gossip cannot tell each other. The analyzer passes reports on and has them evaluated at a tick; the voter and the slowdown
// detector read the result.
type controllerReports struct {
	release        *releaseState
	endpoints      *endpointSet
	evaluators     *evaluatorGroup
	classes        []RequestClass
	interval       Micros // 0: no reports
	pending        []MetricsReport
	hasReceived    bool
	baselineTotals []classTotals // of earlier builds, by class, decaying
	build          int           // that ratio is about
	ratio          float64       // log likelihood ratio against the build
	slowdown       float64       // mean latency over the baseline's
	canaryShare    float64       // of the requests
}

// classTotals are a class's decaying counts.
type classTotals struct{ requests, failures, totalLatency float64 }

// intervalReports are the reports of an interval, taken apart.
type intervalReports struct {
	canary           []MetricsReport
	baselineRequests float64
	requests         float64
}

func newControllerReports(
	release *releaseState, endpoints *endpointSet, evaluators *evaluatorGroup, config Config,
) *controllerReports {
	return &controllerReports{
		release:        release,
		endpoints:      endpoints,
		evaluators:     evaluators,
		classes:        config.Classes,
		interval:       config.VotingRules.MetricsInterval,
		baselineTotals: make([]classTotals, len(config.Classes)),
	}
}

// areUsed reports whether the reports stand in for gossip.
func (r *controllerReports) areUsed() bool { return r.hasReceived && !r.evaluators.exist() }

func (r *controllerReports) arePending() bool { return len(r.pending) > 0 }

func (r *controllerReports) receive(report MetricsReport) {
	r.hasReceived = r.interval > 0
	if r.areUsed() && r.isUsable(report) {
		r.pending = append(r.pending, report)
	}
}

// isUsable reports whether a report counts requests of a known class at a build that is in evaluation or was released.
func (r *controllerReports) isUsable(report MetricsReport) bool {
	if report.Requests <= 0 || report.Class >= len(r.classes) {
		return false
	}
	return report.Build <= r.release.build && !r.release.rolledBack[report.Build]
}

// startBuild forgets the evidence on another build than the one in evaluation.
func (r *controllerReports) startBuild(build int) {
	if build != r.build {
		r.build = build
		r.ratio = 0
	}
}

// evaluate weighs the pending reports and returns their requests.
func (r *controllerReports) evaluate(latencies *latencyComparison) (requests float64) {
	interval := r.takePending(latencies)
	if step := r.step(interval.canary); interval.baselineRequests >= minOutcomes && !r.release.isEstablished() {
		r.ratio = max(r.ratio+step, -maxSavedEvidence)
	}
	return interval.requests
}

// step is how far the reports on the canary move the ratio.
func (r *controllerReports) step(canary []MetricsReport) float64 {
	failureSum := 0.0
	latenessSum := 0.0
	for _, report := range canary {
		totals := &r.baselineTotals[report.Class]
		good := float64(report.Requests - report.Failures)
		mean := totals.meanLatency() / r.endpoints.meanWarmUpFactor(r.release.build)
		test := newRateTest(r.expectedFailureRate(report.Class, mean), badFailureFactor)
		failureSum += float64(report.Failures)*test.Failure() + good*test.Success()
		if expected := goodFactor * mean; expected > 0 {
			latenessSum += sprt.ExponentialMean(good, float64(report.MeanLatency), expected, badSlowFactor)
		}
	}
	return min(failureSum+max(0, latenessSum), maxReportStep)
}

// expectedFailureRate is what a class's baseline fails, or what its mean latency alone would have end too late.
func (r *controllerReports) expectedFailureRate(class int, meanLatency float64) float64 {
	totals := &r.baselineTotals[class]
	objective := float64(r.classes[class].LatencyObjective)
	lateShare := math.Exp(-objective / max(1, meanLatency))
	return max(minFailureRate, totals.failures/max(1, totals.requests), lateShare)
}

// takePending takes the pending reports over: the baseline's into its totals, all into the slowdown and the canary's share.
func (r *controllerReports) takePending(latencies *latencyComparison) intervalReports {
	r.decayTotals()
	var interval intervalReports
	canaryRequests := 0.0
	latency := 0.0
	baselineLatency := 0.0
	for _, report := range r.pending {
		requests := float64(report.Requests)
		good := float64(report.Requests - report.Failures)
		interval.requests += requests
		if report.Build == r.release.build {
			canaryRequests += requests
		}
		if latencies.hasBaseline(report.Class) {
			latency += good * float64(report.MeanLatency)
			baselineLatency += good * latencies.baselineMeans[report.Class]
		}
		if r.release.isBaselineBuild(report.Build) {
			r.baselineTotals[report.Class].add(report)
			interval.baselineRequests += requests
		} else {
			interval.canary = append(interval.canary, report)
		}
	}
	r.pending = r.pending[:0]
	r.slowdown = latency / max(1, baselineLatency)
	r.canaryShare = canaryRequests / interval.requests
	return interval
}

func (r *controllerReports) decayTotals() {
	for class, totals := range r.baselineTotals {
		r.baselineTotals[class] = classTotals{
			requests:     totals.requests * reportDecay,
			failures:     totals.failures * reportDecay,
			totalLatency: totals.totalLatency * reportDecay,
		}
	}
}

// meanLatency is in µs, of the requests that did not fail.
func (t *classTotals) meanLatency() float64 { return t.totalLatency / max(1, t.requests-t.failures) }

func (t *classTotals) add(report MetricsReport) {
	good := float64(report.Requests - report.Failures)
	t.requests += float64(report.Requests)
	t.failures += float64(report.Failures)
	t.totalLatency += good * float64(report.MeanLatency)
}
