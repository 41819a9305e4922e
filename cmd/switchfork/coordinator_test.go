package main

import (
	"testing"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/config"
	"switchfork/internal/options"
	"switchfork/internal/policy"
)

// A coordinator votes for all agents only if one vote is enough, agents can exchange messages, and there are not too many agents.
func TestCanCoordinate(t *testing.T) {
	anyVote := config.Voting{Rule: policy.AnyVote, Agents: 3, VotesToAdvance: 1, VotesToRollback: 1}
	withVoting := func(change func(*config.Voting)) config.Voting {
		changed := anyVote
		change(&changed)
		return changed
	}
	gossip := config.Peers{Listen: "127.0.0.1:1"}
	overTCP := options.Coordinator{Listen: "127.0.0.1:2"}
	for name, c := range map[string]struct {
		opts   options.Coordinator
		peers  config.Peers
		voting config.Voting
		want   bool
	}{
		"gossip":                   {peers: gossip, voting: anyVote, want: true},
		"TCP":                      {opts: overTCP, voting: anyVote, want: true},
		"no way to talk":           {voting: anyVote},
		"votes to advance counted": {peers: gossip, voting: withVoting(func(v *config.Voting) { v.VotesToAdvance = 2 })},
		"roll-back votes counted":  {peers: gossip, voting: withVoting(func(v *config.Voting) { v.VotesToRollback = 2 })},
		"another rule":             {peers: gossip, voting: withVoting(func(v *config.Voting) { v.Rule++ })},
		"too many agents":          {peers: gossip, voting: withVoting(func(v *config.Voting) { v.Agents = election.MaxReplicas + 1 })},
		"too many addresses": {
			peers:  config.Peers{Listen: gossip.Listen, Addresses: make([]string, election.MaxReplicas+1)},
			voting: anyVote,
		},
		"many agents over TCP": {opts: overTCP, voting: withVoting(func(v *config.Voting) { v.Agents = election.MaxReplicas + 1 }), want: true},
	} {
		if got := canCoordinate(c.opts, c.peers, c.voting); got != c.want {
			t.Errorf("%s: got %t, want the opposite", name, got)
		}
	}
}

// A replica's index, members and settings come from the operator's file if it sets them, and otherwise from the deployment.
func TestReplicaConfig(t *testing.T) {
	voting := config.Voting{Index: 2, Agents: 3, CallTimeout: 1000, VoteLifetime: 2000}
	replica, err := replicaConfig(options.Coordinator{Index: -1, Lease: time.Second, Group: "a"}, voting, 5)
	want := election.Settings{Lease: 1e6, ClockDrift: 0.005, MaxVoteDelay: 501000, VoteLifetime: 2000, RollbackQuorum: 1}
	if err != nil || replica.Index != 2 || replica.Members != election.InitialMembers(3) || replica.Settings != want {
		t.Errorf("settings of the deployment: got %+v, error %v, want index 2, three members and the election settings of the deployment", replica, err)
	}
	if replica.Group != 0xaf63dc4c8601ec8c || replica.Seed != 5^3<<32 { // FNV-1a of "a"; agents of all versions have to use the same hash
		t.Errorf("got group %x, seed %x, want group af63dc4c8601ec8c, seed 300000005", replica.Group, replica.Seed)
	}
	overTCP := options.Coordinator{Index: 4, Listen: "127.0.0.1:2", Peers: map[int]string{0: "a", 4: "b"}}
	if replica, err = replicaConfig(overTCP, voting, 5); err != nil || replica.Index != 4 || replica.Members.Mask != 0b10001 {
		t.Errorf("settings of the operator's file: got %+v, error %v, want index 4, members 0 and 4", replica, err)
	}
	overTCP.Index = 1
	if replica, err = replicaConfig(overTCP, voting, 5); err != nil || replica.Members.Mask != 0 {
		t.Errorf("agent that is not a member: got %+v, error %v, want no members", replica, err)
	}
	if _, err = replicaConfig(options.Coordinator{Index: election.MaxReplicas}, voting, 5); err == nil ||
		err.Error() != "leader-election: this agent's index is 64, expected 0 to 63" {
		t.Errorf("index that is too high: got error %v, want one with the index and the range", err)
	}
}
