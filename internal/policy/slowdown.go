package policy

import "switchfork/internal/stats"

// A slowdown is told from other changes by several signs together. More traffic lowers the share on time and raises the
// completions, less traffic lowers only the completions.
const (
	slowdownFactor       = 1.3  // times the baseline's median latency: with slowdownCompletions, for an evaluator also alone
	slowdownCompletions  = 0.8  // of the baseline's rate on time
	farLessOnTime        = 0.6  // of the baseline's share on time, with fewerCompletions
	lessOnTime           = 0.85 // of the baseline's share on time, with collapsedCompletions
	fewerCompletions     = 0.85 // of the baseline's rate on time
	collapsedCompletions = 0.5  // of the baseline's rate on time: need not be told apart from other faults
	isolatedSlowdown     = 1.6  // times the baseline's median latency: needs no drop
	isolatedWeight       = 0.7  // of the time of an isolated slowdown
	wholeFleetShare      = 0.85 // of the baseline's warm capacity; with less the others are slow for that reason
	slowdownRecovery     = 4.0  // µs of slow time that are taken off for each µs without a slowdown
	minBaselineMedian    = 1e-9 // so that it can be divided by
)

// Where the outcomes of all agents are known, a slowdown with a certain canary share and without more arrivals came with the
// build.
const (
	stepCanaryShare   = 0.1
	stepArrivalFactor = 1.2 // times the baseline's attempts
	stepWeight        = 3.0 // of the time of such a slowdown
)

const (
	completionWindow  = 3 * second  // that rates are averaged over
	baselineWindow    = 10 * second // that the baseline's rates are averaged over
	canaryShareWeight = 0.02        // of one outcome
	onTimeShareWeight = 0.02        // of one outcome
)

// slowdownDetector decides for how long the fleet has been slow since a release began: a build may slow old and new builds alike.
// It compares the median latency, the rate of requests on time and their share with the baseline, the time before the release. A
// good build may be held responsible for a long overload of the fleet. The analyzer feeds it; the voter asks.
type slowdownDetector struct {
	release    *releaseState
	endpoints  *endpointSet
	evaluators *evaluatorGroup
	reports    *controllerReports
	latencies  latencyComparison

	completedOnTime        float64 // requests since the last tick
	completionRate         float64 // requests on time a µs
	baselineCompletionRate float64
	onTimeShare            float64
	baselineOnTimeShare    float64
	finishedAttempts       float64 // of all that ended since the last tick
	arrivalRate            float64 // of these a µs, or a report's requests
	baselineArrivalRate    float64
	baselineCapacity       float64 // warm endpoints
	canaryShare            float64 // of the traffic
	lastTickAt             Micros

	slowTime float64 // µs, weighted, that the fleet has been slow
	// ratio compares latencies with those of the baseline, 0 where that is not known: an evaluator's median of relative latencies
	// with the baseline's median, the controller's mean latencies with the baseline's means, or else an agent's median of relative
	// latencies alone.
	ratio float64
}

// tickMeasurement is what a tick measures.
type tickMeasurement struct {
	elapsed  float64 // µs since the last tick
	rate     float64 // requests on time a µs
	capacity float64 // warm endpoints
	median   float64 // relative latency; 0: not known
}

func newSlowdownDetector(
	release *releaseState, endpoints *endpointSet, evaluators *evaluatorGroup, reports *controllerReports, classCount int,
) *slowdownDetector {
	return &slowdownDetector{
		release:             release,
		endpoints:           endpoints,
		evaluators:          evaluators,
		reports:             reports,
		latencies:           newLatencyComparison(classCount, evaluators.isMember),
		onTimeShare:         1,
		baselineOnTimeShare: 1,
	}
}

// isBaselinePeriod reports whether what is measured now belongs to the baseline.
func (s *slowdownDetector) isBaselinePeriod() bool {
	return s.slowTime == 0 && (s.release.build == 0 || s.release.isEstablished())
}

func (s *slowdownDetector) recordFinishedAttempt() { s.finishedAttempts++ }

func (s *slowdownDetector) recordLatency(class int, elapsed Micros) {
	if s.isBaselinePeriod() {
		s.latencies.addToBaseline(class, float64(elapsed))
	}
	s.latencies.add(class, float64(elapsed))
}

func (s *slowdownDetector) recordOnTime(isOnTime bool) {
	onTime := stats.Indicator(isOnTime)
	s.completedOnTime += onTime
	s.onTimeShare = stats.MovingMean(s.onTimeShare, onTime, onTimeShareWeight)
	if s.isBaselinePeriod() {
		s.baselineOnTimeShare = s.onTimeShare
	}
}

