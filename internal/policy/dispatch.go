package policy

import (
	"cmp"
	"math"
	"sort"

	"switchfork/internal/exposure"
	"switchfork/internal/stats"
)

func (d *dispatcher) receive(msg message) {
	switch msg := msg.(type) {
	case RequestArrived:
		d.accept(msg)
	case AttemptResult:
		d.attemptFinished(msg)
	case RequestCancelled:
		d.closeRequest(d.requests[msg.RequestID])
	case RolloutUpdate:
		d.apply(msg) // a lower cap binds at once, and what was sent before still counts: never too much
	case tick:
		d.clients.expire(d.now - d.retryLimits.MaxRetryAfter - returnGrace)
		d.retryHeldRequests()
	case *request:
		d.routeRequest(msg)
	}
}

func (d *dispatcher) accept(arrived RequestArrived) {
	req := &request{RequestArrived: arrived, acceptedAt: cmp.Or(arrived.ArrivedAt, d.now)}
	hash := cmp.Or(arrived.Key, arrived.ID)
	req.trafficFraction = unitInterval(mix64(hash ^ trafficSalt))
	req.clientHash = mix64(mix64(hash+uint64(arrived.Class)) + uint64(arrived.Tenant))
	d.recordArrival(req)
	req.ringPosition = d.ringPosition(req)
	d.requests[arrived.ID] = req
	d.windowOf(arrived.Class).RecordRequest(d.now, d.windowStart())
	d.routeRequest(req)
}

// retryHeldRequests sends itself one message for each held request, by priority: endpoints process their messages in between,
// or all requests would go to one endpoint.
func (d *dispatcher) retryHeldRequests() {
	priority := func(i int) float64 { return d.classes[d.heldRequests[i].Class].PriorityWeight }
	sort.SliceStable(d.heldRequests, func(i, j int) bool { return priority(i) > priority(j) })
	for _, req := range d.heldRequests {
		d.enqueue(req)
	}
	d.heldRequests = nil
}

