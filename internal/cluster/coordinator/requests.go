package coordinator

import (
	"context"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// Receive takes an encoded message of another agent. It is dropped if too many wait.
func (c *Coordinator) Receive(frame []byte) {
	select {
	case c.frames <- frame:
	default:
		c.metrics.messagesDropped.Inc()
	}
}

// Recommend takes the vote that this agent's release analyzer would cast. It never waits, as the whole agent stands still while the
// event loop, which calls it, does.
func (c *Coordinator) Recommend(vote policy.Vote) { c.mailbox.Put(voteRecommendation{vote}) }

// UpdateRollout takes the rollout controller's report.
func (c *Coordinator) UpdateRollout(update policy.RolloutUpdate) {
	c.mailbox.Put(rolloutUpdate{update})
}

// Leave hands the lease over, if this agent holds it, and returns when the handover has been sent to the other agents, or the context ends.
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

// ChangeMembers adds a member or removes one. Only the leader's coordinator can.
func (c *Coordinator) ChangeMembers(ctx context.Context, change MemberChange) error {
	answer := make(chan error, 1)
	c.mailbox.Put(memberChangeRequest{change, answer})
	refusal, err := await(ctx, answer)
	if err != nil {
		return err
	}
	return refusal
}

// await returns the answer to a message, or the context's error if it ends before.
func await[T any](ctx context.Context, answer <-chan T) (T, error) {
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
