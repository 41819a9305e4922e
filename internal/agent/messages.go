package agent

import (
	"context"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// message is an entry of one of the loop's mailboxes.
type message interface{ isMessage() }

type (
	// policyEvent is an event for the policy from another goroutine.
	policyEvent struct{ policy.Event }

	// requestArrived is a new request: the event for the policy, and the Request by which it is answered.
	requestArrived struct {
		event   policy.RequestArrived
		request *Request
	}

	// requestCoalesced is a client's retry that gets the reply of the request that it repeats, the leader.
	requestCoalesced struct{ retry *JoinedRetry }

	// retryExpired reports that the deadline of a retry has come that may still wait for the reply to its leader.
	retryExpired struct{ id uint64 }

	// attemptFinished is an endpoint's result of an attempt.
	attemptFinished struct{ upstream.AttemptFinished }

	// connectionsExhausted reports that no descriptor was left for a connection to an endpoint.
	connectionsExhausted struct{}
)

// EndpointList is a change of the endpoint list, or the whole list.
type EndpointList struct {
	policy.EndpointUpdate
	Entries []protocol.ListEntry // discovery's entry for each of Endpoints, in the same order
}

// Barrier is a message whose channel is closed when all messages before it have been handled.
type Barrier struct{ Done chan struct{} }

func (policyEvent) isMessage()          {}
func (requestArrived) isMessage()       {}
func (requestCoalesced) isMessage()     {}
func (retryExpired) isMessage()         {}
func (attemptFinished) isMessage()      {}
func (connectionsExhausted) isMessage() {}
func (EndpointList) isMessage()         {}
func (Barrier) isMessage()              {}

// Enqueue hands an event to the policy.
func (l *Loop) Enqueue(event policy.Event) { l.mailbox.Put(policyEvent{event}) }

// Admit hands a request to the policy and keeps it until it is answered and none of its attempts is in flight.
func (l *Loop) Admit(event policy.RequestArrived, request *Request) {
	l.mailbox.Put(requestArrived{event, request})
}

// Coalesce answers a client's retry with the reply of the request that it repeats, at the retry's deadline at the latest, or returns it.
func (l *Loop) Coalesce(retry *JoinedRetry) { l.mailbox.Put(requestCoalesced{retry}) }

// UpdateEndpoints hands a change of the endpoint list to the loop, which handles it ahead of all waiting messages that are not urgent.
func (l *Loop) UpdateEndpoints(list EndpointList) { l.urgent.Put(list) }

// UpdateRollout hands the state of a rollout to the policy, ahead of all waiting messages that are not urgent.
func (l *Loop) UpdateRollout(update policy.RolloutUpdate) { l.urgent.Put(policyEvent{update}) }

// AttemptFinished implements upstream.Events.
func (l *Loop) AttemptFinished(result upstream.AttemptFinished) {
	l.mailbox.Put(attemptFinished{result})
}

// HealthChecked implements upstream.Events.
func (l *Loop) HealthChecked(result policy.HealthCheckResult) { l.mailbox.Put(policyEvent{result}) }

// ConnectionsExhausted implements upstream.Events: it makes all endpoints close the connections that they do not need.
func (l *Loop) ConnectionsExhausted() { l.mailbox.Put(connectionsExhausted{}) }

// DialStarted implements upstream.Events: it counts a dial for the activity log.
func (l *Loop) DialStarted() { l.activity.dials.Add(1) }

// CountListCall counts a call to discovery for the activity log.
func (l *Loop) CountListCall() { l.activity.listCalls.Add(1) }

// Flush waits until all messages that were put into the mailboxes before the call have been handled, or ctx ends.
func (l *Loop) Flush(ctx context.Context) {
	done := make(chan struct{})
	l.mailbox.Put(Barrier{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
