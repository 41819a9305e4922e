package agent

import (
	"fmt"

	"switchfork/internal/policy"
)

// dispatch handles one message of a mailbox.
func (l *Loop) dispatch(m message) {
	switch m := m.(type) {
	case requestArrived:
		l.requests.add(m.event.ID, m.request)
		l.handle(m.event)
	case requestCoalesced:
		l.requests.coalesce(m.leaderID, m.request)
	case attemptFinished:
		result := m.AttemptResult
		result.RequestDone = l.requests.finishAttempt(m.AttemptFinished)
		l.handle(result)
	case EndpointList:
		l.endpoints.update(m) // before the policy may send attempts to them
		l.handle(m.EndpointUpdate)
	case connectionsExhausted:
		l.endpoints.trimIdle()
	case Barrier:
		close(m.Done)
	case policyEvent:
		l.dispatchEvent(m.Event)
	default:
		panic(fmt.Sprintf("agent: no handling of a message of type %T", m))
	}
}

// dispatchEvent hands an event to the policy, after what the loop itself has to do for it. A cancelled request that is already answered
// is not reported to the policy again.
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
