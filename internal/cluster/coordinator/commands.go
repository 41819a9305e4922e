package coordinator

import (
	"log/slog"
	"slices"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/policy"
)

// execute carries the replica's commands out in order. It works on a copy, since the replica uses its slice again at the next
// call. Messages and votes behind a Persist rely on the state being stored, and are dropped where it is not.
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
		case election.SelfStop: // concerns this agent alone
			c.trafficStop.execute(command)
		}
	}
}

// persist saves the state, and reports whether the messages and votes after it may go out. Once a save has failed the replica takes no
// part any more.
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

// cast has a vote written, and reports back through the mailbox when it is resolved.
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
