package agent

import (
	"fmt"
	"log/slog"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// commandExecutor carries out the policy's commands. It makes no decisions and never blocks: attempts, votes and gossip messages are handed
// on to other goroutines. The loop's goroutine calls it with each command that the policy returns.
type commandExecutor struct {
	clock     Clock
	timers    *timerQueue
	requests  *openRequests
	endpoints *endpointRegistry
	activity  *activity

	// reportAttempt receives the result of an attempt that can't be sent. It must not call the policy.
	reportAttempt func(upstream.AttemptFinished)
	castVote      func(policy.Vote)
	sendGossip    func(policy.SendGossip)
}

// execute carries out a command that the policy gave at decidedAt.
func (e *commandExecutor) execute(command policy.Command, decidedAt time.Time) {
	switch command := command.(type) {
	case policy.SetTimer:
		e.timers.set(command)
	case policy.SendAttempt:
		e.sendAttempt(command, decidedAt)
	case policy.CancelAttempt:
		e.cancelAttempt(command)
	case policy.Reject:
		e.requests.reply(command.RequestID, Reply{Rejected: true, RetryAfter: command.RetryAfter})
	case policy.Fail:
		e.requests.reply(command.RequestID, Reply{})
	case policy.CheckHealth:
		e.checkHealth(command)
	case policy.Vote:
		e.activity.votes++
		e.castVote(command)
	case policy.SendGossip:
		e.sendGossip(command)
	case policy.WatchEndpoints:
		// Nothing to do: the discovery client watches the endpoint list all the time.
	case policy.LogMessage:
		slog.Info("policy message", "text", command.Text)
	default:
		panic(fmt.Sprintf("agent: unknown command type %T", command))
	}
}

// sendAttempt hands an attempt to its endpoint. It reports the attempt as not sent if the request or the endpoint is unknown, or if the
// request is already answered or has an attempt in flight.
func (e *commandExecutor) sendAttempt(command policy.SendAttempt, decidedAt time.Time) {
	request := e.requests.get(command.RequestID)
	endpoint := e.endpoints.get(command.EndpointID)
	if request == nil || endpoint == nil || !request.canAttempt() {
		e.refuseAttempt(command, request)
		return
	}
	if request.OnFirstAttempt != nil {
		request.OnFirstAttempt()
		request.OnFirstAttempt = nil
	}
	request.attempts++
	if request.attempts > 1 {
		e.activity.retries++
	}
	e.activity.attempts++
	request.inFlight++
	request.endpoint = endpoint
	attempt := upstream.Attempt{
		RequestID: command.RequestID,
		Encoded:   request.Encoded,
		DecidedAt: decidedAt,
		Deadline:  attemptDeadline(request.Deadline, decidedAt, command.Timeout),
		Withdrawn: &request.withdrawn,

		HasClientLeft:   request.checkClient,
		ReserveResponse: request.ReserveResponse,
	}
	if command.WriteBefore != 0 {
		attempt.WriteBefore = e.clock.Time(command.WriteBefore)
	}
	endpoint.Send(attempt)
}

// attemptDeadline returns when an attempt times out: timeout after decidedAt, and at requestDeadline at the latest. A timeout of 0 means
// that the attempt has no timeout of its own.
func attemptDeadline(requestDeadline, decidedAt time.Time, timeout policy.Micros) time.Time {
	if timeout == 0 {
		return requestDeadline
	}
	deadline := decidedAt.Add(time.Duration(timeout) * time.Microsecond)
	if deadline.Before(requestDeadline) {
		return deadline
	}
	return requestDeadline
}

// refuseAttempt reports the result NotSent for an attempt that can't be sent. request is nil if the request is unknown.
func (e *commandExecutor) refuseAttempt(command policy.SendAttempt, request *Request) {
	slog.Error("attempt could not be sent", "request", command.RequestID, "endpoint", command.EndpointID)
	e.reportAttempt(upstream.AttemptFinished{
		AttemptResult: policy.AttemptResult{
			RequestID:  command.RequestID,
			EndpointID: command.EndpointID,
			Outcome:    protocol.NotSent.Outcome(),
		},
		Result: protocol.NotSent,
	})
	if request != nil {
		request.inFlight++ // openRequests.finishAttempt decrements inFlight when the report is handled
	}
}

// cancelAttempt cancels the attempt of a request if one is in flight.
func (e *commandExecutor) cancelAttempt(command policy.CancelAttempt) {
	request := e.requests.get(command.RequestID)
	if request == nil || request.inFlight == 0 {
		return
	}
	e.activity.cancelledAttempts++
	request.endpoint.Cancel(command.RequestID)
}

// checkHealth starts a health check of an endpoint that is still listed.
func (e *commandExecutor) checkHealth(command policy.CheckHealth) {
	endpoint := e.endpoints.get(command.EndpointID)
	if endpoint == nil {
		return
	}
	e.activity.healthChecks++
	endpoint.CheckHealth()
}
