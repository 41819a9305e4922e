package policy

import "math"

const (
	// loadBound is the highest load of an endpoint relative to the mean load, as in consistent hashing with bounded loads.
	loadBound = 1.25
	// crossZoneFactor times crossZoneCost is the relative increase of the distance to endpoints in other zones, which shrinks
	// the segments of these endpoints on the ring.
	crossZoneFactor = 40.0
	// penaltyFactor multiplies the distance to an endpoint that is loaded, reported as overloaded or already tried, so that nearly
	// all other endpoints are preferred.
	penaltyFactor = 1 << 20
)

// endpointSelector decides to which endpoint of a build rank a request goes. It uses a consistent-hash ring with bounded loads,
// whose segments are scaled by capacity, and prefers endpoints in the agent's own zone. The dispatcher calls it for each rank
// that a request tries.
type endpointSelector struct {
	endpoints     *endpointSet
	builds        *buildSelector
	rules         *attemptRules
	budget        *slowStartBudget
	zones         *zoneLimits
	ownZone       int
	crossZoneCost float64 // cost of an attempt in another zone, as a part of the result
}

// candidateSet holds the endpoints that a request may go to, with the sums of their capacities and of this agent's attempts in
// flight at them.
type candidateSet struct {
	endpoints []*endpointRecord
	inFlight  float64
	capacity  float64
}

// pick returns the candidate of a rank that is nearest on the ring, or nil if there is none.
func (s *endpointSelector) pick(req *request, rank buildRank) *endpointRecord {
	if !s.rules.mayStartAttempt(req) || !s.zones.anyOpen() || !s.endpoints.hasFreeConcurrency() {
		return nil
	}
	candidates := s.candidates(req, rank)
	return candidates.nearest(func(e *endpointRecord) float64 { return s.distance(req, e, candidates) })
}

func (s *endpointSelector) candidates(req *request, rank buildRank) (found candidateSet) {
	lastBuild := -1
	isBuildCandidate := false
	for _, e := range s.endpoints.all {
		if e.Build != lastBuild {
			lastBuild = e.Build
			isBuildCandidate = s.builds.rank(e.Build) == rank && s.rules.mayUseBuild(req, e.Build)
		}
		if isBuildCandidate && s.isCandidate(req, e) {
			found.endpoints = append(found.endpoints, e)
			found.inFlight += float64(e.inFlight)
			found.capacity += e.capacity()
		}
	}
	return found
}

func (s *endpointSelector) isCandidate(req *request, e *endpointRecord) bool {
	return e.isAvailable() && s.zones.get(e.Zone).isOpen() && s.rules.mayUseEndpoint(req, e)
}

// distance returns the distance of an endpoint from the request's position on the ring, scaled by the endpoint's capacity and
// by penalties.
func (s *endpointSelector) distance(req *request, e *endpointRecord, among candidateSet) float64 {
	distance := e.ringDistance(req.ringPosition) / e.capacity()
	switch {
	case s.budget.usesSlots(e):
		distance = 0 // the time slot is short, and may be over before the next key in the endpoint's segment arrives
	case e.Zone != s.ownZone:
		distance *= 1 + crossZoneFactor*s.crossZoneCost
	}
	if among.isLoaded(e) {
		distance *= penaltyFactor
	}
	if req.hasTried(e) || s.endpoints.isReportedOverloaded(e) {
		distance *= penaltyFactor
	}
	return distance
}

// isLoaded reports whether one more attempt would put an endpoint above the load bound.
func (c candidateSet) isLoaded(e *endpointRecord) bool {
	return float64(e.inFlight) >= math.Ceil(loadBound*(c.inFlight+1)*e.capacity()/c.capacity)
}

// nearest returns the first endpoint with the least distance, or nil if there is none.
func (c candidateSet) nearest(distanceTo func(*endpointRecord) float64) *endpointRecord {
	var nearest *endpointRecord
	least := math.Inf(1)
	for _, e := range c.endpoints {
		if distance := distanceTo(e); distance < least {
			nearest = e
			least = distance
		}
	}
	return nearest
}

// hasFreeConcurrency reports whether the concurrency limits of all endpoints together allow one more attempt. A single endpoint
// takes one attempt even if its limit is below one, so queues would form if every agent sent an attempt to each such endpoint.
func (s *endpointSet) hasFreeConcurrency() bool {
	inFlight, limit := s.openAttempts()
	return inFlight+1 <= max(1, limit)
}

// isReportedOverloaded reports whether the evaluators' last digest is still valid and marks the endpoint as overloaded.
func (s *endpointSet) isReportedOverloaded(e *endpointRecord) bool {
	return s.now-s.digestReceivedAt < digestLifetime && hasDigestBit(s.overloadDigest, e.ID)
}
