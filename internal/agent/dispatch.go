package agent

import (
	"fmt"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// dispatch handles one message of a mailbox.
func (l *Loop) dispatch(m message) {
	switch m := m.(type) {
	case requestArrived:
		l.requests[m.event.ID] = m.request
		l.activity.arrived++
		l.handle(m.event)
	case requestCoalesced:
		l.coalesceRequest(m)
	case attemptFinished:
		l.finishAttempt(m.AttemptFinished)
	case EndpointList:
		l.updateEndpoints(m)
	case connectionsExhausted:
		for _, endpoint := range l.endpointOrder {
			endpoint.TrimIdle()
		}
	case Barrier:
		close(m.Done)
	case policyEvent:
		l.dispatchEvent(m.Event)
	default:
		panic(fmt.Sprintf("no way to handle a message of type %T", m))
	}
}

// dispatchEvent hands an event to the policy, after what the loop itself has to do for it.
func (l *Loop) dispatchEvent(event policy.Event) {
	switch event := event.(type) {
	case policy.RequestCancelled:
		l.cancelRequest(event)
	case policy.RolloutUpdate:
		if event.IsVoteReply && event.Outcome == policy.Rejected {
			l.activity.votesRejected++
		}
		l.handle(event)
	default:
		l.handle(event)
	}
}

// cancelRequest ends a request whose client has gone. One that is already answered is not reported to the policy again.
func (l *Loop) cancelRequest(event policy.RequestCancelled) {
	request := l.requests[event.RequestID]
	if request == nil || request.answered {
		return
	}
	request.result = admission.ClientGone
	l.activity.cancelledByClient++
	l.finishRequest(event.RequestID, request)
	l.handle(event)
}

// coalesceRequest adds a retry to those that wait for its request's reply.
func (l *Loop) coalesceRequest(m requestCoalesced) {
	leader := l.requests[m.leaderID]
	if leader == nil || leader.answered {
		m.request.replies <- Reply{Rejected: true} // no attempt was made for the retry, so the client may repeat it
		return
	}
	leader.coalesced = append(leader.coalesced, m.request.replies)
}

// finishAttempt handles the result of an attempt. The first successful response is the client's, and so is a client error: no other
// endpoint would accept the request.
func (l *Loop) finishAttempt(finished upstream.AttemptFinished) {
	request := l.requests[finished.RequestID]
	if request == nil {
		finished.RequestDone = true
		l.handle(finished.AttemptResult)
		return
	}
	request.inFlight--
	isFinal := finished.Result == protocol.Succeeded || finished.Result == protocol.ClientError
	if !request.answered && isFinal {
		request.result = admission.Succeeded
		l.activity.succeeded++
		request.Deliver(Reply{Response: finished.Response})
		request.answered = true
	}
	finished.RequestDone = request.answered
	if request.answered {
		l.finishRequest(finished.RequestID, request)
	}
	l.handle(finished.AttemptResult)
}

// finishRequest marks a request as answered and forgets it once none of its attempts is in flight.
func (l *Loop) finishRequest(id uint64, request *Request) {
	request.answered = true
	if request.inFlight > 0 {
		return
	}
	delete(l.requests, id)
	if request.OnDone != nil {
		request.OnDone()
	}
}
