package policy

import (
	"math"

	"switchfork/internal/stats"
)

const (
	// busyTickInterval, for held requests, is well inside the shortest latency objective and grace.
	// idleTickInterval, for votes and ejected endpoints, is longer: many agents have little traffic.
	busyTickInterval, idleTickInterval = 10 * millisecond, 50 * millisecond
	// trafficSalt and ringSalt are the same on all agents, but differ from each other: with one salt the keys
	// that go to the canary would crowd one segment of the ring.
	trafficSalt, ringSalt = 0x51ce, 0x2176
	// pointsPerEndpoint: at 64 the segments vary by an eighth, and by the paper's formula more buys little.
	pointsPerEndpoint = 64
	// reportWeight: some ten reports, as each counts few requests; fleetReportWeight: a hundred of all.
	// minUtilization: three of one half busy. maxCapacityRatio bounds what reports can make of an endpoint.
	reportWeight, fleetReportWeight, minUtilization, maxCapacityRatio = 0.1, 0.01, 0.15, 3
	// crossZoneFactor: at a cost of 0.1 other zones' segments shrink to 1/5. meanCostWeight: the last fifty;
	// before them the mean is initialCostShare of the longest latency objective.
	crossZoneFactor, meanCostWeight, initialCostShare = 40, 0.02, 0.25
	// hotKeyShare of an endpoint is the most that one key should fill, as its segment carries other keys too.
	// capUtilization of the exposure cap is used on purpose; the rest leaves retries room in the count.
	hotKeyShare, capUtilization = 0.3, 0.8
	// loadBound: the usual figure for consistent hashing with bounded loads. lastResort puts an endpoint behind
	// all others: longer than any distance on the ring.
	loadBound, lastResort = 1.25, 1 << 20
)

// capacity is the configured weight, or else what load reports show, times the warm-up factor.
func (e *endpointRecord) capacity() float64 {
	capacity, mean := e.Weight, e.endpoints.meanCapacity
	if !e.endpoints.hasWeights && mean > 0 {
		capacity = mean
		if e.reportedUtilization >= minUtilization {
			shown := e.reportedRate / e.reportedUtilization
			capacity = min(max(shown, mean/maxCapacityRatio), mean*maxCapacityRatio)
		}
	}
	return max(capacity, 1e-9) * e.warmUpFactor()
}

// recordLoad learns the capacity of a warm endpoint: the rate that it serves, by how busy that makes it.
func (e *endpointRecord) recordLoad(load []float32, format LoadReportFormat) {
	utilization, rate, isReported := format.read(load)
	if !isReported || e.warmUpFactor() < 1 {
		return
	}
	e.reportedRate = stats.MovingMean(e.reportedRate, rate, reportWeight)
	e.reportedUtilization = stats.MovingMean(e.reportedUtilization, utilization, reportWeight)
	if utilization >= minUtilization {
		e.endpoints.updateMeanCapacity(rate/utilization, fleetReportWeight)
	}
}

// recordArrival keeps the mean cost and the mean time between two requests. To a client that returns after a
// rejection the request is the same one, so its time runs from the first try.
func (d *dispatcher) recordArrival(req *request) {
	if req.CostHint > 0 {
		d.recordCost(req.CostHint)
	}
	req.acceptedAt = d.clients.returned(req.clientHash, req.acceptedAt)
	interval := float64(min(req.acceptedAt-d.lastArrivalAt, 10*second))
	d.arrivalInterval = stats.MovingMean(d.arrivalInterval, interval, meanCostWeight)
	d.lastArrivalAt = req.acceptedAt
}

func (d *dispatcher) recordCost(cost Micros) {
	d.meanCost = stats.MovingMean(d.meanCost, float64(cost), meanCostWeight)
}

// updateWarmConcurrency estimates by Little's law how many requests a warm endpoint serves at one time.
func (d *dispatcher) updateWarmConcurrency() {
	d.endpoints.warmConcurrency = max(1, d.endpoints.meanCapacity*d.meanCost/float64(second))
}

// ringPosition: a key has its own place only where affinity gains, as a hot key strains it.
func (d *dispatcher) ringPosition(req *request) uint64 {
	if d.instance.KeyAffinity && req.Key != 0 {
		return mix64(mix64(req.Key^ringSalt) - 1 - d.keyReplica(req.Key)) // never an endpoint's own point
	}
	return mix64(req.ID ^ ringSalt)
}

