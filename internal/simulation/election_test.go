package simulation

import (
	"testing"

	"switchfork/internal/cluster/election"
)

// Random schedules of faults cause no violation. With a guard disabled some of them do, which shows that the check detects a
// missing guard.
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
		t.Errorf("%d of 150 schedules have violations, want none", n)
	}
	for name, off := range map[string]election.DisabledGuards{"lease": {LeaseTimeout: true}, "wait": {WaitForEarlierVotes: true}, "record": {QuorumBeforeCast: true}, "answer": {ControllerAnswer: true}} {
		if violated(off) == 0 {
			t.Errorf("no schedule has a violation without the guard %s, want at least one", name)
		}
	}
	first = 1400 // a violation needs a ballot that is sent again and whose first answers are late, which happens in one of some thousand schedules
	if violated(election.DisabledGuards{LeaseFromStart: true}) == 0 {
		t.Error("no schedule has a violation where a lease counts from when its ballot was sent again, want at least one")
	}
}

// If a message takes a tenth of a lease, a ballot takes longer than the interval between two renewals. A new leader is still
// elected soon after the leader has crashed, and it stays the leader.
func TestSlowNetworkElectsLeader(t *testing.T) {
	for _, agents := range []int{3, 4, 5} {
		for seed := range int64(40) {
			result := PlayElection(ElectionSchedule{Seed: seed, Agents: agents, Seconds: 40, LeaderFaultOnly: true, MessageDelay: ElectionLease() / 10})
			if len(result.Violations) > 0 {
				t.Fatalf("%d agents, seed %d: violations %v, want none", agents, seed, result.Violations)
			}
			for _, gap := range result.Gaps {
				if gap > 3*ElectionLease() {
					t.Errorf("%d agents, seed %d: no leader for %.1f s, want at most three leases of %.1f s", agents, seed, float64(gap)/1e6, float64(ElectionLease())/1e6)
				}
			}
		}
	}
}
