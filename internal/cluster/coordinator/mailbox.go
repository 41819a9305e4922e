package coordinator

import (
	"context"
	"errors"
	"log/slog"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

// ErrNoStateDir refuses a change of the members. An agent that restarts without stored state would count quorums among its
// configured members, who could then agree without any of the current ones.
var ErrNoStateDir = errors.New("members change only where each agent has a state folder")

// message is anything that the mailbox holds. Its handle method runs on the goroutine of Serve.
type message interface {
	handle(*Coordinator)
}

// localVote is the vote that this agent's release analyzer recommends.
type localVote struct{ vote policy.Vote }

// rolloutUpdate is the rollout controller's report of the state of a build's rollout.
type rolloutUpdate struct{ update policy.RolloutUpdate }

// voteResolved reports that a vote was carried out, or never will be.
type voteResolved struct{ record election.Record }

// leaveRequest has this agent hand its lease over.
type leaveRequest struct{ done chan<- struct{} }

// statusRequest asks for the replica's status.
type statusRequest struct{ answer chan<- election.Status }

// memberChange adds or removes a member; noAgent stands for none.
type memberChange struct {
	added, removed int
	answer         chan<- error
}

// noAgent in place of an agent's index.
const noAgent = -1

// Receive takes an encoded message of another agent. It is dropped if too many wait.
func (c *Coordinator) Receive(frame []byte) {
	select {
	case c.frames <- frame:
	default:
		c.metrics.messagesDropped.Inc()
	}
}

// Recommend takes the vote that this agent's release analyzer would cast. The event loop calls it, and the whole agent stands still while
// the event loop waits: when frames of other agents shared a bounded channel with it, a full one blocked the agent for good.
func (c *Coordinator) Recommend(vote policy.Vote) { c.mailbox.Put(localVote{vote}) }

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
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return election.Status{}, ctx.Err()
	}
}

// ChangeMembers adds one member and removes another; -1 stands for none.
func (c *Coordinator) ChangeMembers(ctx context.Context, added, removed int) error {
	answer := make(chan error, 1)
	c.mailbox.Put(memberChange{added, removed, answer})
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receive handles a frame of another agent. It runs on the goroutine of Serve.
func (c *Coordinator) receive(frame []byte) {
	now := c.now()
	from, decoded, err := transport.Decode(c.group, frame)
	if err != nil || from == c.index {
		c.metrics.messagesDropped.Inc()
		return
	}
	c.metrics.messagesReceived.Inc()
	c.execute(c.replica.Receive(now, from, decoded))
}

func (m localVote) handle(c *Coordinator) {
	c.recommend(election.Decision{
		Build:   int32(m.vote.Build),
		Stage:   int32(m.vote.Stage),
		Verdict: electionVerdicts[m.vote.Verdict],
	})
}

func (m rolloutUpdate) handle(c *Coordinator) {
	now := c.now()
	c.rollout = m.update
	c.rollout.IsVoteReply = false // it may be given to the policy once more, where it answers no vote
	c.hasRollout = true
	isEvaluating := m.update.Phase == policy.Evaluating
	c.execute(c.replica.UpdateRollout(now, int32(m.update.Build), int32(m.update.Stage), isEvaluating))
	if d := c.selfStopped; d != nil && int(d.Build) == m.update.Build && int(d.Stage) == m.update.Stage {
		c.stopSending(*d) // the update has set the traffic cap again
	}
}

func (m voteResolved) handle(c *Coordinator) {
	c.execute(c.replica.ResolveVote(c.now(), m.record))
}

func (m leaveRequest) handle(c *Coordinator) {
	c.hasLeft = true
	c.execute(c.replica.Leave(c.now()))
	close(m.done)
}

func (m statusRequest) handle(c *Coordinator) {
	m.answer <- c.replica.Status(c.now())
}

func (m memberChange) handle(c *Coordinator) {
	if c.store == nil {
		m.answer <- ErrNoStateDir
		return
	}
	now := c.now()
	mask := c.replica.Status(now).Members.Mask
	if m.added >= 0 {
		mask |= 1 << m.added
	}
	if m.removed >= 0 {
		mask &^= 1 << m.removed
	}
	commands, err := c.replica.ChangeMembers(now, mask)
	c.execute(commands)
	if err == nil {
		slog.Info("members changed", "added", m.added, "removed", m.removed, "members", c.replica.Status(now).Members.Mask)
	}
	m.answer <- err
}
