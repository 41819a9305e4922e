package policy

import (
	"switchfork/internal/aimd"
	"switchfork/internal/ramp"
)

// endpointRecord holds what is known about one endpoint. It is updated by the messages that it receives.
type endpointRecord struct {
	messageQueue
	*sharedState
	Endpoint
	endpointHealth
	endpoints      *endpointSet
	inList         bool
	isQueued       bool // in the sharedState's pendingEndpoints
	ringPoints     []uint64
	healthChecks   bool // health checks are allowed; an endpoint gets one when its ejection ends
	slowStart      SlowStart
	inFlight       int             // this agent's attempts without a result
	recentAttempts []recentAttempt // this agent's attempts within OverloadAfter
}

// endpointHealth holds what is known about one process. It is reset when a new process starts under the endpoint's ID.
type endpointHealth struct {
	evidence       endpointEvidence
	limit          aimd.Limit // limits this agent's attempts in flight
	errorRate      float64    // share of errors among the answers, as a moving mean
	waitingSince   Micros     // since when attempts are in flight and none has ended
	lastObjective  Micros     // latency objective of the last attempt
	silentOutcomes int        // number of outcomes in a row without an answer
	lastAnswerAt   Micros
	rejectingUntil Micros // end of the pause after a rejected attempt
	ejectedUntil   Micros // 0: not ejected
	load           loadAverage
	totalInFlight  float64 // requests of all agents in flight, as far as is known
	isChecking     bool    // a health check is in progress
}

// recentAttempt is an attempt that an endpoint may still be working on.
type recentAttempt struct {
	sentAt Micros
	cost   float64 // µs of work
}

// enqueue also adds the endpoint to pendingEndpoints, so that the router's loop does not have to check every endpoint.
func (e *endpointRecord) enqueue(msg message) {
	e.messageQueue.enqueue(msg)
	if !e.isQueued {
		e.isQueued = true
		e.pendingEndpoints = append(e.pendingEndpoints, e)
	}
}

func (e *endpointRecord) receive(msg message) {
	switch msg := msg.(type) {
	case Endpoint:
		e.updateEntry(msg)
	case attemptStarted:
		e.startAttempt(msg)
	case attemptSent:
		e.totalInFlight++
	case attemptOutcome:
		e.finishAttempt(msg)
	case failureStep:
		e.evidence.addFailureStep(msg)
	case latenessStep:
		e.evidence.addLatenessStep(msg)
	case evidenceReset:
		e.evidence = endpointEvidence{}
	case tick:
		e.forgetOldAttempts()
		e.startHealthCheck()
	case HealthCheckResult:
		e.finishHealthCheck(msg.Outcome)
	}
}

// updateEntry stores the endpoint's new entry in the list. It resets the endpoint's health if the process is new or has gone.
func (e *endpointRecord) updateEntry(entry Endpoint) {
	isNewProcess := entry.Started != e.Started || entry.Build != e.Build || e.limit.Value == 0
	if isNewProcess || entry.State == Gone {
		e.endpointHealth = endpointHealth{limit: aimd.Limit{Value: initialEndpointLimit}}
		e.recentAttempts = nil
	}
	e.Endpoint = entry
}

func (e *endpointRecord) startAttempt(attempt attemptStarted) {
	e.lastObjective = attempt.latencyObjective
	if e.inFlight == 0 {
		e.waitingSince = e.now
	}
	e.inFlight++
	e.recentAttempts = append(e.recentAttempts, recentAttempt{e.now, attempt.cost})
}

func (e *endpointRecord) finishAttempt(outcome attemptOutcome) {
	e.updateTotalInFlight(outcome.reportedInFlight)
	if outcome.fromPeer {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	e.waitingSince = e.now
	e.updateLimit(outcome)
	e.updateHealth(outcome)
}

func (e *endpointRecord) forgetOldAttempts() {
	for len(e.recentAttempts) > 0 && e.recentAttempts[0].sentAt <= e.now-e.slowStart.OverloadAfter {
		e.recentAttempts = e.recentAttempts[1:]
	}
}

func (e *endpointRecord) isReady() bool { return e.State == Ready }

func (e *endpointRecord) isEjected() bool { return e.now < e.ejectedUntil }

// hasUnfinishedWork reports whether an attempt has no result yet, or a message is not processed yet.
func (e *endpointRecord) hasUnfinishedWork() bool { return e.inFlight > 0 || e.isQueued }

// warmUp returns the configured growth of a starting endpoint's capacity.
func (s SlowStart) warmUp() ramp.Linear {
	return ramp.Linear{Initial: s.InitialCapacity, Duration: s.Duration}
}

// read returns utilization and rate from a load report. isReported is false if the report does not contain both.
func (f LoadReportFormat) read(load []float32) (utilization, rate float64, isReported bool) {
	if f.Utilization == 0 || f.Rate == 0 || len(load) < max(f.Utilization, f.Rate) {
		return 0, 0, false
	}
	return float64(load[f.Utilization-1]), float64(load[f.Rate-1]), true
}
