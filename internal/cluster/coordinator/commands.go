package coordinator

import (
	"log/slog"
	"slices"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

// execute carries out the replica's commands in order. It iterates over a copy, because the replica reuses the slice in its next call.
// Messages and votes that follow a Persist rely on the state being stored, and are dropped if the state was not stored.
func (c *Coordinator) execute(commands []election.Command) {
	isStored := true
	for _, command := range slices.Clone(commands) {
		switch command := command.(type) {
		case election.Persist:
			isStored = c.persist(command.DurableState)
		case election.SendMessage:
			if isStored {
				c.metrics.messagesSent.Inc()
				c.transport.Send(command.To, transport.Encode(c.group, c.index, command.Message))
			}
		case election.CastVote:
			if isStored && !c.state.hasFailed {
				c.cast(command)
			}
		case election.ProbeController:
			c.probeController()
		case election.SelfStop: // affects this agent alone, so it does not depend on stored state
			c.trafficStop.execute(command)
		}
	}
}

// persist saves the state, and reports whether the messages and votes that follow the Persist command may be sent. Once a save has failed,
// the replica no longer participates in the election.
func (c *Coordinator) persist(state election.DurableState) bool {
	if c.state.hasFailed {
		return false
	}
	if err := c.state.save(state); err != nil {
		c.replica.StopParticipating(c.clock.now())
		return false
	}
	return true
}

// cast has a vote written to the rollout controller, and puts a voteResolved message into the mailbox when the vote is resolved.
func (c *Coordinator) cast(command election.CastVote) {
	record := command.Record
	slog.Info("vote decided", "term", record.Term, "index", record.Index, "build", record.Build, "stage", record.Stage,
		"verdict", record.Verdict.String())
	vote := policy.Vote{
		Build:   int(record.Build),
		Stage:   int(record.Stage),
		Verdict: policyVerdict(record.Verdict),
	}
	c.castVote(vote, c.clock.wallTime(command.WriteBefore), func(written bool) {
		if written {
			c.metrics.votesCast.Inc()
		} else {
			c.metrics.votesRefused.Inc()
			slog.Warn("vote not written", "term", record.Term, "index", record.Index)
		}
		c.mailbox.Put(voteResolved{record})
	})
}

// probeController makes a call to the rollout controller, and puts a controllerAnswered message into the mailbox if it is answered.
func (c *Coordinator) probeController() {
	begunAt := c.clock.now()
	c.metrics.controllerProbes.Inc()
	c.probe(func() { c.mailbox.Put(controllerAnswered{begunAt}) })
}
