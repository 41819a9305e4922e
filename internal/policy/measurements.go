package policy

import (
	"switchfork/internal/sprt"
	"switchfork/internal/stats"
)

// isBaselineReport tells whether a report is of what the canary is compared with.
func (a *releaseAnalyzer) isBaselineReport(report MetricsReport) bool {
	return report.Build < a.build || a.isEstablished()
}

// addReports takes over the reports of an interval. It returns those of the canary, and the requests of the baseline's.
func (a *releaseAnalyzer) addReports() (canaryReports []MetricsReport, baselineRequests float64) {
	for class := range a.baselineTotals {
		a.baselineTotals[class] = a.baselineTotals[class].decayed(reportDecay)
	}
	canary, latency, baseline, requests := 0.0, 0.0, 0.0, 0.0
	for _, report := range a.pendingReports {
		good := float64(report.Requests - report.Failures)
		requests += float64(report.Requests)
		canary += float64(report.Requests) * stats.Indicator(report.Build == a.build)
		if a.baselineAnswers[report.Class] >= minOutcomes {
			latency += good * float64(report.MeanLatency)
			baseline += good * a.baselineLatency[report.Class]
		}
		if a.isBaselineReport(report) {
			a.baselineTotals[report.Class].add(report)
			baselineRequests += float64(report.Requests)
		} else {
			canaryReports = append(canaryReports, report)
		}
	}
	a.pendingReports = a.pendingReports[:0]
	a.reportedSlowdown, a.reportedCanaryShare = latency/max(1, baseline), canary/requests
	a.arrivalRate = requests
	return canaryReports, baselineRequests
}

// newRateTest compares a baseline failure rate with one that is factor times as high.
func newRateTest(baselineRate, factor float64) sprt.Test {
	return sprt.NewTest(baselineRate, factor, sprt.Bounds{MaxBadRate: maxBadRate, MinRatio: minRateRatio})
}

// latencyWindow is how many answers the median is taken of.
func (a *releaseAnalyzer) latencyWindow() int {
	if a.isEvaluator {
		return panelLatencyWindow
	}
	return latencyWindowSize
}

// recordLatency compares an answer with its class's baseline.
func (a *releaseAnalyzer) recordLatency(outcome attemptOutcome) {
	class, elapsed := outcome.class, float64(outcome.Elapsed)
	if a.isBaselinePeriod() {
		a.baselineAnswers[class]++
		weight := max(baselineWeight, 1/a.baselineAnswers[class])
		a.baselineLatency[class] = stats.MovingMean(a.baselineLatency[class], elapsed, weight)
	}
	if a.baselineAnswers[class] >= minOutcomes {
		a.relativeLatencies = append(a.relativeLatencies, elapsed/a.baselineLatency[class])
		a.relativeLatencies = a.relativeLatencies[max(0, len(a.relativeLatencies)-a.latencyWindow()):]
	}
}

func (a *releaseAnalyzer) recordOnTime(isOnTime bool) {
	onTime := stats.Indicator(isOnTime)
	a.completedOnTime += onTime
	a.onTimeShare = stats.MovingMean(a.onTimeShare, onTime, canaryShareWeight)
	if a.isBaselinePeriod() {
		a.baselineOnTimeShare = a.onTimeShare
	}
}

// updateRates measures what was completed and begun since the last tick, now and in the baseline. It returns the time since the
// last tick, the warm capacity and the median of the last answers.
func (a *releaseAnalyzer) updateRates() (elapsed, capacity, median float64) {
	capacity = a.endpoints.warmCapacity()
	age := float64(a.now-a.startedAt) + 1
	elapsed = float64(a.now - a.lastTickAt)
	rate := a.completedOnTime / max(1, elapsed)
	weight := min(1, max(elapsed/float64(completionWindow), elapsed/age))
	if !a.usesReports() {
		a.arrivalRate = stats.MovingMean(a.arrivalRate, a.finishedAttempts/max(1, elapsed), weight)
	}
	a.completedOnTime, a.finishedAttempts, a.lastTickAt = 0, 0, a.now
	a.completionRate = stats.MovingMean(a.completionRate, rate, weight)
	if len(a.relativeLatencies) == a.latencyWindow() {
		median = stats.Median(a.relativeLatencies)
		if a.baselineMedian == 0 {
			a.baselineMedian = median
		}
	}
	if a.isBaselinePeriod() {
		weight = min(1, max(elapsed/float64(baselineWindow), elapsed/age))
		a.updateBaseline(rate, capacity, median, weight)
	}
	return elapsed, capacity, median
}

func (a *releaseAnalyzer) updateBaseline(rate, capacity, median, weight float64) {
	a.baselineCompletionRate = stats.MovingMean(a.baselineCompletionRate, rate, weight)
	a.baselineArrivalRate = stats.MovingMean(a.baselineArrivalRate, a.arrivalRate, weight)
	a.baselineCapacity = stats.MovingMean(a.baselineCapacity, capacity, weight)
	if median > 0 {
		a.baselineMedian = stats.MovingMean(a.baselineMedian, median, weight)
	}
}
