package coordinator

import (
	"fmt"
	"strings"

	"switchfork/internal/cluster/election"
)

const (
	// noDecision is reported as the newest decision by an agent that knows of none.
	noDecision = "none"
	// wireAdvance and wireRollback are the words for the two verdicts at the admin address. They must not change, because commands of
	// any version read them.
	wireAdvance  = "on"
	wireRollback = "back"
)

// StatusReport is the answer to a status query at the admin address. It describes the leader and its lease as far as this agent knows
// them. The JSON keys are part of the protocol between the agent and commands of any version.
type StatusReport struct {
	Replica                int    `json:"me"`
	IsLeader               bool   `json:"leads"`
	LeaseHolder            int    `json:"owner"` // the agent that holds the lease; -1: none that this agent knows of
	Term                   uint64 `json:"term"`
	LeaseRemainingMS       int64  `json:"left_ms"`
	HasUnresolvedVote      bool   `json:"unresolved"`
	EarlierVotesExpireInMS int64  `json:"waits_ms"`    // time until votes of earlier leaders no longer count
	AbstainsForMS          int64  `json:"abstains_ms"` // time until this agent participates again
	NewestDecision         string `json:"newest"`      // newest decision that this agent knows of, in the words of the admin address
	Members                []int  `json:"members"`
}

// NewStatusReport reports the status of the replica with the given index.
func NewStatusReport(index int, status election.Status) StatusReport {
	return StatusReport{
		Replica:                index,
		IsLeader:               status.IsLeader,
		LeaseHolder:            status.LeaseHolder,
		Term:                   status.Term,
		LeaseRemainingMS:       status.LeaseRemaining / microsPerMilli,
		HasUnresolvedVote:      status.HasUnresolvedVote,
		EarlierVotesExpireInMS: status.EarlierVotesExpireIn / microsPerMilli,
		AbstainsForMS:          status.AbstainsFor / microsPerMilli,
		NewestDecision:         describeRecord(status.Newest),
		Members:                memberIndices(status.Members),
	}
}

// DescribeNewestDecision returns the newest decision for people to read, with the verdict named as in the log.
func (r StatusReport) DescribeNewestDecision() string {
	if rest, found := strings.CutSuffix(r.NewestDecision, " "+wireAdvance); found {
		return fmt.Sprintf("%s %v", rest, election.Advance)
	}
	if rest, found := strings.CutSuffix(r.NewestDecision, " "+wireRollback); found {
		return fmt.Sprintf("%s %v", rest, election.Rollback)
	}
	return r.NewestDecision
}

// describeRecord formats a decision in the words of the admin address.
func describeRecord(record election.Record) string {
	if record.Term == 0 {
		return noDecision
	}
	return fmt.Sprintf("%d.%d build %d stage %d %s", record.Term, record.Index, record.Build, record.Stage, wireVerdict(record.Verdict))
}

func wireVerdict(verdict election.Verdict) string {
	switch verdict {
	case election.Advance:
		return wireAdvance
	case election.Rollback:
		return wireRollback
	case election.NoVote, election.Hold:
	}
	return verdict.String()
}

func memberIndices(members election.Members) (indices []int) {
	for i := range election.MaxReplicas {
		if members.Contains(i) {
			indices = append(indices, i)
		}
	}
	return indices
}
