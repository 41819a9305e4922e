package policy

import (
	"math"

	"switchfork/internal/sprt"
)

const (
	reportDecay       = 0.7  // factor on the counts of earlier reports at each interval
	maxReportStep     = 2.0  // most that one interval adds to the ratio, so that one interval alone does not decide
	badLatencyFactor  = 1.6  // a slow build's latency, as a multiple of the latency expected of a good build
	goodLatencyFactor = 1.15 // a good build's latency, compared with warm baseline endpoints, as a multiple of the baseline's
)

// controllerReports turns the rollout controller's reports into evidence on the canary. A report holds the requests, failures and
// mean latency of a build and class over all agents in an interval; all agents get the same reports. The canary's reports of an
// interval are compared with the earlier builds' reports of that interval and, with decaying weight, of all intervals before.
// The reports are used where no evaluators collect the outcomes of all agents by gossip. The analyzer adds reports and evaluates
// them at a tick; the voter and the slowdown detector read the result.
type controllerReports struct {
	release         *releaseState
	endpoints       *endpointSet
	evaluators      *evaluatorGroup
	classes         []RequestClass
	interval        Micros          // time between two reports; 0: no reports
	pending         []MetricsReport // reports that are not evaluated yet
	hasReceived     bool
	baselineTotals  []classTotals // totals of the baseline builds, by class
	build           int           // the build that ratio is about
	ratio           float64       // log likelihood ratio against the build
	relativeLatency float64       // mean latency of all builds divided by the baseline's
	canaryShare     float64       // the canary's share of the requests
}

// classTotals are the counts of a class, which decay at each interval. totalLatency is in µs.
type classTotals struct{ requests, failures, totalLatency float64 }

// intervalReports are the canary's reports of an interval, and the request counts of the baseline and of all builds.
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

// areUsed reports whether the reports are used: some have arrived, and there are no evaluators, which use gossip instead.
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

// startBuild is called with the build of a changed rollout. It clears the ratio if the ratio is about another build.
func (r *controllerReports) startBuild(build int) {
	if build != r.build {
		r.build = build
		r.ratio = 0
	}
}

// evaluate adds the pending reports to the evidence and returns the count of the requests in these reports.
func (r *controllerReports) evaluate(latencies *latencyComparison) (requests float64) {
	interval := r.takePending(latencies)
	if step := r.step(interval.canary); interval.baselineRequests >= minOutcomes && !r.release.isEstablished() {
		r.ratio = max(r.ratio+step, -maxGoodEvidence)
	}
	return interval.requests
}

// step returns how far the reports on the canary move the ratio.
func (r *controllerReports) step(canary []MetricsReport) float64 {
	failureSum := 0.0
	latenessSum := 0.0
	for _, report := range canary {
		totals := &r.baselineTotals[report.Class]
		good := float64(report.Requests - report.Failures)
		mean := totals.meanLatency() / r.endpoints.meanWarmUpFactor(r.release.build)
		test := newRateTest(r.expectedFailureRate(report.Class, mean), badFailureFactor)
		failureSum += float64(report.Failures)*test.Failure() + good*test.Success()
		if expected := goodLatencyFactor * mean; expected > 0 {
			latenessSum += sprt.ExponentialMean(good, float64(report.MeanLatency), expected, badLatencyFactor)
		}
	}
	return min(failureSum+max(0, latenessSum), maxReportStep)
}

// expectedFailureRate returns the failure rate of a class's baseline or, if higher, the share of requests that would miss the
// latency objective if latencies were exponentially distributed with the mean meanLatency.
func (r *controllerReports) expectedFailureRate(class int, meanLatency float64) float64 {
	totals := &r.baselineTotals[class]
	objective := float64(r.classes[class].LatencyObjective)
	lateShare := math.Exp(-objective / max(1, meanLatency))
	return max(minFailureRate, totals.failures/max(1, totals.requests), lateShare)
}

// takePending empties the pending reports. It adds the baseline's reports to baselineTotals, and computes the relative
// latency and the canary's share of the requests from all reports.
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
	r.relativeLatency = latency / max(1, baselineLatency)
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

// meanLatency returns the mean latency, in µs, of the requests that did not fail.
func (t *classTotals) meanLatency() float64 { return t.totalLatency / max(1, t.requests-t.failures) }

func (t *classTotals) add(report MetricsReport) {
	good := float64(report.Requests - report.Failures)
	t.requests += float64(report.Requests)
	t.failures += float64(report.Failures)
	t.totalLatency += good * float64(report.MeanLatency)
}
