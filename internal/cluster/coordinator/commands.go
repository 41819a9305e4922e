package coordinator

import (
	"log/slog"
	"slices"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

var (
	electionVerdicts = map[policy.Verdict]election.Verdict{
		policy.NoVote:   election.NoVote,
		policy.Advance:  election.Advance,
		policy.Hold:     election.Hold,
		policy.Rollback: election.Rollback,
	}
	policyVerdicts = map[election.Verdict]policy.Verdict{
		election.NoVote:   policy.NoVote,
		election.Advance:  policy.Advance,
		election.Hold:     policy.Hold,
		election.Rollback: policy.Rollback,
	}
)

// execute carries the replica's commands out in order. It works on a copy, since the replica uses its slice again at the next
// call.
func (c *Coordinator) execute(commands []election.Command) {
	isStored := true // messages and votes behind a Persist rely on the state being stored
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
			if isStored && !c.storeFailed {
				c.castVote(command)
			}
		case election.SelfStop: // concerns this agent alone
			c.selfStop(command)
		}
	}
}

// persist saves the state where there is a store, and tells whether the messages and votes after it may go out. Once a save has failed
// the replica takes no part any more.
func (c *Coordinator) persist(state election.DurableState) bool {
	if c.store == nil {
		return true
	}
	if c.storeFailed {
		return false
	}
	if err := c.store.Save(state); err != nil {
		c.storeFailed = true
		slog.Error("state not saved: this replica stops participating", "err", err)
		c.replica.StopParticipating(c.now())
		return false
	}
	c.metrics.stateSyncs.Inc()
	return true
}

// castVote has the vote written, and reports back through the mailbox when it is resolved.
func (c *Coordinator) castVote(command election.CastVote) {
	record := command.Record
	slog.Info("vote decided", "term", record.Term, "index", record.Index, "build", record.Build, "stage", record.Stage,
		"verdict", record.Verdict.String())
	vote := policy.Vote{
		Build:   int(record.Build),
		Stage:   int(record.Stage),
		Verdict: policyVerdicts[record.Verdict],
	}
	c.callbacks.CastVote(vote, c.wallTime(command.WriteBefore), func(written bool) {
		if written {
			c.metrics.votesCast.Inc()
		} else {
			c.metrics.votesRefused.Inc()
			slog.Warn("vote not written", "term", record.Term, "index", record.Index)
		}
		c.mailbox.Put(voteResolved{record})
	})
}

// selfStop begins or ends this agent's own stop of a build on trial. At its end the policy gets the last rollout update again.
func (c *Coordinator) selfStop(command election.SelfStop) {
	if command.Stop {
		c.stopSending(command.Decision)
		return
	}
	c.selfStopped = nil
	if c.hasRollout {
		c.callbacks.UpdateRollout(c.rollout)
	}
}

// stopSending sets the traffic cap of a build on trial to zero, in this agent alone.
func (c *Coordinator) stopSending(d election.Decision) {
	if c.selfStopped == nil {
		slog.Warn("no leader in reach: this agent stops sending to the build", "build", d.Build, "stage", d.Stage)
	}
	c.selfStopped = &d
	c.callbacks.UpdateRollout(policy.RolloutUpdate{
		Build: int(d.Build),
		Stage: int(d.Stage),
		Phase: policy.Evaluating,
		Cap:   0,
		Age:   c.rollout.Age,
	})
}
