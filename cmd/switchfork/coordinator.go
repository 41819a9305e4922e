package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/storage"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/config"
	"switchfork/internal/gossip"
	"switchfork/internal/options"
	"switchfork/internal/policy"
	"switchfork/internal/rollout"
)

const (
	// clockDrift bounds how much faster or slower a machine's monotonic clock may run: ten times the error of a bad quartz.
	clockDrift = 0.005
	// voteProcessingTime is added to a call's timeout: a rollout controller that has read a vote may take so long to carry it out.
	voteProcessingTime = 500 * time.Millisecond
	// rollbackQuorum: one agent whose release analyzer asks for a roll-back is enough.
	rollbackQuorum = 1
)

// coordinatorWiring is this agent's coordinator with what carries its messages.
type coordinatorWiring struct {
	coordinator *coordinator.Coordinator
	tcp         *lateTCP // nil: the agents' gossip carries the messages
}

// lateTCP is a TCP transport that listens when the agent begins to serve. It is nil until then, but the coordinator sends nothing
// before it is started.
type lateTCP struct{ *transport.TCP }

// coordinatorConfig is what a coordinator is made of: what configures it, and the parts of the agent that it is connected to.
type coordinatorConfig struct {
	options options.Coordinator
	peers   config.Peers
	voting  config.Voting
	seed    int64

	loop    *agent.Loop
	rollout *rollout.Client
	gossip  *gossip.Messenger
}

// wireCoordinator makes the coordinator that the operator asks for; nil without one. The votes that the policy asks for then go
// through the coordinator, and it gets the rollout updates.
func wireCoordinator(c coordinatorConfig) (*coordinatorWiring, error) {
	if !c.options.Enabled {
		if c.options.AdminSocket != "" {
			slog.Warn("admin socket not opened: the coordinator is off")
		}
		return nil, nil
	}
	if !canCoordinate(c.options, c.peers, c.voting) {
		return nil, nil
	}
	replica, err := replicaConfig(c.options, c.voting, c.seed)
	if err != nil {
		return nil, err
	}
	store, err := openStore(c.options.StateDir, &replica)
	if err != nil {
		return nil, err
	}
	wiring := &coordinatorWiring{}
	var carrier coordinator.Transport = c.gossip
	if c.options.Listen != "" {
		wiring.tcp = &lateTCP{}
		carrier = wiring.tcp
	}
	wiring.coordinator = coordinator.New(replica, carrier, store, coordinatorCallbacks(c.loop, c.rollout))
	if wiring.tcp == nil {
		c.gossip.Intercept(wiring.receiveGossip)
	}
	c.loop.RouteVotes(wiring.coordinator.Recommend)
	c.rollout.Observe(wiring.coordinator.UpdateRollout)
	slog.Info("coordinator configured", "replica", replica.Index, "members", replica.Members.Count(), "lease", c.options.Lease,
		"has_state_dir", c.options.StateDir != "", "has_stored_state", replica.State != nil, "uses_tcp", wiring.tcp != nil)
	return wiring, nil
}

// canCoordinate tells whether this deployment lets one agent vote for all, and logs what is against it.
func canCoordinate(opts options.Coordinator, peers config.Peers, voting config.Voting) bool {
	switch {
	case voting.Rule != policy.AnyVote || voting.VotesToAdvance > 1 || voting.VotesToRollback > 1:
		slog.Warn("coordinator disabled: the votes of several agents are counted, so that one can't vote for all")
		return false
	case opts.Listen == "" && peers.Listen == "":
		slog.Warn("coordinator disabled: agents may not exchange messages, and election-listen names no address")
		return false
	case opts.Listen == "" && (voting.Agents > election.MaxReplicas || len(peers.Addresses) > election.MaxReplicas):
		slog.Warn("coordinator disabled: too many agents", "agents", voting.Agents, "max_replicas", election.MaxReplicas)
		return false
	}
	return true
}

// replicaConfig describes this agent's replica, without the state that may be stored.
func replicaConfig(opts options.Coordinator, voting config.Voting, seed int64) (coordinator.Config, error) {
	index := opts.Index
	if index < 0 {
		index = voting.Index
	}
	if index >= election.MaxReplicas {
		return coordinator.Config{}, fmt.Errorf("leader-election: this is agent %d, numbers go from 0 to %d", index, election.MaxReplicas-1)
	}
	return coordinator.Config{
		Index:   index,
		Members: initialMembers(opts, voting, index),
		Group:   groupID(opts.Group),
		Seed:    seed ^ int64(index+1)<<32,
		Settings: election.Settings{
			Lease:          opts.Lease.Microseconds(),
			ClockDrift:     clockDrift,
			MaxVoteDelay:   voting.CallTimeout + voteProcessingTime.Microseconds(),
			VoteLifetime:   voting.VoteLifetime,
			RollbackQuorum: rollbackQuorum,
		},
	}, nil
}

// initialMembers are all agents of the deployment, or those whose TCP addresses the operator names. An agent that is not among the
// latter begins without members, and has to be added.
func initialMembers(opts options.Coordinator, voting config.Voting, index int) election.Members {
	if opts.Listen == "" {
		return election.InitialMembers(voting.Agents)
	}
	var members election.Members
	for i := range opts.Peers {
		members.Mask |= 1 << i
	}
	if !members.Contains(index) {
		return election.Members{}
	}
	return members
}

// groupID is what the messages of a group of agents carry in place of its name.
func groupID(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash returns no error
	return hash.Sum64()
}

// openStore opens the state folder, if the operator names one, and completes the replica's config by what is stored there.
func openStore(dir string, replica *coordinator.Config) (coordinator.Store, error) {
	if dir == "" {
		return nil, nil
	}
	store, state, err := storage.Open(dir, replica.Group, replica.Index)
	if err != nil {
		return nil, fmt.Errorf("state-folder: %w", err)
	}
	replica.State = state
	return store, nil
}

// coordinatorCallbacks connects the coordinator's results to the policy and to the rollout controller.
func coordinatorCallbacks(loop *agent.Loop, rolloutClient *rollout.Client) coordinator.Callbacks {
	return coordinator.Callbacks{
		UpdateRollout: loop.UpdateRollout,
		CastVote: func(vote policy.Vote, writeBefore time.Time, resolved func(written bool)) {
			rolloutClient.VoteBefore(rollout.TimedVote{Vote: vote, WriteBefore: writeBefore, Resolved: resolved})
		},
	}
}

// receiveGossip takes a datagram that is a frame of the coordinator's, and leaves others to the gossip.
func (w *coordinatorWiring) receiveGossip(datagram []byte) bool {
	if !transport.IsFrame(datagram) {
		return false
	}
	w.coordinator.Receive(datagram)
	return true
}

// serve opens the TCP transport and the admin address, where they are asked for, and starts the coordinator.
func (w *coordinatorWiring) serve(ctx context.Context, opts options.Coordinator) error {
	if w.tcp != nil {
		tcp, err := transport.Listen(ctx, opts.Listen, w.coordinator.Receive)
		if err != nil {
			return fmt.Errorf("election-listen: %w", err)
		}
		w.tcp.TCP = tcp
		w.setPeers(opts.Peers)
	}
	if opts.AdminSocket != "" {
		if err := w.coordinator.ServeAdmin(ctx, opts.AdminSocket); err != nil {
			return err
		}
	}
	go w.coordinator.Serve(ctx)
	return nil
}

// setPeers puts other TCP addresses in force.
func (w *coordinatorWiring) setPeers(addresses map[int]string) {
	if w.tcp != nil {
		w.tcp.SetPeers(addresses)
	}
}
