package policy

import (
	"cmp"
	"math"
	"slices"

	"switchfork/internal/aimd"
	"switchfork/internal/stats"
)

// enqueue also queues the endpoint for the loop, so that emptying the mailboxes does not cost a look at each endpoint.
func (e *endpointRecord) enqueue(msg message) {
	e.mailbox.enqueue(msg)
	if !e.isQueued {
		e.isQueued = true
		e.pendingEndpoints = append(e.pendingEndpoints, e)
	}
}

func (e *endpointRecord) isReady() bool { return e.State == Ready }

// minLimit is the lowest concurrency limit: of all agents together, one open attempt a core.
func (e *endpointRecord) minLimit() float64 {
	return e.endpoints.minLimitPerCore * e.endpoints.warmConcurrency
}

func (e *endpointRecord) receive(msg message) {
	switch msg := msg.(type) {
	case Endpoint:
		isNew := msg.Started != e.Started || msg.Build != e.Build || e.limit.Value == 0
		if isNew || msg.State == Gone {
			e.endpointHealth = endpointHealth{limit: aimd.Limit{Value: initialLimit}}
			e.recentAttempts = nil
		}
		e.Endpoint = msg
	case attemptStarted:
		e.startAttempt(msg)
	case attemptSent:
		e.totalInFlight++
	case attemptOutcome:
		e.updateTotalInFlight(msg.reportedInFlight)
		if !msg.fromPeer {
			e.inFlight, e.waitingSince = max(0, e.inFlight-1), e.now
			e.updateHealth(msg)
		}
	case evidence:
		e.addEvidence(msg)
	case tick:
		for len(e.recentAttempts) > 0 && e.recentAttempts[0].sentAt <= e.now-e.slowStart.OverloadAfter {
			e.recentAttempts = e.recentAttempts[1:]
		}
		e.startHealthCheck()
	case HealthCheckResult:
		e.healthCheckDone(msg.Outcome)
	}
}

func (e *endpointRecord) startAttempt(attempt attemptStarted) {
	e.lastObjective = attempt.latencyObjective
	if e.inFlight == 0 {
		e.waitingSince = e.now
	}
	e.inFlight++
	e.recentAttempts = append(e.recentAttempts, recentAttempt{e.now, attempt.cost})
}

func (e *endpointRecord) addEvidence(step evidence) {
	e.latenessRatio = max(e.latenessRatio+step.latenessStep, -decisionThreshold-1)
	if step.failureStep != 0 {
		e.failureRatio = max(e.failureRatio+step.failureStep, step.minRatio)
		e.failureCusum = max(0, e.failureCusum+step.failureStep)
	}
	if step.latenessStep != 0 {
		e.flooredLateness = max(e.flooredLateness+step.latenessStep, step.minRatio)
	}
	e.hasEvidence = e.hasEvidence || step.failureStep != 0 || step.latenessStep != 0
	if step.reset {
		e.failureRatio, e.failureCusum, e.latenessRatio, e.flooredLateness = 0, 0, 0, 0
		e.hasEvidence = false
	}
}

func (s *endpointSet) receive(msg message) {
	switch msg := msg.(type) {
	case EndpointUpdate:
		s.update(msg)
	case tick:
		for _, e := range s.all {
			if e.ejectedUntil > 0 || len(e.recentAttempts) > 0 { // the others wait for nothing
				e.enqueue(msg)
			}
		}
	case HealthCheckResult:
		if e := s.byID[msg.EndpointID]; e != nil {
			e.enqueue(msg)
		}
	}
}

// update adds and removes records as the list says, and sends each endpoint its own entry.
func (s *endpointSet) update(list EndpointUpdate) {
	for _, e := range s.all {
		e.inList = e.inList && !list.Full
	}
	for _, row := range list.Endpoints {
		e := s.byID[row.ID]
		if e == nil {
			e = &endpointRecord{
				runtime: s.runtime, endpoints: s, healthChecks: s.healthChecks, slowStart: s.slowStart,
				ringPoints: endpointPoints(row.ID, s.pointsPerEndpoint, s.ringSalt),
			}
			s.byID[row.ID], s.all = e, append(s.all, e)
		}
		e.inList = true
		s.zoneCount = max(s.zoneCount, row.Zone+1)
		e.enqueue(row)
	}
	for _, e := range s.all {
		if row := e.Endpoint; !e.inList && e.State != Gone {
			row.State = Gone
			e.enqueue(row)
		}
	}
	s.all = slices.DeleteFunc(s.all, func(e *endpointRecord) bool {
		if e.State != Gone || e.inFlight > 0 || e.isQueued {
			return false // a result is still to come, or a message waits
		}
		delete(s.byID, e.ID)
		return true
	})
}

// newestStart is the last start among a build's ready endpoints.
func (s *endpointSet) newestStart(build int) Micros {
	newest := Micros(math.MinInt64 / 2)
	for _, e := range s.all {
		if e.isReady() && e.Build == build {
			newest = max(newest, e.Started)
		}
	}
	return newest
}

