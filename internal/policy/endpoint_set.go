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
	minLimitPerCore   float64 // this agent's lowest concurrency limit for one core
	warmConcurrency   float64 // requests that a warm endpoint serves concurrently; 1 unless load reports show more
	overloadDigest    []byte  // the endpoints that the evaluators last reported as overloaded
	digestReceivedAt  Micros
	hasWeights        bool    // the list gives the endpoints' capacities
	meanCapacity      float64 // requests per second that an endpoint can serve, by load reports; 0: not known
	zoneCount         int     // zones seen in the list so far
	pointsPerEndpoint int     // number of points of each endpoint on the ring
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

// forwardTick passes a tick to the endpoints that were ejected or have recent attempts, because both conditions expire.
func (s *endpointSet) forwardTick(msg tick) {
	for _, e := range s.all {
		if e.ejectedUntil > 0 || len(e.recentAttempts) > 0 {
			e.enqueue(msg)
		}
	}
}

// update adds and removes records according to the list, and sends each endpoint its entry. The record of an endpoint that
// leaves is removed with the next list, because the record still has to process its last entry.
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

// newestStart returns the latest start among a build's ready endpoints, or a time long ago if there are none.
func (s *endpointSet) newestStart(build int) Micros {
	newest := Micros(math.MinInt64 / 2) // halved, so that subtracting it from a time does not overflow
	for e := range s.readyWith(build) {
		newest = max(newest, e.Started)
	}
	return newest
}

// highestBuild returns the highest build of any ready endpoint, leaving out the builds in except.
func (s *endpointSet) highestBuild(except map[int]bool) int {
	highest := 0
	for _, e := range s.all {
		if e.isReady() && !except[e.Build] {
			highest = max(highest, e.Build)
		}
	}
	return highest
}

// readyCount returns the number of a build's ready endpoints.
func (s *endpointSet) readyCount(build int) int {
	count := 0
	for range s.readyWith(build) {
		count++
	}
	return count
}

// warmCapacity returns the sum of the warm-up factors of the ready endpoints that are not ejected.
func (s *endpointSet) warmCapacity() float64 {
	capacity := 0.0
	for _, e := range s.all {
		if e.isReady() && !e.isEjected() {
			capacity += e.warmUpFactor()
		}
	}
	return capacity
}

// meanWarmUpFactor returns the mean warm-up factor of a build's ready endpoints, or 1 if there are none.
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

// endpointsPerAgent returns the number of a zone's ready endpoints divided by the number of agents.
func (s *endpointSet) endpointsPerAgent(zone, agents int) float64 {
	count := 0
	for _, e := range s.all {
		if e.isReady() && e.Zone == zone {
			count++
		}
	}
	return float64(count) / float64(agents)
}

// totalLoad returns the number of all agents' requests in flight at ready endpoints, and the capacity of these endpoints.
func (s *endpointSet) totalLoad() (inFlight, capacity float64) {
	for _, e := range s.all {
		if e.isReady() {
			inFlight += e.totalInFlight
			capacity += e.capacity()
		}
	}
	return inFlight, capacity
}

// openAttempts returns the sums of this agent's attempts in flight and of its concurrency limits, over the ready endpoints that
// are not ejected.
func (s *endpointSet) openAttempts() (inFlight, limit float64) {
	for _, e := range s.all {
		if e.isReady() && !e.isEjected() {
			inFlight += float64(e.inFlight)
			limit += e.limit.Value
		}
	}
	return inFlight, limit
}
