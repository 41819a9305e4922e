package policy

import (
	"cmp"
	"sort"

	"switchfork/internal/hashing"
)

const (
	// busyTickInterval is the time between ticks while requests are pending. It is far below the shortest latency objective and
	// grace period.
	busyTickInterval = 10 * millisecond
	// idleTickInterval is the time between ticks while no request is pending. Votes and ejected endpoints are updated at ticks.
	idleTickInterval = 50 * millisecond
)

// trafficSalt is mixed into the hash that decides which build a request tries first. It differs from ringSalt, because with a
// shared salt all keys that go to the canary would lie in one segment of the ring. It is the same on all agents.
const trafficSalt = 0x51ce

// dispatcher handles each request from its arrival to its final answer. It decides in which order pending requests are retried,
// which build is tried first, and what follows from an attempt's result. The rules behind these decisions are in the components
// that it holds. The router passes it requests, results, cancellations, rollout updates and ticks.
type dispatcher struct {
	messageQueue
	*sharedState
	endpoints      *endpointSet
	analyzer       *releaseAnalyzer
	classes        []RequestClass
	loadReport     LoadReportFormat
	requests       requestTable
	pending        []*request // requests that no endpoint may take at present
	rollout        *rolloutState
	builds         *buildSelector
	exposure       *exposureGuard
	selector       *endpointSelector
	placement      *keyPlacement
	rules          *attemptRules
	retries        *retryPolicy
	zones          *zoneLimits
	traffic        *trafficEstimate
	clients        *rejectedClients
	tenants        *tenantErrorRates
	maxClientDelay Micros // how long after a rejection the client is still expected to return
}

func newDispatcher(
	shared *sharedState, endpoints *endpointSet, analyzer *releaseAnalyzer, config Config,
) *dispatcher {
	rollout := newRolloutState(config.RolloutPlan)
	requests := requestTable{}
	traffic := newTrafficEstimate(config.Classes)
	clients := newRejectedClients()
	tenants := newTenantErrorRates()
	exposure := newExposureGuard(shared, rollout, config)
	budget := &slowStartBudget{
		endpoints: endpoints, traffic: traffic, limits: config.SlowStart, agents: config.Instance.Agents,
	}
	builds := &buildSelector{rollout: rollout, endpoints: endpoints, budget: budget}
	slowStart := &slowStartRule{
		sharedState: shared, endpoints: endpoints, traffic: traffic, builds: builds, budget: budget,
		limits: config.SlowStart, agentIndex: config.Instance.Index, agents: config.Instance.Agents,
	}
	rules := &attemptRules{
		sharedState: shared, requests: requests, classes: config.Classes, exposure: exposure, slowStart: slowStart,
		maxAttempts: config.RetryLimits.MaxAttempts,
	}
	zones := &zoneLimits{endpoints: endpoints, agents: config.Instance.Agents}
	return &dispatcher{
		sharedState: shared,
		endpoints:   endpoints,
		analyzer:    analyzer,
		classes:     config.Classes,
		loadReport:  config.Instance.LoadReport,
		requests:    requests,
		rollout:     rollout,
		builds:      builds,
		exposure:    exposure,
		selector: &endpointSelector{
			endpoints: endpoints, builds: builds, rules: rules, budget: budget, zones: zones,
			ownZone: config.Instance.Zone, crossZoneCost: config.CostWeights.CrossZone,
		},
		placement: newKeyPlacement(shared, traffic, config.Instance),
		rules:     rules,
		retries: &retryPolicy{
			sharedState: shared, endpoints: endpoints, rules: rules, clients: clients, tenants: tenants,
			classes: config.Classes, limits: config.RetryLimits, agents: config.Instance.Agents,
		},
		zones:          zones,
		traffic:        traffic,
		clients:        clients,
		tenants:        tenants,
		maxClientDelay: config.RetryLimits.MaxRetryAfter + clientReturnGrace,
	}
}

func (d *dispatcher) receive(msg message) {
	switch msg := msg.(type) {
	case RequestArrived:
		d.accept(msg)
	case AttemptResult:
		d.finishAttempt(msg)
	case RequestCancelled:
		if req := d.requests[msg.RequestID]; req != nil {
			d.requests.close(req)
		}
	case RolloutUpdate:
		// A lower cap applies at once, and earlier attempts still count towards it, so the exposure never gets too high.
		d.rollout.apply(msg)
	case tick:
		d.clients.expire(d.now - d.maxClientDelay)
		d.retryPending()
	case *request:
		d.routeRequest(msg)
	}
}

func (d *dispatcher) accept(arrived RequestArrived) {
	req := &request{RequestArrived: arrived, acceptedAt: cmp.Or(arrived.ArrivedAt, d.now)}
	hash := cmp.Or(arrived.Key, arrived.ID)
	req.trafficFraction = unitInterval(hashing.Mix64(hash ^ trafficSalt))
	req.clientHash = hashing.Mix64(hashing.Mix64(hash+uint64(arrived.Class)) + uint64(arrived.Tenant))
	if req.CostHint > 0 {
		d.traffic.recordCost(req.CostHint)
	}
	// If the client returns after a rejection, this is still the same request, so acceptedAt is the time of the first try.
	req.acceptedAt = d.clients.firstArrival(req.clientHash, req.acceptedAt)
	d.traffic.recordArrival(req.acceptedAt)
	req.ringPosition = d.placement.ringPosition(req)
	d.requests[arrived.ID] = req
	d.exposure.recordRequest(arrived.Class)
	d.routeRequest(req)
}

