package simulation

import (
	"testing"

	"switchfork/internal/cluster/election"
)

// Random schedules of faults cause no violation, and do so where a guard is disabled.
func TestElectionSafetyUnderFaults(t *testing.T) {
	first := int64(1)
	violated := func(disabled election.DisabledGuards) (count int) {
		for seed := first; seed < first+150; seed++ {
			if len(PlayElection(ElectionSchedule{Seed: seed, Agents: 3, Seconds: 40, DisabledGuards: disabled}).Violations) > 0 {
				count++
			}
		}
		return count
	}
	if n := violated(election.DisabledGuards{}); n > 0 {
		t.Errorf("%d of 150 schedules have violations", n)
	}
	for name, off := range map[string]election.DisabledGuards{"lease": {LeaseTimeout: true}, "wait": {WaitForEarlierVotes: true}, "record": {QuorumBeforeCast: true}} {
		if violated(off) == 0 {
			t.Errorf("without %s nothing is found", name)
		}
	}
	first = 400 // it takes a ballot that is put again and whose first answers come late: one schedule in some hundreds
	if violated(election.DisabledGuards{LeaseFromStart: true}) == 0 {
		t.Error("a lease that counts from when its ballot was put again breaks nothing")
	}
}

// Where a message takes a tenth of a lease, a ballot lasts longer than the pause between two. There is a new leader soon after the
// leader has crashed, and it stays the leader.
func TestSlowNetworkElectsLeader(t *testing.T) {
	for _, agents := range []int{3, 4, 5} {
		for seed := range int64(40) {
			result := PlayElection(ElectionSchedule{Seed: seed, Agents: agents, Seconds: 40, LeaderFaultOnly: true, MessageDelay: ElectionLease() / 10})
			if len(result.Violations) > 0 {
				t.Fatalf("%d agents, seed %d: %v", agents, seed, result.Violations)
			}
			for _, gap := range result.Gaps {
				if gap > 3*ElectionLease() {
					t.Errorf("%d agents, seed %d: without a leader for %.1f s, a lease is %.1f", agents, seed, float64(gap)/1e6, float64(ElectionLease())/1e6)
				}
			}
		}
	}
}
