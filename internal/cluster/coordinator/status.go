package coordinator

import (
	"fmt"
	"strings"

	"switchfork/internal/cluster/election"
)

const (
	// noDecision stands in a report whose agent knows of no decision.
	noDecision = "none"
	// wireAdvance and wireRollback are the admin address's words for the two verdicts; commands of any version read them.
	wireAdvance  = "on"
	wireRollback = "back"
)

// StatusReport is the admin address's answer to a status query: the leader and its lease, as this agent knows them. The keys are
// part of the protocol between the agent and the commands of any version.
type StatusReport struct {
	Replica                int    `json:"me"`
	IsLeader               bool   `json:"leads"`
	LeaseHolder            int    `json:"owner"` // -1: none that this agent knows of
	Term                   uint64 `json:"term"`
	LeaseRemainingMS       int64  `json:"left_ms"`
	HasUnresolvedVote      bool   `json:"unresolved"`
	EarlierVotesExpireInMS int64  `json:"waits_ms"`    // until no vote of an earlier leader can count
	AbstainsForMS          int64  `json:"abstains_ms"` // until this agent takes part again
	NewestDecision         string `json:"newest"`      // that it knows, in the words of the admin address
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

// DescribeNewestDecision returns the newest decision for people to read.
func (r StatusReport) DescribeNewestDecision() string {
	if rest, found := strings.CutSuffix(r.NewestDecision, " "+wireAdvance); found {
		return fmt.Sprintf("%s %v", rest, election.Advance)
	}
	if rest, found := strings.CutSuffix(r.NewestDecision, " "+wireRollback); found {
		return fmt.Sprintf("%s %v", rest, election.Rollback)
	}
	return r.NewestDecision
}

// describeRecord returns a decision in the words of the admin address.
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
