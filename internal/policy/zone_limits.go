package policy

import "switchfork/internal/stats"

const (
	slowShareWeight       = 0.05 // weight of one result in a zone's moving mean
	maxSlowShare          = 0.25 // share of late or failed results above which the limit falls; a healthy busy zone has a tenth
	zoneLimitDecrease     = 0.03 // fraction by which a result lowers the limit, counted from the attempts in flight if these are fewer
	zoneLimitGrowthFactor = 3    // how many times as fast a limit rises as it falls
	minOpenPerEndpoint    = 4.0  // count of open attempts of all agents at one endpoint that causes no queue
	openPerConcurrency    = 2.0  // the same, for each request that the endpoint serves concurrently
	unlimitedAttempts     = 1e6  // in effect no limit
)

// zoneLimits decides how many attempts this agent may have open in each zone, by the share of late or failed results there. It
// guards against overload of a zone or of the fleet (moved traffic, retries) where one agent uses each endpoint too rarely for
// limits on single endpoints to help: requests then use another zone, or wait and are rejected. As a side effect, requests that
// are late for other reasons than load may be held back. The dispatcher counts attempts in it; the endpoint selector consults it.
type zoneLimits struct {
	endpoints *endpointSet
	agents    int
	zones     []*zoneState // by zone index
}

// zoneState is what this agent knows about a zone as a whole.
type zoneState struct {
	limit     float64 // limit on this agent's attempts in flight
	slowShare float64 // share of late or failed results, as a moving mean
	inFlight  int
}

func (z *zoneLimits) get(zone int) *zoneState {
	for len(z.zones) <= zone {
		z.zones = append(z.zones, &zoneState{limit: unlimitedAttempts})
	}
	return z.zones[zone]
}

// anyOpen reports whether any zone may get another attempt.
func (z *zoneLimits) anyOpen() bool {
	for zone := range z.endpoints.zoneCount {
		if z.get(zone).isOpen() {
			return true
		}
	}
	return false
}

// update adjusts a zone's limit by an outcome that may depend on the zone's load. It ignores other outcomes.
func (z *zoneLimits) update(zone int, outcome attemptOutcome) {
	if outcome.latencyObjective <= 0 || !outcome.dependsOnLoad() {
		return
	}
	isSlow := outcome.Outcome != OK || outcome.Elapsed > outcome.latencyObjective
	z.get(zone).adjustLimit(isSlow, z.minLimit(zone))
}

// minLimit returns this agent's share of the open attempts that cause no queue in the zone.
func (z *zoneLimits) minLimit(zone int) float64 {
	open := max(minOpenPerEndpoint, openPerConcurrency*z.endpoints.warmConcurrency)
	return max(1, open*z.endpoints.endpointsPerAgent(zone, z.agents))
}

// dependsOnLoad reports whether an outcome may depend on load. Errors have other causes, and an attempt that was not sent has
// met no load.
func (o attemptOutcome) dependsOnLoad() bool {
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
