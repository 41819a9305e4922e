package coordinator

import (
	"fmt"

	"switchfork/internal/cluster/election"
)

// noDecision stands in a report whose agent knows of no decision.
const noDecision = "none"

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
	NewestDecision         string `json:"newest"`      // that it knows
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

func describeRecord(record election.Record) string {
	if record.Term == 0 {
		return noDecision
	}
	return fmt.Sprintf("%d.%d build %d stage %d %v", record.Term, record.Index, record.Build, record.Stage, record.Verdict)
}

func memberIndices(members election.Members) (indices []int) {
	for i := range election.MaxReplicas {
		if members.Contains(i) {
			indices = append(indices, i)
		}
	}
	return indices
}
