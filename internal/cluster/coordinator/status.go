package coordinator

import (
	"fmt"

	"switchfork/internal/cluster/election"
)

// noDecision stands in a report whose agent knows of no decision.
const noDecision = "none"

// StatusReport is the admin address's answer to a status query: the leader and its lease, as this agent knows them.
type StatusReport struct {
	Me         int    `json:"me"`
	Leads      bool   `json:"leads"`
	Owner      int    `json:"owner"` // the lease's holder; -1: none that this agent knows of
	Term       uint64 `json:"term"`
	LeftMS     int64  `json:"left_ms"`
	Unresolved bool   `json:"unresolved"`
	WaitsMS    int64  `json:"waits_ms"`    // until no vote of an earlier leader can count
	AbstainsMS int64  `json:"abstains_ms"` // until this agent takes part again
	Newest     string `json:"newest"`      // the newest decision that it knows
	Members    []int  `json:"members"`
}

// NewStatusReport reports the status of the replica with the given index.
func NewStatusReport(index int, status election.Status) StatusReport {
	return StatusReport{
		Me:         index,
		Leads:      status.IsLeader,
		Owner:      status.LeaseHolder,
		Term:       status.Term,
		LeftMS:     status.LeaseRemaining / microsPerMilli,
		Unresolved: status.HasUnresolvedVote,
		WaitsMS:    status.EarlierVotesExpireIn / microsPerMilli,
		AbstainsMS: status.AbstainsFor / microsPerMilli,
		Newest:     describeRecord(status.Newest),
		Members:    memberIndices(status.Members),
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
