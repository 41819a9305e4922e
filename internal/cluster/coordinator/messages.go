package coordinator

import (
	"errors"
	"log/slog"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

// ErrNoStateDir is returned when an agent without a state folder is asked for a member change. An agent that restarts without stored state
// counts quorums among its configured members. After a member change, a quorum of the configured members could agree although no
// current member takes part.
var ErrNoStateDir = errors.New("members change only where each agent has a state folder")

// message is an entry of the mailbox. Its handle method runs on the goroutine of Serve.
type message interface {
	handle(*Coordinator)
}

type (
	// voteRecommendation is the vote that this agent's release analyzer recommends.
	voteRecommendation struct{ vote policy.Vote }

	// rolloutUpdate is the rollout controller's report of the state of a build's rollout.
	rolloutUpdate struct{ update policy.RolloutUpdate }

	// voteResolved reports that a vote was carried out, or never will be.
	voteResolved struct{ record election.Record }

	// controllerAnswered reports that the rollout controller has answered a call that began at begunAt.
	controllerAnswered struct{ begunAt election.Micros }

	// leaveRequest asks this agent to hand over its lease. done is closed when the handover has been sent.
	leaveRequest struct{ done chan<- struct{} }

	// statusRequest asks for the replica's status.
	statusRequest struct{ answer chan<- election.Status }

	// memberChangeRequest asks for a member to be added or removed. The answer is nil, or the reason for a refusal.
	memberChangeRequest struct {
		change MemberChange
		answer chan<- error
	}
)

func (m voteRecommendation) handle(c *Coordinator) {
	c.recommend(election.Decision{
		Build:   int32(m.vote.Build),
		Stage:   int32(m.vote.Stage),
		Verdict: electionVerdict(m.vote.Verdict),
	})
}

func (m rolloutUpdate) handle(c *Coordinator) {
	now := c.clock.now()
	c.trafficStop.observe(m.update)
	isEvaluating := m.update.Phase == policy.Evaluating
	c.execute(c.replica.UpdateRollout(now, int32(m.update.Build), int32(m.update.Stage), isEvaluating))
	c.trafficStop.reapply(m.update)
}

func (m voteResolved) handle(c *Coordinator) {
	c.execute(c.replica.ResolveVote(c.clock.now(), m.record))
}

func (m controllerAnswered) handle(c *Coordinator) {
	c.execute(c.replica.ControllerAnswered(c.clock.now(), m.begunAt))
}

func (m leaveRequest) handle(c *Coordinator) {
	c.leadership.hasLeft = true
	c.execute(c.replica.Leave(c.clock.now()))
	close(m.done)
}

func (m statusRequest) handle(c *Coordinator) {
	m.answer <- c.replica.Status(c.clock.now())
}

func (m memberChangeRequest) handle(c *Coordinator) {
	m.answer <- c.changeMembers(m.change)
}

func (c *Coordinator) changeMembers(change MemberChange) error {
	if !c.state.hasStore() {
		return ErrNoStateDir
	}
	now := c.clock.now()
	commands, err := c.replica.ChangeMembers(now, change.apply(c.replica.Status(now).Members.Mask))
	c.execute(commands)
	if err != nil {
		return err
	}
	slog.Info("members changed", "change", change.Kind, "agent", change.Agent, "member_mask", c.replica.Status(now).Members.Mask)
	return nil
}

// receive handles a frame from another agent.
func (c *Coordinator) receive(frame []byte) {
	now := c.clock.now()
	from, decoded, err := transport.Decode(c.group, frame)
	if err != nil || from == c.index {
		c.metrics.messagesDropped.Inc()
		return
	}
	c.metrics.messagesReceived.Inc()
	c.execute(c.replica.Receive(now, from, decoded))
}