// keyReplica guards against keys that draw more than an endpoint can serve: a key gets a place for each
// request in the time in which all agents, alike, fill hotKeyShare of an endpoint. It may cost a warm cache.
func (d *dispatcher) keyReplica(key uint64) uint64 {
	window := d.meanCost * float64(d.instance.Agents) / hotKeyShare
	usage := d.keys.record(key, d.now, window)
	return (usage.arrivals - 1) % uint64(math.Ceil(usage.recentLoad))
}

func (d *dispatcher) rankOf(build, top int) int {
	switch {
	case d.rolledBack[build] || build == d.build && d.phase == Evaluating && build < top:
		return leavingBuild
	case build == top && build >= d.build && build > 0:
		return newestBuild
	}
	return earlierBuild
}

// topBuildShare is the newest build and the share of requests that go to it.
func (d *dispatcher) topBuildShare() (top int, share float64) {
	top = d.endpoints.highestBuild(d.rolledBack)
	var ready [leavingBuild + 1]float64
	for _, e := range d.endpoints.all {
		if e.isReady() {
			slots := stats.Indicator(d.usesColdSlots(e))
			ready[d.rankOf(e.Build, top)] += e.capacity() * (1 - slots*(1-coldSlotShare))
		}
	}
	capacity := max(ready[newestBuild], ready[earlierBuild])
	if d.plan.ReplacesInPlace {
		capacity = ready[newestBuild] + ready[earlierBuild]
	}
	share = ready[newestBuild] / max(capacity, 1e-9)
	if buildCap, _, isCapped := d.capOf(top); isCapped {
		share = min(share, capUtilization*buildCap)
	}
	return top, share
}

func (d *dispatcher) routeRequest(req *request) {
	if req.isClosed || d.requests[req.ID] != req || req.attemptAt != nil {
		return
	}
	if d.isTooLate(req) {
		d.giveUp(req)
		return
	}
	d.topBuild, d.topShare = d.topBuildShare()
	order := [...]int{earlierBuild, newestBuild, leavingBuild}
	if req.trafficFraction < d.topShare {
		order[0], order[1] = newestBuild, earlierBuild
	}
	for _, rank := range order {
		e := d.pickEndpoint(req, rank)
		if e != nil && req.serverErrors < d.maxServerErrors(req) {
			d.sendAttempt(req, e)
			return
		}
	}
	if !d.mustGiveUp(req) {
		d.heldRequests = append(d.heldRequests, req)
		return
	}
	d.overloadedAt = d.now
	d.giveUp(req)
}

// pickEndpoint walks the ring of one rank to the nearest candidate; capacity scales the segments.
func (d *dispatcher) pickEndpoint(req *request, rank int) *endpointRecord {
	if !d.mayStartAttempt(req) || !d.anyZoneOpen() || !d.endpoints.hasRoom() {
		return nil
	}
	candidates := d.candidates(req, rank)
	return candidates.nearest(func(e *endpointRecord) float64 { return d.ringDistance(req, e, candidates) })
}

func (d *dispatcher) isCandidateBuild(req *request, build, rank int) bool {
	return d.rankOf(build, d.topBuild) == rank && d.mayUseBuild(req, build)
}

func (d *dispatcher) isCandidate(req *request, e *endpointRecord) bool {
	return e.isAvailable() && d.zoneFor(e.Zone).isOpen() && d.mayUseEndpoint(req, e)
}

// hasRoom: where limits are below one each, all agents' attempts of one would together still be a queue.
func (s *endpointSet) hasRoom() bool {
	inFlight, limit := s.openAttempts()
	return inFlight+1 <= max(1, limit)
}

// isOverloaded tells whether the evaluators' last digest says so.
func (s *endpointSet) isOverloaded(e *endpointRecord) bool {
	return s.now-s.digestReceivedAt < digestLifetime && hasDigestBit(s.overloadDigest, e.ID)
}

// ringDistance is how far an endpoint is from the request's place, with what speaks against it.
func (d *dispatcher) ringDistance(req *request, e *endpointRecord, among candidateSet) float64 {
	distance := e.ringDistance(req.ringPosition) / e.capacity()
	if d.usesColdSlots(e) {
		distance = 0 // its slot is short, and the next key in its segment may come too late
	} else if e.Zone != d.instance.Zone {
		distance *= 1 + crossZoneFactor*d.crossZoneCost
	}
	if float64(e.inFlight) >= math.Ceil(loadBound*(among.inFlight+1)*e.capacity()/among.capacity) {
		distance *= lastResort
	}
	if req.hasTried(e) || d.endpoints.isOverloaded(e) {
		distance *= lastResort
	}
	return distance
}