// retryPending enqueues one message for each pending request, in descending order of priority weight. Between two of these
// messages, the endpoint records process theirs, so that they count the attempt just sent. If all requests were routed at once,
// all would go to the same endpoint.
func (d *dispatcher) retryPending() {
	priority := func(i int) float64 { return d.classes[d.pending[i].Class].PriorityWeight }
	sort.SliceStable(d.pending, func(i, j int) bool { return priority(i) > priority(j) })
	for _, req := range d.pending {
		d.enqueue(req)
	}
	d.pending = nil
}

func (d *dispatcher) tickInterval() Micros {
	if len(d.pending) > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// routeRequest sends a request to an endpoint, keeps it pending or gives it up.
func (d *dispatcher) routeRequest(req *request) {
	if !d.requests.isOpen(req) || req.attemptEndpoint != nil {
		return
	}
	if d.retries.isTooLate(req) {
		d.giveUp(req)
		return
	}
	d.builds.updateShare()
	if e := d.findEndpoint(req); e != nil {
		d.sendAttempt(req, e)
		return
	}
	if !d.retries.mustGiveUp(req) {
		d.pending = append(d.pending, req)
		return
	}
	d.retries.recordOverload()
	d.giveUp(req)
}

// findEndpoint returns the endpoint for the request's next attempt, or nil if there is none at present.
func (d *dispatcher) findEndpoint(req *request) *endpointRecord {
	if d.retries.hasTooManyErrors(req) {
		return nil
	}
	for _, rank := range d.builds.ranksFor(req) {
		if e := d.selector.pick(req, rank); e != nil {
			return e
		}
	}
	return nil
}

// sendAttempt sends the request to an endpoint if the rules allow it. The check is a safeguard: findEndpoint returns only
// endpoints that the rules allow.
func (d *dispatcher) sendAttempt(req *request, e *endpointRecord) {
	if !d.rules.mayAttempt(req, e) {
		return
	}
	req.attemptEndpoint = e
	req.sentAt = d.now
	req.attempts++
	d.exposure.recordAttempt(req.Class, e.Build)
	d.zones.get(e.Zone).inFlight++
	e.enqueue(attemptStarted{d.traffic.expectedCost(req), d.classes[req.Class].LatencyObjective})
	d.analyzer.enqueue(attemptSent{endpoint: e})
	d.emit(SendAttempt{
		RequestID: req.ID, EndpointID: e.ID, Timeout: d.retries.attemptTimeout(req), WriteBefore: req.dedupUntil,
	})
}

// finishAttempt updates the records with an attempt's result, and routes the request again if it has no final answer.
func (d *dispatcher) finishAttempt(result AttemptResult) {
	e := d.endpoints.byID[result.EndpointID]
	if e == nil {
		return
	}
	req := d.requestOf(result, e)
	d.recordOutcome(d.newOutcome(result, e, req))
	if req == nil {
		return
	}
	if result.Outcome == OK && req.CostHint == 0 {
		d.traffic.recordCost(result.Elapsed)
	}
	if result.RequestDone {
		delete(d.requests, result.RequestID)
		return
	}
	if result.Outcome == ServerError {
		req.serverErrors++
	}
	if mayHaveRun(result.Outcome) {
		req.markMayHaveRun(e, &d.classes[req.Class])
	}
	req.attemptEndpoint = nil
	req.triedEndpoints = append(req.triedEndpoints, e)
	d.enqueue(req)
}

// requestOf returns the request that an attempt's result belongs to, or nil if the request is closed or unknown. A successful
// answer binds the request's key to the endpoint's build even if the request is closed.
func (d *dispatcher) requestOf(result AttemptResult, e *endpointRecord) *request {
	req := d.requests[result.RequestID]
	if req == nil {
		return nil
	}
	if result.Outcome == OK {
		d.exposure.bindKey(req.Key, e.Build)
	}
	if req.isClosed {
		delete(d.requests, result.RequestID)
		return nil
	}
	return req
}

// newOutcome returns a result together with the properties of its request that the endpoints and the analyzer need. The request
// may be nil.
func (d *dispatcher) newOutcome(result AttemptResult, e *endpointRecord, req *request) attemptOutcome {
	outcome := attemptOutcome{
		AttemptResult:    result,
		endpoint:         e,
		class:            -1,
		reportedInFlight: d.loadReport.reportedInFlight(result.Load),
		onCanary:         d.rollout.isCapped(e.Build),
	}
	if req != nil {
		outcome.class = req.Class
		outcome.latencyObjective = d.classes[req.Class].LatencyObjective
		outcome.isClientError = d.tenants.classify(req.Tenant, result.Outcome, outcome.onCanary)
	}
	return outcome
}

// recordOutcome passes an outcome to the endpoint, the analyzer and the zone limits, which learn from it.
func (d *dispatcher) recordOutcome(outcome attemptOutcome) {
	e := outcome.endpoint
	e.enqueue(outcome)
	e.recordLoad(outcome.Load, d.loadReport)
	d.endpoints.updateWarmConcurrency(d.traffic.meanCost)
	d.analyzer.enqueue(outcome)
	d.zones.get(e.Zone).inFlight--
	d.zones.update(e.Zone, outcome)
}

// giveUp closes a request that did not succeed and sends its final answer.
func (d *dispatcher) giveUp(req *request) {
	d.requests.close(req)
	d.analyzer.enqueue(requestRejected{})
	d.clients.reject(rejectedClient{rejectedAt: d.now, acceptedAt: req.acceptedAt, clientHash: req.clientHash})
	d.emit(d.retries.finalAnswer(req))
}

// reportedInFlight returns the number of requests in flight from a load report, or -1 if the report does not contain it.
func (f LoadReportFormat) reportedInFlight(load []float32) float64 {
	if f.InFlight <= 0 || f.InFlight > len(load) {
		return -1
	}
	return float64(load[f.InFlight-1])
}
