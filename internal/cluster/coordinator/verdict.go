package coordinator

import (
	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// The policy and the election each have a type for verdicts, as neither imports the other; package coordinator knows both.

// electionVerdict converts a verdict of the policy.
func electionVerdict(verdict policy.Verdict) election.Verdict {
	switch verdict {
	case policy.Advance:
		return election.Advance
	case policy.Hold:
		return election.Hold
	case policy.Rollback:
		return election.Rollback
	case policy.NoVote:
	}
	return election.NoVote
}

// policyVerdict converts a verdict of the election.
func policyVerdict(verdict election.Verdict) policy.Verdict {
	switch verdict {
	case election.Advance:
		return policy.Advance
	case election.Hold:
		return policy.Hold
	case election.Rollback:
		return policy.Rollback
	case election.NoVote:
	}
	return policy.NoVote
}
