package simulation

import (
	"fmt"
	"slices"

	"switchfork/internal/cluster/election"
)

// checkVote takes a vote into effect at the rollout controller. It must not be contrary to another agent's that counts, nor
// advance the build when it was cast before another agent's contrary vote took effect.
func (r *electionRun) checkVote(i int, record election.Record, castAt int64) {
	if record.Build != r.build || record.Stage != r.stage {
		return // moot
	}
	r.result.EffectiveVotes++
	r.votes = slices.DeleteFunc(r.votes, func(v effectiveVote) bool { return v.until <= r.now || v.agent == i })
	for _, other := range r.votes {
		if isContrary(other.record, record) {
			r.reportViolation("at %d us agent %d's %v counts beside agent %d's %v", r.now, i, record, other.agent, other.record)
		}
	}
	newest := r.newestVote
	if newest.agent != i && castAt < newest.until && record.Verdict == election.Advance && isContrary(newest.record, record) {
		r.reportViolation("at %d us deposed agent %d's %v is carried out after %v", r.now, i, record, newest.record)
	}
	r.newestVote = effectiveVote{agent: i, record: record, until: r.now}
	r.votes = append(r.votes, effectiveVote{agent: i, record: record, until: r.now + electionSettings.VoteLifetime})
	if record.Verdict == election.Rollback && r.badSince > 0 && r.result.RollbackAfter < 0 {
		r.result.RollbackAfter = r.now - r.badSince
	}
}

// isContrary reports whether two records decide differently on the same stage.
func isContrary(a, b election.Record) bool {
	return a.Build == b.Build && a.Stage == b.Stage && a.Verdict != b.Verdict
}

func (r *electionRun) reportViolation(format string, arguments ...any) {
	if len(r.result.Violations) < maxViolations {
		r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, arguments...))
	}
}

// observeLeader keeps the account of who leads, and checks that one agent does at most.
func (r *electionRun) observeLeader() {
	leader, count := noAgent, 0
	for i, a := range r.agents {
		if !a.isDown && r.now >= a.pausedUntil && a.replica.IsLeader(r.clock(a)) {
			leader = i
			count++
		}
	}
	if count > 1 {
		r.reportViolation("at %d us %d agents lead", r.now, count)
	}
	if leader == noAgent {
		if r.gapStartedAt == 0 {
			r.gapStartedAt = r.now
		}
		return
	}
	if r.gapStartedAt > 0 {
		r.result.Gaps = append(r.result.Gaps, r.now-r.gapStartedAt)
		r.gapStartedAt = 0
	}
	if leader == r.leader {
		return
	}
	r.result.Leaderships++
	if r.leader != noAgent {
		r.result.LeaderChanges++
	}
	r.leader = leader
}
