package simulation

import (
	"slices"

	"switchfork/internal/cluster/election"
)

// rolloutController models the rollout controller that receives the agents' votes. It carries out the votes on the current stage
// and checks that no vote contradicts another agent's. The check does not depend on the agents' own state.
type rolloutController struct {
	result *ElectionResult

	build        int32
	stage        int32
	isBad        bool // the build is bad, since badSince
	badSince     int64
	stalledUntil int64
	votes        []effectiveVote // on the current stage
	newestVote   effectiveVote   // the last vote carried out; its field until holds when the vote took effect
}

// effectiveVote is a vote that the rollout controller has carried out.
type effectiveVote struct {
	agent  int
	record election.Record
	until  int64 // when its lifetime ends
}

// nextStage moves the rollout to the next stage. Votes on the previous stage no longer have an effect.
func (c *rolloutController) nextStage() {
	c.stage++
	c.votes = nil
}

// markBad marks the build as bad, so that the agents should roll it back.
func (c *rolloutController) markBad(now int64) {
	c.isBad = true
	c.badSince = now
}

// carryOut puts a vote into effect and records violations. The vote must not contradict another agent's vote that is still in
// effect. It must not advance the build if it was cast before another agent's contrary vote took effect.
func (c *rolloutController) carryOut(now int64, agent int, record election.Record, castAt int64) {
	if record.Build != c.build || record.Stage != c.stage {
		return // the vote is on an earlier stage
	}
	c.result.EffectiveVotes++
	c.votes = slices.DeleteFunc(c.votes, func(v effectiveVote) bool { return v.until <= now || v.agent == agent })
	for _, other := range c.votes {
		if isContrary(other.record, record) {
			c.result.addViolation("at %d us agent %d's vote %v is in effect together with agent %d's contrary vote %v",
				now, agent, record, other.agent, other.record)
		}
	}
	newest := c.newestVote
	isOutdated := newest.agent != agent && castAt < newest.until
	if isOutdated && record.Verdict == election.Advance && isContrary(newest.record, record) {
		c.result.addViolation("at %d us deposed leader %d's vote %v is carried out after the contrary vote %v", now, agent, record, newest.record)
	}
	c.newestVote = effectiveVote{agent: agent, record: record, until: now}
	c.votes = append(c.votes, effectiveVote{agent: agent, record: record, until: now + electionSettings.VoteLifetime})
	if record.Verdict == election.Rollback && c.isBad && c.result.RollbackAfter < 0 {
		c.result.RollbackAfter = now - c.badSince
	}
}

// isContrary reports whether two records decide differently on the same stage.
func isContrary(a, b election.Record) bool {
	return a.Build == b.Build && a.Stage == b.Stage && a.Verdict != b.Verdict
}
