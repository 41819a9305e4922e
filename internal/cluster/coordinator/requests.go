package coordinator

import (
	"context"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// Receive queues an encoded message from another agent. The message is dropped if the queue is full.
func (c *Coordinator) Receive(frame []byte) {
	select {
	case c.frames <- frame:
	default:
		c.metrics.messagesDropped.Inc()
	}
}

// Recommend gives the replica the vote that this agent's release analyzer would cast. Recommend never blocks, because the event loop calls
// it and the whole agent waits while the event loop is blocked.
func (c *Coordinator) Recommend(vote policy.Vote) { c.mailbox.Put(voteRecommendation{vote}) }

// UpdateRollout passes a report of the rollout controller to the replica.
func (c *Coordinator) UpdateRollout(update policy.RolloutUpdate) {
	c.mailbox.Put(rolloutUpdate{update})
}

// Leave hands over the lease if this agent holds it. Leave returns when the handover has been sent to the other agents or the context ends.
func (c *Coordinator) Leave(ctx context.Context) {
	done := make(chan struct{})
	c.mailbox.Put(leaveRequest{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Status returns the replica's status.
func (c *Coordinator) Status(ctx context.Context) (election.Status, error) {
	answer := make(chan election.Status, 1)
	c.mailbox.Put(statusRequest{answer})
	return await(ctx, answer)
}

// ChangeMembers adds or removes a member. Only the leader can change the members. If the change is refused, the error says why.
func (c *Coordinator) ChangeMembers(ctx context.Context, change MemberChange) error {
	answer := make(chan error, 1)
	c.mailbox.Put(memberChangeRequest{change, answer})
	refusal, err := await(ctx, answer)
	if err != nil {
		return err
	}
	return refusal
}

// await waits for the answer to a message. It returns the context's error if the context ends first.
func await[T any](ctx context.Context, answer <-chan T) (T, error) {
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
