package election

import (
	"slices"
	"testing"
)

func selfStops(commands []Command) (stops []SelfStop) {
	for _, command := range commands {
		if stop, ok := command.(SelfStop); ok {
			stops = append(stops, stop)
		}
	}
	return stops
}

// Without a leader, a replica whose release analyzer recommends a rollback stops its own agent's requests to the build, and
// resumes the requests when the analyzer recommends something else. While another replica leads, the replica stops nothing,
// because the leader casts the votes.
func TestSelfStopWithoutLeader(t *testing.T) {
	replica := New(Config{Members: InitialMembers(clusterSize), Settings: testSettings(), Now: second, Seed: 1})
	rollback := Decision{Build: 8, Stage: 1, Verdict: Rollback}
	var stops []SelfStop
	stops = append(stops, selfStops(replica.UpdateRollout(second, rollback.Build, rollback.Stage, true))...)
	stops = append(stops, selfStops(replica.Recommend(second, Decision{Build: 8, Stage: 1, Verdict: Advance}))...)
	if len(stops) != 0 {
		t.Fatalf("got %+v without a recommendation to roll back, want no commands", stops)
	}
	stops = append(stops, selfStops(replica.Recommend(2*second, rollback))...)
	stops = append(stops, selfStops(replica.Tick(2*second+100*ms))...)
	stops = append(stops, selfStops(replica.Recommend(3*second, Decision{Build: 8, Stage: 1, Verdict: NoVote}))...)
	if want := []SelfStop{{rollback, true}, {rollback, false}}; !slices.Equal(stops, want) {
		t.Errorf("got %+v, want %+v", stops, want)
	}

	c := newCluster(false)
	c.runUntil(electionDone)
	for i, replica := range c.replicas {
		if replica.IsLeader(c.now) {
			continue
		}
		for _, stop := range selfStops(replica.Recommend(c.now, Decision{Build: 1, Stage: 0, Verdict: Rollback})) {
			t.Errorf("replica %d issued %+v while another replica leads", i, stop)
		}
	}
}
