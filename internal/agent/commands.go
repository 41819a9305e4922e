package agent

import (
	"fmt"
	"log/slog"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// carryOut executes a command of the policy.
func (l *Loop) carryOut(command policy.Command) {
	switch command := command.(type) {
	case policy.SetTimer:
		l.setTimer(command)
	case policy.SendAttempt:
		l.sendAttempt(command)
	case policy.CancelAttempt:
		l.cancelAttempt(command)
	case policy.Reject:
		l.replyTo(command.RequestID, Reply{Rejected: true, RetryAfter: command.RetryAfter})
	case policy.Fail:
		l.replyTo(command.RequestID, Reply{})
	case policy.CheckHealth:
		l.checkHealth(command)
	case policy.Vote:
		l.activity.votes++
		l.castVote(command)
	case policy.SendGossip:
		l.sendGossip(command)
	case policy.WatchEndpoints:
		// Nothing to do: the discovery client watches the endpoint list all the time.
	case policy.LogMessage:
		slog.Info("policy message", "text", command.Text)
	default:
		panic(fmt.Sprintf("no way to carry out %T", command))
	}
}

// sendAttempt hands an attempt to its endpoint. It is reported as not sent where its request or endpoint is not known, or where the
// request is answered or has an attempt in flight already.
func (l *Loop) sendAttempt(command policy.SendAttempt) {
	request, endpoint := l.requests[command.RequestID], l.endpoints[command.EndpointID]
	if request == nil || request.answered || request.inFlight > 0 || endpoint == nil {
		l.refuseAttempt(command, request)
		return
	}
	if request.OnFirstAttempt != nil {
		request.OnFirstAttempt()
		request.OnFirstAttempt = nil
	}
	request.attempts++
	if request.attempts > 1 {
		l.activity.retries++
	}
	l.activity.attempts++
	request.inFlight++
	request.endpoint = endpoint
	attempt := upstream.Attempt{
		RequestID: command.RequestID,
		Encoded:   request.Encoded,
		DecidedAt: l.handledAt,
		Deadline:  attemptDeadline(request.Deadline, l.handledAt, command.Timeout),
	}
	if command.WriteBefore != 0 {
		attempt.WriteBefore = l.clock.Time(command.WriteBefore)
	}
	endpoint.Send(attempt)
}

// attemptDeadline is when an attempt times out: after its own timeout, where it has one, but no later than its request.
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

// refuseAttempt reports an attempt that can't be sent as not sent; request is nil where it is not known.
func (l *Loop) refuseAttempt(command policy.SendAttempt, request *Request) {
	slog.Error("attempt not possible", "request", command.RequestID, "endpoint", command.EndpointID)
	l.AttemptFinished(upstream.AttemptFinished{
		AttemptResult: policy.AttemptResult{
			RequestID:  command.RequestID,
			EndpointID: command.EndpointID,
			Outcome:    protocol.NotSent.Outcome(),
		},
		Result: protocol.NotSent,
	})
	if request != nil {
		request.inFlight++ // finishAttempt decrements it with the result
	}
}

// cancelAttempt cancels the attempt of a request that is in flight.
func (l *Loop) cancelAttempt(command policy.CancelAttempt) {
	request := l.requests[command.RequestID]
	if request == nil || request.inFlight == 0 {
		return
	}
	l.activity.cancelledAttempts++
	request.endpoint.Cancel(command.RequestID)
}

// checkHealth starts a health check of an endpoint that is still listed.
func (l *Loop) checkHealth(command policy.CheckHealth) {
	endpoint := l.endpoints[command.EndpointID]
	if endpoint == nil {
		return
	}
	l.activity.healthChecks++
	endpoint.CheckHealth()
}

// replyTo answers a request that has no answer yet with the policy's own reply.
func (l *Loop) replyTo(id uint64, reply Reply) {
	request := l.requests[id]
	if request == nil || request.answered {
		return
	}
	if reply.Rejected {
		request.result = admission.Rejected
		l.activity.rejected++
	} else {
		request.result = admission.Failed
		l.activity.failed++
	}
	request.Deliver(reply)
	l.finishRequest(id, request)
}
