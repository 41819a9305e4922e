package policy

import "switchfork/internal/stats"

const (
	slowShareWeight       = 0.05 // of one result in a zone's moving mean
	maxSlowShare          = 0.25 // of late results; a healthy busy zone has a tenth
	zoneLimitDecrease     = 0.03 // of the limit in use, a late result
	zoneLimitGrowthFactor = 3    // how many times as fast a limit rises
	minOpenPerEndpoint    = 4.0  // attempts of all agents together that leave no queue
	openPerConcurrency    = 2.0  // the same, by what the endpoint serves at one time
	unlimitedAttempts     = 1e6  // as good as no limit
)

// zoneLimits decides how many attempts this agent has open in each zone, by the share of late results there. It guards against
// what loads a zone or the fleet (moved traffic, retries), where one agent meets no endpoint often enough: requests use another
// zone, or wait and are rejected. Requests that are late by themselves may be held back. The dispatcher counts attempts in it;
// the endpoint selector asks it.
type zoneLimits struct {
	endpoints *endpointSet
	agents    int
	zones     []*zoneState // by their index
}

// zoneState is what this agent knows of a zone's endpoints together.
type zoneState struct {
	limit     float64 // of this agent's attempts in flight
	slowShare float64 // moving mean of late results
	inFlight  int
}

func (z *zoneLimits) get(zone int) *zoneState {
	for len(z.zones) <= zone {
		z.zones = append(z.zones, &zoneState{limit: unlimitedAttempts})
	}
	return z.zones[zone]
}

// anyOpen reports whether any zone may be sent more.
func (z *zoneLimits) anyOpen() bool {
	for zone := range z.endpoints.zoneCount {
		if z.get(zone).isOpen() {
			return true
		}
	}
	return false
}

// update adjusts a zone's limit by a result that tells of its load.
func (z *zoneLimits) update(zone int, outcome attemptOutcome) {
	if outcome.latencyObjective <= 0 || !outcome.tellsOfLoad() {
		return
	}
	isSlow := outcome.Outcome != OK || outcome.Elapsed > outcome.latencyObjective
	z.get(zone).adjustLimit(isSlow, z.minLimit(zone))
}

// minLimit is this agent's share of the attempts that leave no queue in the zone.
func (z *zoneLimits) minLimit(zone int) float64 {
	open := max(minOpenPerEndpoint, openPerConcurrency*z.endpoints.warmConcurrency)
	return max(1, open*z.endpoints.endpointsPerAgent(zone, z.agents))
}

// tellsOfLoad reports whether an outcome may come of load: an error has other causes, and what was not sent has met none.
func (o attemptOutcome) tellsOfLoad() bool {
	switch o.Outcome {
	case OK, Rejected, TimedOut, ConnectFailed, ConnectionLost, Cancelled:
		return true
	case ServerError, NotAttempted, Malformed:
	}
	return false
}

func (z *zoneState) isOpen() bool { return float64(z.inFlight+1) <= z.limit }

func (z *zoneState) adjustLimit(isSlow bool, minLimit float64) {
	z.slowShare = stats.MovingMean(z.slowShare, stats.Indicator(isSlow), slowShareWeight)
	if z.slowShare > maxSlowShare {
		open := min(z.limit, float64(z.inFlight+1))
		z.limit = max(minLimit, open*(1-zoneLimitDecrease))
		return
	}
	z.limit = min(z.limit*(1+zoneLimitGrowthFactor*zoneLimitDecrease), unlimitedAttempts)
}
