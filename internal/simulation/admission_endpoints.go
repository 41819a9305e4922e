package simulation

import (
	"switchfork/internal/admission"
	"switchfork/internal/policy"
)

const (
	// networkDelay is the delay between the router and an endpoint, in each direction.
	networkDelay = ms / 4
	// queueLengthPerSlot is how many attempts an endpoint queues per slot. It rejects further attempts.
	queueLengthPerSlot = 8
)

// endpointModel models a server that works on one attempt per slot and queues further attempts.
type endpointModel struct {
	id        uint32
	slots     int
	busySlots int
	queue     []*endpointAttempt
}

// endpointAttempt is an attempt that the router sent to an endpoint.
type endpointAttempt struct {
	request   *clientRequest
	requestID uint64
	sentAt    int64
	isDone    bool
}

// startRouter creates the endpoints and a router that knows them. The endpoints run a build that was released long ago.
func (r *admissionRun) startRouter() {
	class := policy.RequestClass{
		Idempotency:      policy.Idempotent,
		LatencyObjective: r.scenario.latencyObjective(),
		Timeout:          r.scenario.timeout(),
		PriorityWeight:   1,
	}
	r.router = policy.New(policy.Config{
		Instance:      policy.Instance{Agents: 1, Seed: r.scenario.Seed},
		Classes:       []policy.RequestClass{class},
		RolloutPlan:   policy.RolloutPlan{Caps: []float64{1}},
		VotingRules:   policy.VotingRules{Rule: policy.TimedStages, VoteLifetime: 4 * second, VotesToRollback: 1},
		ExposureLimit: policy.ExposureLimit{Window: 4 * second, Allowance: 3},
		SlowStart: policy.SlowStart{
			InitialCapacity: 0.3, Duration: 5 * second, OverloadMultiple: 2, OverloadAfter: 1500 * ms,
		},
		RetryLimits:  policy.RetryLimits{MaxAttempts: 3, MaxRetryAfter: maxRetryAfter},
		Capabilities: policy.Capabilities{HealthChecks: true},
	})
	update := policy.EndpointUpdate{Full: true}
	for i := range r.scenario.Endpoints {
		id := uint32(i + 1)
		r.endpoints = append(r.endpoints, &endpointModel{id: id, slots: r.scenario.Slots})
		update.Endpoints = append(update.Endpoints, policy.Endpoint{ID: id, Build: 1, State: policy.Ready, Weight: 1})
	}
	r.sendToRouter(update)
	r.sendToRouter(policy.RolloutUpdate{Build: 1, Phase: policy.Released, Cap: 1, Age: 100 * second})
}

// sendToRouter passes an event to the router and executes the commands that it returns.
func (r *admissionRun) sendToRouter(event policy.Event) {
	for _, command := range r.router.Handle(r.now, event) {
		switch command := command.(type) {
		case policy.SetTimer:
			r.schedule(command.At, func() { r.sendToRouter(policy.TimerFired{Token: command.Token}) })
		case policy.SendAttempt:
			r.sendAttempt(command)
		case policy.Reject:
			if request := r.pending[command.RequestID]; request != nil {
				r.finishRequest(request, admission.Rejected)
			}
		case policy.Fail:
			if request := r.pending[command.RequestID]; request != nil {
				r.finishRequest(request, admission.Failed)
			}
		case policy.CheckHealth:
			r.schedule(r.now+ms, func() { r.sendToRouter(policy.HealthCheckResult{EndpointID: command.EndpointID, Elapsed: ms}) })
		}
	}
}

// sendAttempt sends a request to an endpoint. The attempt times out at its own timeout or at the request's deadline, whichever
// is earlier.
func (r *admissionRun) sendAttempt(command policy.SendAttempt) {
	request := r.pending[command.RequestID]
	if request == nil {
		return
	}
	if !request.isSent {
		id := request.id
		r.schedule(r.now, func() { r.executeAdmission(r.admitter.AttemptSent(r.now, id)) })
	}
	request.isSent = true
	endpoint := r.endpoints[command.EndpointID-1]
	attempt := &endpointAttempt{request: request, requestID: request.id, sentAt: r.now}
	timeoutAt := request.deadline
	if command.Timeout > 0 {
		timeoutAt = min(timeoutAt, r.now+command.Timeout)
	}
	r.schedule(timeoutAt, func() { r.finishAttempt(endpoint, attempt, policy.TimedOut) })
	r.schedule(r.now+networkDelay, func() { r.receiveAttempt(endpoint, attempt) })
}

func (r *admissionRun) receiveAttempt(endpoint *endpointModel, attempt *endpointAttempt) {
	if len(endpoint.queue) >= queueLengthPerSlot*endpoint.slots {
		r.schedule(r.now+networkDelay, func() { r.finishAttempt(endpoint, attempt, policy.Rejected) })
		return
	}
	endpoint.queue = append(endpoint.queue, attempt)
	r.startQueued(endpoint)
}

// startQueued starts queued attempts in the endpoint's free slots.
func (r *admissionRun) startQueued(endpoint *endpointModel) {
	for endpoint.busySlots < endpoint.slots && len(endpoint.queue) > 0 {
		attempt := endpoint.queue[0]
		endpoint.queue = endpoint.queue[1:]
		endpoint.busySlots++
		duration := float64(attempt.request.work)
		if r.isSlowPeriod() {
			duration *= r.scenario.SlowFactor
		}
		r.schedule(r.now+int64(duration), func() {
			endpoint.busySlots--
			r.schedule(r.now+networkDelay, func() { r.finishAttempt(endpoint, attempt, policy.OK) })
			r.startQueued(endpoint)
		})
	}
}

func (r *admissionRun) isSlowPeriod() bool {
	return r.scenario.SlowFactor > 1 && r.now >= r.scenario.SlowFrom && r.now < r.scenario.SlowTo
}

// finishAttempt reports an attempt's outcome to the router, unless an outcome of the attempt was reported before.
func (r *admissionRun) finishAttempt(endpoint *endpointModel, attempt *endpointAttempt, outcome policy.Outcome) {
	if attempt.isDone {
		return
	}
	attempt.isDone = true
	request := r.pending[attempt.requestID]
	result := policy.AttemptResult{
		RequestID:   attempt.requestID,
		EndpointID:  endpoint.id,
		Outcome:     outcome,
		Elapsed:     r.now - attempt.sentAt,
		RequestDone: request == nil || outcome == policy.OK,
	}
	if request != nil && outcome == policy.OK {
		r.finishRequest(request, admission.Succeeded)
	}
	r.sendToRouter(result)
}