func (d *dispatcher) tickInterval() Micros {
	if len(d.heldRequests) > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// sendAttempt sends the request to an endpoint, if the rules allow it.
func (d *dispatcher) sendAttempt(req *request, e *endpointRecord) {
	if !d.mayAttempt(req, e) {
		return
	}
	req.attemptAt, req.sentAt = e, d.now
	req.attempts++
	if _, _, isCapped := d.capOf(e.Build); isCapped {
		d.windowOf(req.Class).RecordAttempt(d.now, d.windowStart(), e.Build)
	}
	d.zoneFor(e.Zone).inFlight++
	e.enqueue(attemptStarted{d.expectedCost(req), d.classes[req.Class].LatencyObjective})
	d.analyzer.enqueue(attemptSent{endpoint: e})
	d.emit(SendAttempt{
		RequestID: req.ID, EndpointID: e.ID, Timeout: d.attemptTimeout(req), WriteBefore: req.dedupUntil,
	})
}

// attemptFinished updates the records by an attempt's result, and routes the request again if it has no final answer.
func (d *dispatcher) attemptFinished(result AttemptResult) {
	e, req := d.endpoints.byID[result.EndpointID], d.requests[result.RequestID]
	if e == nil {
		return
	}
	outcome, req := d.classifyResult(result, e, req)
	e.enqueue(outcome)
	e.recordLoad(result.Load, d.instance.LoadReport)
	d.updateWarmConcurrency()
	d.analyzer.enqueue(outcome)
	d.zoneFor(e.Zone).inFlight--
	d.updateZone(e.Zone, outcome)
	if req == nil {
		return
	}
	if result.Outcome == OK && req.CostHint == 0 {
		d.recordCost(result.Elapsed)
	}
	if result.RequestDone {
		delete(d.requests, result.RequestID)
		return
	}
	req.serverErrors += stats.Count(result.Outcome == ServerError)
	if mayHaveRun(result.Outcome) {
		req.markMayHaveRun(e, &d.classes[req.Class])
	}
	req.attemptAt = nil
	req.triedEndpoints = append(req.triedEndpoints, e)
	d.enqueue(req)
}

// classifyResult returns the outcome that endpoint and analyzer get, and the request, or nil where it was over before.
func (d *dispatcher) classifyResult(
	result AttemptResult, e *endpointRecord, req *request,
) (attemptOutcome, *request) {
	if req != nil && result.Outcome == OK && req.Key != 0 && d.plan.KeysNeverGoBack {
		if e.Build > d.keyBuilds[req.Key] {
			d.keyBuilds[req.Key] = e.Build
		}
	}
	if req != nil && req.isClosed {
		delete(d.requests, result.RequestID)
		req = nil
	}
	outcome := attemptOutcome{AttemptResult: result, endpoint: e, class: -1, reportedInFlight: -1}
	if field := d.instance.LoadReport.InFlight; field > 0 && field <= len(result.Load) {
		outcome.reportedInFlight = float64(result.Load[field-1])
	}
	_, _, outcome.onCanary = d.capOf(e.Build)
	if req != nil {
		outcome.class, outcome.latencyObjective = req.Class, d.classes[req.Class].LatencyObjective
		outcome.isClientError = d.isClientError(req, result.Outcome, outcome.onCanary)
	}
	return outcome, req
}

// giveUp gives the final answer of a request that did not succeed.
func (d *dispatcher) giveUp(req *request) {
	d.closeRequest(req)
	d.analyzer.enqueue(requestRejected{})
	d.clients.reject(d.now, req.acceptedAt, req.clientHash)
	d.emit(d.finalAnswer(req))
}

// closeRequest forgets a request. One with an attempt in flight is kept: its answer may still bind its key to a build.
func (d *dispatcher) closeRequest(req *request) {
	if req == nil {
		return
	}
	req.isClosed = true
	if req.attemptAt == nil {
		delete(d.requests, req.ID)
	}
}

// windowOf is the exposure count that applies to a class.
func (d *dispatcher) windowOf(class int) *exposure.Window {
	if d.exposureLimit.PerClass {
		return d.exposureWindows[class]
	}
	return d.exposureWindows[0]
}

// windowStart is the time from which on the exposure counts.
func (d *dispatcher) windowStart() Micros { return d.now - d.exposureLimit.Window - windowMargin }

func (d *dispatcher) zoneFor(zone int) *zoneState {
	for len(d.zones) <= zone {
		d.zones = append(d.zones, &zoneState{limit: unlimitedOpen})
	}
	return d.zones[zone]
}

// anyZoneOpen tells whether any zone may be sent more.
func (d *dispatcher) anyZoneOpen() bool {
	for zone := range d.endpoints.zoneCount {
		if d.zoneFor(zone).isOpen() {
			return true
		}
	}
	return false
}

// candidateSet is the endpoints that a request may go to, with this agent's attempts in flight there and their capacity.
type candidateSet struct {
	endpoints          []*endpointRecord
	inFlight, capacity float64
}

func (d *dispatcher) candidates(req *request, rank int) (found candidateSet) {
	lastBuild, isBuildCandidate := -1, false
	for _, e := range d.endpoints.all {
		if e.Build != lastBuild {
			lastBuild, isBuildCandidate = e.Build, d.isCandidateBuild(req, e.Build, rank)
		}
		if isBuildCandidate && d.isCandidate(req, e) {
			found.endpoints = append(found.endpoints, e)
			found.inFlight += float64(e.inFlight)
			found.capacity += e.capacity()
		}
	}
	return found
}

// nearest returns the first endpoint with the least distance, or nil where there is none.
func (c candidateSet) nearest(distanceTo func(*endpointRecord) float64) (nearest *endpointRecord) {
	least := math.Inf(1)
	for _, e := range c.endpoints {
		if distance := distanceTo(e); distance < least {
			nearest, least = e, distance
		}
	}
	return nearest
}
