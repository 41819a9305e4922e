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
	written      []*writtenVote  // votes that have not been carried out
	newestVote   effectiveVote   // the last vote carried out; its field until holds when the vote took effect
}

// effectiveVote is a vote that the rollout controller has carried out.
type effectiveVote struct {
	agent  int
	record election.Record
	until  int64 // when its lifetime ends
}

// writtenVote is a vote that the rollout controller has received and not carried out.
type writtenVote struct {
	writtenAt int64
	carryOut  func()
	isBounded bool  // the controller has answered a call that began after the vote was written
	latest    int64 // the latest time at which the vote is carried out; only if isBounded
}

// write receives a vote that is carried out at the time at, or at the end of a stall that has begun by then. Once the controller has answered a
// call that began after the vote was written, the vote is carried out within MaxVoteDelay even if the controller stalls again.
func (c *rolloutController) write(t *timeline, vote *writtenVote, at int64) {
	c.written = append(c.written, vote)
	c.scheduleVote(t, vote, at)
}

func (c *rolloutController) scheduleVote(t *timeline, vote *writtenVote, at int64) {
	t.schedule(at, func() {
		resumesAt := c.stalledUntil
		if vote.isBounded {
			resumesAt = min(resumesAt, vote.latest)
		}
		if t.now < resumesAt {
			c.scheduleVote(t, vote, resumesAt)
			return
		}
		c.written = slices.DeleteFunc(c.written, func(other *writtenVote) bool { return other == vote })
		vote.carryOut()
	})
}

// answerCall records that the controller has answered a call that began at begunAt.
func (c *rolloutController) answerCall(now, begunAt int64) {
	for _, vote := range c.written {
		if !vote.isBounded && vote.writtenAt <= begunAt {
			vote.isBounded, vote.latest = true, now+electionSettings.MaxVoteDelay-ms
		}
	}
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