// recordBuild counts an outcome for the canary's share of the traffic.
func (s *slowdownDetector) recordBuild(build int) {
	if build == s.release.build {
		s.canaryShare += canaryShareWeight
	}
	s.canaryShare *= 1 - canaryShareWeight
}

// update measures the time since the last tick and adds it to the slow time, by the build's share of the traffic.
func (s *slowdownDetector) update() {
	measured := s.measure()
	isFleetWhole := measured.capacity >= wholeFleetShare*s.baselineCapacity
	weight := s.canaryShare // before reports replace it: the share of the time that has passed
	s.ratio = measured.median
	if s.evaluators.isMember { // it gets enough outcomes to compare medians
		s.ratio = measured.median / max(s.latencies.baselineMedian, minBaselineMedian)
	} else if s.reports.areUsed() {
		s.ratio = s.reports.slowdown
		s.canaryShare = s.reports.canaryShare
	}
	if !isFleetWhole {
		s.ratio = 0
	}
	if s.isStep() {
		weight = stepWeight
	}
	s.addSlowTime(measured.elapsed*weight, measured.elapsed, isFleetWhole)
}

// addSlowTime adds the weighted time of a tick where the fleet is slow, or forgets some where it is not.
func (s *slowdownDetector) addSlowTime(weighted, elapsed float64, isFleetWhole bool) {
	switch {
	case s.hasFewerCompletions(isFleetWhole):
		s.slowTime += weighted
	case s.ratio >= isolatedSlowdown:
		s.slowTime += weighted * isolatedWeight
	default:
		s.slowTime = max(0, s.slowTime-slowdownRecovery*elapsed)
	}
}

// isStep reports whether a slowdown would have come with the build.
func (s *slowdownDetector) isStep() bool {
	knowsAllOutcomes := s.evaluators.isMember || s.reports.areUsed()
	hasMoreArrivals := s.arrivalRate >= stepArrivalFactor*s.baselineArrivalRate
	return knowsAllOutcomes && s.canaryShare >= stepCanaryShare && !hasMoreArrivals
}

// hasFewerCompletions reports whether fewer requests are completed on time for another reason than traffic that ends.
func (s *slowdownDetector) hasFewerCompletions(isFleetWhole bool) bool {
	if s.ratio >= slowdownFactor && s.isCompletionBelow(slowdownCompletions) {
		return true
	}
	isLessOnTime := s.onTimeShare < lessOnTime*s.baselineOnTimeShare
	if isLessOnTime && s.isCompletionBelow(collapsedCompletions) {
		return true
	}
	return isFleetWhole && s.isFarLessOnTime() && s.isCompletionBelow(fewerCompletions)
}

func (s *slowdownDetector) isCompletionBelow(share float64) bool {
	return s.completionRate < share*s.baselineCompletionRate
}

func (s *slowdownDetector) isFarLessOnTime() bool {
	return s.onTimeShare < farLessOnTime*s.baselineOnTimeShare
}

// measure takes what was completed and begun since the last tick, and moves the rates by it.
func (s *slowdownDetector) measure() tickMeasurement {
	elapsed := float64(s.release.now - s.lastTickAt)
	measured := tickMeasurement{
		elapsed:  elapsed,
		rate:     s.completedOnTime / max(1, elapsed),
		capacity: s.endpoints.warmCapacity(),
		median:   s.latencies.median(),
	}
	weight := s.tickWeight(elapsed, completionWindow)
	if !s.reports.areUsed() {
		s.arrivalRate = stats.MovingMean(s.arrivalRate, s.finishedAttempts/max(1, elapsed), weight)
	}
	s.completionRate = stats.MovingMean(s.completionRate, measured.rate, weight)
	s.completedOnTime = 0
	s.finishedAttempts = 0
	s.lastTickAt = s.release.now
	if s.isBaselinePeriod() {
		s.moveBaseline(measured)
	}
	return measured
}

// tickWeight is a tick's weight in a mean over a window, or over the time since the start while that is shorter.
func (s *slowdownDetector) tickWeight(elapsed float64, window Micros) float64 {
	age := float64(s.release.now-s.release.startedAt) + 1
	return min(1, max(elapsed/float64(window), elapsed/age))
}

func (s *slowdownDetector) moveBaseline(measured tickMeasurement) {
	weight := s.tickWeight(measured.elapsed, baselineWindow)
	s.baselineCompletionRate = stats.MovingMean(s.baselineCompletionRate, measured.rate, weight)
	s.baselineArrivalRate = stats.MovingMean(s.baselineArrivalRate, s.arrivalRate, weight)
	s.baselineCapacity = stats.MovingMean(s.baselineCapacity, measured.capacity, weight)
	s.latencies.addMedianToBaseline(measured.median, weight)
}
