package policy

import "math"

const (
	loadBound       = 1.25    // of the mean load, as usual for consistent hashing with bounded loads
	crossZoneFactor = 40.0    // by how much more than its cost another zone shrinks its segments of the ring
	penaltyFactor   = 1 << 20 // of the distance to an endpoint that is loaded, or was tried: behind nearly all others
)

// endpointSelector decides to which endpoint of a build's rank a request goes: on a consistent-hash ring whose segments are
// scaled by capacity, with bounded load, its own zone first. The dispatcher calls it for each rank that a request tries.
type endpointSelector struct {
	endpoints     *endpointSet
	builds        *buildSelector
	rules         *attemptRules
	budget        *slowStartBudget
	zones         *zoneLimits
	ownZone       int
	crossZoneCost float64 // of an attempt in another zone, as a part of the result
}

// candidateSet is the endpoints that a request may go to, with this agent's attempts in flight there and their capacity.
type candidateSet struct {
	endpoints []*endpointRecord
	inFlight  float64
	capacity  float64
}

// pick returns the candidate of a rank that is nearest on the ring, or nil where there is none.
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

// distance is how far an endpoint is from the request's place on the ring, with what speaks against it.
func (s *endpointSelector) distance(req *request, e *endpointRecord, among candidateSet) float64 {
	distance := e.ringDistance(req.ringPosition) / e.capacity()
	switch {
	case s.budget.usesSlots(e):
		distance = 0 // its slot is short, and the next key in its segment may come too late
	case e.Zone != s.ownZone:
		distance *= 1 + crossZoneFactor*s.crossZoneCost
	}
	if among.isLoaded(e) {
		distance *= penaltyFactor
	}
	if req.hasTried(e) || s.endpoints.isCalledOverloaded(e) {
		distance *= penaltyFactor
	}
	return distance
}

// isLoaded reports whether one more attempt would put an endpoint above the load bound.
func (c candidateSet) isLoaded(e *endpointRecord) bool {
	return float64(e.inFlight) >= math.Ceil(loadBound*(c.inFlight+1)*e.capacity()/c.capacity)
}

// nearest returns the first endpoint with the least distance, or nil where there is none.
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

// hasFreeConcurrency reports whether all endpoints together take one more attempt. Where limits are below one each, an attempt
// of each agent would together still be a queue.
func (s *endpointSet) hasFreeConcurrency() bool {
	inFlight, limit := s.openAttempts()
	return inFlight+1 <= max(1, limit)
}

// isCalledOverloaded reports whether the evaluators' last digest names an endpoint, as long as it is valid.
func (s *endpointSet) isCalledOverloaded(e *endpointRecord) bool {
	return s.now-s.digestReceivedAt < digestLifetime && hasDigestBit(s.overloadDigest, e.ID)
}
