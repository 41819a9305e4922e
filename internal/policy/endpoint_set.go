package policy

import (
	"math"
	"slices"
)

// endpointSet keeps one record for each endpoint of the list.
type endpointSet struct {
	messageQueue
	*sharedState
	byID              map[uint32]*endpointRecord
	all               []*endpointRecord
	healthChecks      bool
	slowStart         SlowStart
	minLimitPerCore   float64 // the lowest concurrency limit of one core
	warmConcurrency   float64 // requests that a warm endpoint serves at one time: one where no report shows more
	overloadDigest    []byte  // the endpoints that the evaluators last called overloaded
	digestReceivedAt  Micros
	hasWeights        bool    // the list has the endpoints' capacities
	meanCapacity      float64 // requests a second that an endpoint can serve, by the reports; 0: not known
	zoneCount         int     // zones seen in the list so far
	pointsPerEndpoint int     // on the ring
	ringSalt          uint64
}

func newEndpointSet(shared *sharedState, config Config) *endpointSet {
	return &endpointSet{
		sharedState:       shared,
		byID:              map[uint32]*endpointRecord{},
		healthChecks:      config.Capabilities.HealthChecks,
		slowStart:         config.SlowStart,
		hasWeights:        config.Instance.HasWeights,
		pointsPerEndpoint: pointsPerEndpoint,
		ringSalt:          ringSalt,
		warmConcurrency:   1,
		minLimitPerCore:   minLimitPerCore(config.Instance.Agents),
	}
}

func (s *endpointSet) receive(msg message) {
	switch msg := msg.(type) {
	case EndpointUpdate:
		s.update(msg)
	case tick:
		s.forwardTick(msg)
	case HealthCheckResult:
		if e := s.byID[msg.EndpointID]; e != nil {
			e.enqueue(msg)
		}
	}
}

// forwardTick passes a tick on to the endpoints that wait for a time.
func (s *endpointSet) forwardTick(msg tick) {
	for _, e := range s.all {
		if e.ejectedUntil > 0 || len(e.recentAttempts) > 0 {
			e.enqueue(msg)
		}
	}
}

// update adds and removes records as the list says, and sends each endpoint its own entry. An endpoint that leaves has its entry
// still to process, so its record goes with the next list.
func (s *endpointSet) update(list EndpointUpdate) {
	if list.Full {
		for _, e := range s.all {
			e.inList = false
		}
	}
	for _, entry := range list.Endpoints {
		e := s.byID[entry.ID]
		if e == nil {
			e = s.add(entry.ID)
		}
		e.inList = true
		s.zoneCount = max(s.zoneCount, entry.Zone+1)
		e.enqueue(entry)
	}
	for _, e := range s.all {
		if !e.inList && e.State != Gone {
			entry := e.Endpoint
			entry.State = Gone
			e.enqueue(entry)
		}
	}
	s.removeGone()
}

func (s *endpointSet) add(id uint32) *endpointRecord {
	e := &endpointRecord{
		sharedState:  s.sharedState,
		endpoints:    s,
		healthChecks: s.healthChecks,
		slowStart:    s.slowStart,
		ringPoints:   endpointPoints(id, s.pointsPerEndpoint, s.ringSalt),
	}
	s.byID[id] = e
	s.all = append(s.all, e)
	return e
}

func (s *endpointSet) removeGone() {
	s.all = slices.DeleteFunc(s.all, func(e *endpointRecord) bool {
		if e.State != Gone || e.hasUnfinishedWork() {
			return false
		}
		delete(s.byID, e.ID)
		return true
	})
}

// readyWith iterates over the ready endpoints of a build, in the order in which they were added.
func (s *endpointSet) readyWith(build int) func(yield func(*endpointRecord) bool) {
	return func(yield func(*endpointRecord) bool) {
		for _, e := range s.all {
			if e.isReady() && e.Build == build && !yield(e) {
				return
			}
		}
	}
}

// newestStart is the last start among a build's ready endpoints, long ago where there are none.
func (s *endpointSet) newestStart(build int) Micros {
	newest := Micros(math.MinInt64 / 2) // so that a difference to it does not overflow
	for e := range s.readyWith(build) {
		newest = max(newest, e.Started)
	}
	return newest
}

// highestBuild is the highest build that is ready on any endpoint, but for the excepted ones.
func (s *endpointSet) highestBuild(except map[int]bool) int {
	highest := 0
	for _, e := range s.all {
		if e.isReady() && !except[e.Build] {
			highest = max(highest, e.Build)
		}
	}
	return highest
}

// readyCount is the number of a build's ready endpoints.
func (s *endpointSet) readyCount(build int) int {
	count := 0
	for range s.readyWith(build) {
		count++
	}
	return count
}

// warmCapacity is the number of ready endpoints that are not ejected, each counted by its warm-up factor.
func (s *endpointSet) warmCapacity() float64 {
	capacity := 0.0
	for _, e := range s.all {
		if e.isReady() && !e.isEjected() {
			capacity += e.warmUpFactor()
		}
	}
	return capacity
}

// meanWarmUpFactor is the mean over a build's ready endpoints, 1 where there are none.
func (s *endpointSet) meanWarmUpFactor(build int) float64 {
	sum := 0.0
	count := 0.0
	for e := range s.readyWith(build) {
		sum += e.warmUpFactor()
		count++
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

// endpointsPerAgent is this agent's share of a zone's ready endpoints, were all agents alike.
func (s *endpointSet) endpointsPerAgent(zone, agents int) float64 {
	count := 0
	for _, e := range s.all {
		if e.isReady() && e.Zone == zone {
			count++
		}
	}
	return float64(count) / float64(agents)
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
		if e.isReady() && !e.isEjected() {
			inFlight += float64(e.inFlight)
			limit += e.limit.Value
		}
	}
	return inFlight, limit
}
