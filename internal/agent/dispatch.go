package agent

import (
	"fmt"
	"time"

	"switchfork/internal/policy"
)

// dispatch handles one message from either mailbox.
func (l *Loop) dispatch(m message) {
	switch m := m.(type) {
	case requestArrived:
		l.requests.add(m.event.ID, m.request)
		l.handle(m.event)
	case requestCoalesced:
		l.coalesce(m.retry)
	case retryExpired:
		l.requests.retries.expire(m.id)
	case attemptFinished:
		result := m.AttemptResult
		result.RequestDone = l.requests.finishAttempt(m.AttemptFinished)
		l.handle(result)
	case EndpointList:
		l.endpoints.update(m) // first, because the policy may send attempts to new endpoints at once
		l.handle(m.EndpointUpdate)
	case connectionsExhausted:
		l.endpoints.trimIdle()
	case Barrier:
		close(m.Done)
	case policyEvent:
		l.dispatchEvent(m.Event)
	default:
		panic(fmt.Sprintf("agent: unknown message type %T", m))
	}
}

// dispatchEvent updates the loop's own state for an event and hands the event to the policy. It drops the cancellation of a request that is
// unknown or already answered.
func (l *Loop) dispatchEvent(event policy.Event) {
	switch event := event.(type) {
	case policy.RequestCancelled:
		if !l.requests.cancel(event.RequestID) {
			return
		}
	case policy.RolloutUpdate:
		if event.IsVoteReply && event.Outcome == policy.Rejected {
			l.activity.votesRejected++
		}
	}
	l.handle(event)
}

// coalesce makes a retry wait for the reply to its leader until the retry's own deadline.
func (l *Loop) coalesce(retry *JoinedRetry) {
	if !l.requests.coalesce(retry) {
		return
	}
	id := retry.ID
	retry.expiry = time.AfterFunc(time.Until(retry.Request.Deadline), func() { l.mailbox.Put(retryExpired{id}) })
}