// highestBuild is the highest build that is ready on any endpoint, but for the excepted ones.
func (s *endpointSet) highestBuild(except map[int]bool) (top int) {
	for _, e := range s.all {
		if e.isReady() && !except[e.Build] {
			top = max(top, e.Build)
		}
	}
	return top
}

// readyCount is the number of a build's ready endpoints.
func (s *endpointSet) readyCount(build int) (n int) {
	for _, e := range s.all {
		n += stats.Count(e.isReady() && e.Build == build)
	}
	return n
}

// isEarlierBuildFailing tells whether a ready endpoint with an earlier build has more than the given error rate.
func (s *endpointSet) isEarlierBuildFailing(build int, errorRate float64) bool {
	for _, e := range s.all {
		if e.isReady() && e.Build < build && e.errorRate > errorRate {
			return true
		}
	}
	return false
}

// warmCapacity is the number of ready endpoints that are not ejected, each counted by its warm-up factor.
func (s *endpointSet) warmCapacity() (n float64) {
	for _, e := range s.all {
		if e.isReady() && e.now >= e.ejectedUntil {
			n += e.warmUpFactor()
		}
	}
	return n
}

// meanWarmUpFactor is the mean over a build's ready endpoints, 1 where there are none.
func (s *endpointSet) meanWarmUpFactor(build int) float64 {
	sum, n := 0.0, 0.0
	for _, e := range s.all {
		if e.isReady() && e.Build == build {
			sum, n = sum+e.warmUpFactor(), n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// updateMeanCapacity adds one sample to the mean, which begins with the first one.
func (s *endpointSet) updateMeanCapacity(capacity, weight float64) {
	if s.meanCapacity == 0 {
		s.meanCapacity = capacity
	}
	s.meanCapacity = stats.MovingMean(s.meanCapacity, capacity, weight)
}

// endpointsPerAgent is this agent's share of a zone's ready endpoints, were all agents alike.
func (s *endpointSet) endpointsPerAgent(zone, agents int) (n float64) {
	for _, e := range s.all {
		n += stats.Indicator(e.isReady() && e.Zone == zone)
	}
	return n / float64(agents)
}

// evidenceCount is the number of ready endpoints with the same build that have evidence, the given one among them.
func (s *endpointSet) evidenceCount(of *endpointRecord) (n int) {
	for _, e := range s.all {
		n += stats.Count(e == of || e.hasEvidence && e.isReady() && e.Build == of.Build)
	}
	return n
}

// withEvidence returns a build's ready endpoints that have evidence. Where endpoints with an earlier build fail too, it leaves
// out those with an elevated error rate.
func (s *endpointSet) withEvidence(build int, earlierFailing bool) (found []*endpointRecord) {
	for _, e := range s.all {
		isSuspect := earlierFailing && e.errorRate > elevatedErrorRate
		if e.isReady() && e.Build == build && e.hasEvidence && !isSuspect {
			found = append(found, e)
		}
	}
	return found
}

// oldestWithEvidence returns the endpoints with evidence in order of their start, without those whose start is not known.
func (s *endpointSet) oldestWithEvidence(build int, earlierFailing bool) []*endpointRecord {
	found := s.withEvidence(build, earlierFailing)
	found = slices.DeleteFunc(found, func(e *endpointRecord) bool { return e.Started <= 0 })
	slices.SortStableFunc(found, func(a, b *endpointRecord) int { return cmp.Compare(a.Started, b.Started) })
	return found
}

// endpointEvidence is the evidence of several endpoints, one figure each.
type endpointEvidence struct {
	failure, lateness, flooredLateness []float64
	combined                           []float64
	failingEndpoints                   int
}

// collectEvidence counts an endpoint as failing from the given cumulative sum on.
func collectEvidence(endpoints []*endpointRecord, failingCusum float64) (seen endpointEvidence) {
	for _, e := range endpoints {
		seen.failure = append(seen.failure, e.failureRatio)
		seen.lateness = append(seen.lateness, e.latenessRatio)
		seen.flooredLateness = append(seen.flooredLateness, e.flooredLateness)
		seen.combined = append(seen.combined, e.combinedRatio())
		seen.failingEndpoints += stats.Count(e.failureCusum >= failingCusum)
	}
	return seen
}

// totalLoad is what all ready endpoints have in flight of all agents, and their capacity.
func (s *endpointSet) totalLoad() (inFlight, capacity float64) {
	for _, e := range s.all {
		if e.isReady() {
			inFlight += e.totalInFlight
			capacity += e.capacity()
		}
	}
	return inFlight, capacity
}

// openAttempts sums up this agent's attempts in flight, and the limits, over ready endpoints that are not ejected.
func (s *endpointSet) openAttempts() (inFlight, limit float64) {
	for _, e := range s.all {
		if e.isReady() && e.now >= e.ejectedUntil {
			inFlight += float64(e.inFlight)
			limit += e.limit.Value
		}
	}
	return inFlight, limit
}
