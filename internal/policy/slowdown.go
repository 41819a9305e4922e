package policy

import "switchfork/internal/stats"

// Several signs together tell a slowdown from other changes. More traffic lowers the share of requests on time but raises the
// completion rate; less traffic lowers only the completion rate. The completion rate counts the requests on time.
//
// So a latency ratio of at least slowdownFactor counts only with a completion rate below slowdownCompletions. A share of requests
// on time below farLessOnTime counts only with a completion rate below fewerCompletions, and a share below lessOnTime only with a
// rate below collapsedCompletions. An evaluator pauses a stage for slowdownFactor or farLessOnTime alone.
const (
	slowdownFactor       = 1.3  // multiple of the baseline's median latency
	slowdownCompletions  = 0.8  // fraction of the baseline's completion rate
	farLessOnTime        = 0.6  // fraction of the baseline's share of requests on time
	lessOnTime           = 0.85 // fraction of the baseline's share of requests on time
	fewerCompletions     = 0.85 // fraction of the baseline's completion rate
	collapsedCompletions = 0.5  // fraction of the baseline's completion rate; so low that lost capacity need not be ruled out
	isolatedSlowdown     = 1.6  // multiple of the baseline's median latency that counts without a drop in completions
	isolatedWeight       = 0.7  // factor on the duration of an isolated slowdown
	completeFleetShare   = 0.85 // fraction of the baseline's warm capacity; below it, lost capacity is the reason for slow endpoints
	slowdownRecovery     = 4.0  // µs of slow time that are subtracted for each µs without a slowdown
	minBaselineMedian    = 1e-9 // avoids a division by 0
)

// Where the outcomes of all agents are known, a slowdown is attributed to the build if the canary has enough of the traffic and
// arrivals have not increased.
const (
	stepCanaryShare   = 0.1 // lowest canary share of the traffic
	stepArrivalFactor = 1.2 // multiple of the baseline's arrival rate from which on more traffic may be the reason for a slowdown
	stepWeight        = 3.0 // factor on the duration of such a slowdown
)

const (
	completionWindow  = 3 * second  // window of the moving means of the arrival rate and the completion rate
	baselineWindow    = 10 * second // window of the moving means of the baseline's rates, capacity and median relative latency
	canaryShareWeight = 0.02        // weight of one outcome in the moving mean canaryShare
	onTimeShareWeight = 0.02        // weight of one outcome in the moving mean onTimeShare
)

// slowdownDetector measures for how long the fleet has been slow since a release began, as a build may slow down endpoints with
// old and new builds alike. It compares the median latency, the rate of requests on time and their share of all requests with the
// baseline, which is the time before the release. A long overload of the fleet may be attributed to a good build. The analyzer adds
// the measurements; the voter reads the result.
type slowdownDetector struct {
	release    *releaseState
	endpoints  *endpointSet
	evaluators *evaluatorGroup
	reports    *controllerReports
	latencies  latencyComparison

	completedOnTime        float64 // requests that were answered on time since the last tick
	completionRate         float64 // requests on time per µs
	baselineCompletionRate float64
	onTimeShare            float64
	baselineOnTimeShare    float64
	finishedAttempts       float64 // attempts of this agent and its peers that ended since the last tick
	arrivalRate            float64 // finished attempts per µs; with controller reports, the requests of the last interval
	baselineArrivalRate    float64
	baselineCapacity       float64 // in warm endpoints
	canaryShare            float64 // the canary's share of the traffic
	lastTickAt             Micros

	slowTime float64 // weighted time, in µs, for which the fleet has been slow
	// latencyRatio compares latencies with those of the baseline; 0: unknown. On an evaluator it is the median of the relative
	// latencies over the baseline's median. With controller reports it is the mean latency over the baseline's. Otherwise it is
	// the median of the relative latencies alone.
	latencyRatio float64
}

// tickMeasurement is what is measured at one tick.
type tickMeasurement struct {
	elapsed  float64 // µs since the last tick
	rate     float64 // requests on time per µs
	capacity float64 // in warm endpoints
	median   float64 // median relative latency; 0: unknown
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

// isBaselinePeriod reports whether current measurements belong to the baseline.
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

// recordBuild counts an outcome of a build towards the canary's share of the traffic.
func (s *slowdownDetector) recordBuild(build int) {
	if build == s.release.build {
		s.canaryShare += canaryShareWeight
	}
	s.canaryShare *= 1 - canaryShareWeight
}

// update measures the time since the last tick and adds it to the slow time if the fleet is slow. The time is weighted by the
// canary's share of the traffic, or by stepWeight if the slowdown is attributed to the build.
func (s *slowdownDetector) update() {
	measured := s.measure()
	isFleetComplete := measured.capacity >= completeFleetShare*s.baselineCapacity
	weight := s.canaryShare // the share during the elapsed time, read before reports replace it
	s.latencyRatio = measured.median
	if s.evaluators.isMember { // an evaluator gets enough outcomes to compare medians
		s.latencyRatio = measured.median / max(s.latencies.baselineMedian, minBaselineMedian)
	} else if s.reports.areUsed() {
		s.latencyRatio = s.reports.relativeLatency
		s.canaryShare = s.reports.canaryShare
	}
	if !isFleetComplete {
		s.latencyRatio = 0
	}
	if s.isStep() {
		weight = stepWeight
	}
	s.addSlowTime(measured.elapsed*weight, measured.elapsed, isFleetComplete)
}

// addSlowTime adds the weighted time of a tick to the slow time if the fleet is slow, and lowers the slow time if it is not.
func (s *slowdownDetector) addSlowTime(weighted, elapsed float64, isFleetComplete bool) {
	switch {
	case s.hasFewerCompletions(isFleetComplete):
		s.slowTime += weighted
	case s.latencyRatio >= isolatedSlowdown:
		s.slowTime += weighted * isolatedWeight
	default:
		s.slowTime = max(0, s.slowTime-slowdownRecovery*elapsed)
	}
}

// isStep reports whether a slowdown, if there is one, is attributed to the build.
func (s *slowdownDetector) isStep() bool {
	knowsAllOutcomes := s.evaluators.isMember || s.reports.areUsed()
	hasMoreArrivals := s.arrivalRate >= stepArrivalFactor*s.baselineArrivalRate
	return knowsAllOutcomes && s.canaryShare >= stepCanaryShare && !hasMoreArrivals
}

// hasFewerCompletions reports whether fewer requests are completed on time, for another reason than less traffic.
func (s *slowdownDetector) hasFewerCompletions(isFleetComplete bool) bool {
	if s.latencyRatio >= slowdownFactor && s.isCompletionBelow(slowdownCompletions) {
		return true
	}
	isLessOnTime := s.onTimeShare < lessOnTime*s.baselineOnTimeShare
	if isLessOnTime && s.isCompletionBelow(collapsedCompletions) {
		return true
	}
	return isFleetComplete && s.isFarLessOnTime() && s.isCompletionBelow(fewerCompletions)
}

func (s *slowdownDetector) isCompletionBelow(share float64) bool {
	return s.completionRate < share*s.baselineCompletionRate
}

func (s *slowdownDetector) isFarLessOnTime() bool {
	return s.onTimeShare < farLessOnTime*s.baselineOnTimeShare
}

// measure returns the measurements since the last tick and updates the moving rates with them.
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

// tickWeight returns the weight of a tick in a mean over a window, or over the time since the start while that is shorter.
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
