package simulation

import (
	"math/rand"
	"slices"
	"testing"

	"switchfork/internal/cluster/election"
)

// A partition cuts the connections for which isApart returns true, for its duration. The end of any partition heals all
// connections.
func TestPartitionCutsConnections(t *testing.T) {
	var line timeline
	network := newElectionNetwork(&line, rand.New(rand.NewSource(1)), 3, 0)
	delivered := map[[2]int]int{}
	sendAll := func() {
		for from := range 3 {
			for to := range 3 {
				network.send(from, to, func() { delivered[[2]int{from, to}]++ })
			}
		}
		line.runUntil(line.now + defaultDelay)
	}
	network.partition(second, func(from, to int) bool { return from == 0 && to != 0 })
	sendAll()
	if len(delivered) != 7 || delivered[[2]int{0, 1}]+delivered[[2]int{0, 2}] != 0 {
		t.Errorf("delivered %v, want all messages except those from agent 0 to the others", delivered)
	}
	line.runUntil(second)
	clear(delivered)
	sendAll()
	if len(delivered) != 9 {
		t.Errorf("delivered %v after the partition, want all messages", delivered)
	}
}

// Messages arrive within defaultDelay, and are lost and duplicated at about the rates of the network.
func TestNetworkLosesAndDuplicatesMessages(t *testing.T) {
	const messages = 20_000
	var line timeline
	network := newElectionNetwork(&line, rand.New(rand.NewSource(1)), 2, 0)
	network.lossRate = 0.4
	delivered := 0
	for range messages {
		network.send(0, 1, func() {
			delivered++
			if line.now > defaultDelay {
				t.Fatalf("a message took %d us, want at most the default delay", line.now)
			}
		})
	}
	line.runUntil(second)
	// A tenth of the messages are sent twice, and six tenths of the copies arrive.
	if ratio := float64(delivered) / messages; ratio < 0.64 || ratio > 0.68 {
		t.Errorf("got %.3f deliveries per message, want 0.64 to 0.68", ratio)
	}
}

// Calls to a paused agent are deferred to the end of the pause. Deferred calls are dropped if the process is replaced before
// then.
func TestPausedAgentDefersWhatComesIn(t *testing.T) {
	for _, isRestarted := range []bool{false, true} {
		var line timeline
		agent := &electionAgent{}
		var handledAt []int64
		agent.pause(&line, second)
		line.schedule(second/2, func() {
			agent.run(line.now, func() { handledAt = append(handledAt, line.now) })
		})
		if isRestarted {
			line.schedule(second*3/4, agent.crash)
			line.schedule(second*3/4, agent.reset)
		}
		line.runUntil(2 * second)
		want := []int64{second}
		if isRestarted {
			want = nil
		}
		if !slices.Equal(handledAt, want) {
			t.Errorf("restarted %t: deferred call made at %v, want %v", isRestarted, handledAt, want)
		}
	}
}

// It is a violation if a vote takes effect while a contrary vote of another agent is in effect. It is also a violation if a deposed
// leader's vote to advance was cast before a contrary vote of another agent took effect, and takes effect after it, even if the
// contrary vote has expired by then. An agent may contradict its own vote.
func TestRolloutControllerReportsContraryVotes(t *testing.T) {
	decide := func(verdict election.Verdict) election.Record {
		return election.Record{Term: 1, Decision: election.Decision{Build: 1, Verdict: verdict}}
	}
	for _, test := range []struct {
		name           string
		secondAgent    int // casts the second vote
		at             int64
		castAt         int64
		wantViolations int
	}{
		{"own vote", 0, second + ms, second + ms, 0},
		{"other agent's vote in effect", 1, second + ms, second + ms, 1},
		{"other agent's vote expired", 1, second + electionSettings.VoteLifetime, 2 * second, 0},
		{"cast before the other agent's vote took effect", 1, second + electionSettings.VoteLifetime, second / 2, 1},
	} {
		result := &ElectionResult{RollbackAfter: -1}
		controller := &rolloutController{result: result, build: 1}
		controller.markBad(second / 2)
		controller.carryOut(second, 0, decide(election.Rollback), second)
		controller.carryOut(test.at, test.secondAgent, decide(election.Advance), test.castAt)
		if len(result.Violations) != test.wantViolations {
			t.Errorf("%s: violations %v, want %d", test.name, result.Violations, test.wantViolations)
		}
		if result.RollbackAfter != second/2 || result.EffectiveVotes != 2 {
			t.Errorf("%s: rolled back after %d us with %d votes in effect, want %d us and 2 votes", test.name, result.RollbackAfter, result.EffectiveVotes, second/2)
		}
		controller.nextStage()
		controller.carryOut(test.at, 2, decide(election.Hold), test.at)
		if result.EffectiveVotes != 2 {
			t.Errorf("%s: a vote on the previous stage took effect", test.name)
		}
	}
}

// Leaderships, leader changes and gaps are counted. Two leaders at the same time are a violation.
func TestLeadershipIsObserved(t *testing.T) {
	result := &ElectionResult{}
	observer := &leadershipObserver{result: result, leader: noAgent}
	for i, leaders := range [][]int{nil, {1}, {1}, nil, {1}, {2}, nil} {
		observer.observe(int64(i+1)*second, leaders)
	}
	observer.endGap(9 * second)
	if result.Leaderships != 2 || result.LeaderChanges != 1 || len(result.Violations) > 0 {
		t.Errorf("got %+v, want two leaderships, one change and no violations", result)
	}
	if want := []int64{second, second, 2 * second}; !slices.Equal(result.Gaps, want) {
		t.Errorf("gaps %v, want %v", result.Gaps, want)
	}
	observer.observe(10*second, []int{0, 2})
	if len(result.Violations) != 1 {
		t.Errorf("two leaders: violations %v, want one", result.Violations)
	}
}
