package coordinator

import (
	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// Packages policy and election each have a type for verdicts, because neither imports the other. This package converts between them.

// electionVerdict converts a verdict of package policy to one of package election.
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

// policyVerdict converts a verdict of package election to one of package policy.
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
