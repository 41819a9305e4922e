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
	// clockDrift is the largest relative error of a machine's monotonic clock that elections tolerate. It is ten times the error of a
	// bad quartz oscillator.
	clockDrift = 0.005
	// voteProcessingTime is how long the rollout controller may take to apply a vote after reading it. It is added to the timeout of a
	// call.
	voteProcessingTime = 500 * time.Millisecond
	// rollbackQuorum is how many agents' release analyzers have to recommend a rollback before the leader votes for it.
	rollbackQuorum = 1
)

// coordinatorWiring is this agent's coordinator and the TCP transport of its messages.
type coordinatorWiring struct {
	coordinator *coordinator.Coordinator
	tcp         *deferredTCP // nil: the messages are sent by the agents' gossip
}

// deferredTCP is a TCP transport that is opened when the agent starts to serve. Until then TCP is nil. The coordinator sends no
// messages before it is started.
type deferredTCP struct{ *transport.TCP }

// coordinatorConfig holds the configuration of a coordinator and the parts of the agent to which it is connected.
type coordinatorConfig struct {
	options options.Coordinator
	peers   config.Peers
	voting  config.Voting
	seed    int64

	loop    *agent.Loop
	rollout *rollout.Client
	gossip  *gossip.Messenger
}

// wireCoordinator creates the coordinator and connects it to the agent: the coordinator receives the policy's votes and the rollout
// updates. wireCoordinator returns nil if the operator's file does not enable leader election, or the deployment does not allow it.
func wireCoordinator(c coordinatorConfig) (*coordinatorWiring, error) {
	if !c.options.Enabled {
		if c.options.AdminSocket != "" {
			slog.Warn("admin socket not opened: leader-election is off")
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
	var replicaTransport coordinator.Transport = c.gossip
	if c.options.Listen != "" {
		wiring.tcp = &deferredTCP{}
		replicaTransport = wiring.tcp
	}
	wiring.coordinator = coordinator.New(replica, replicaTransport, store, coordinatorCallbacks(c.loop, c.rollout))
	if wiring.tcp == nil {
		c.gossip.Intercept(wiring.receiveGossip)
	}
	c.loop.RouteVotes(wiring.coordinator.Recommend)
	c.rollout.Observe(wiring.coordinator.UpdateRollout)
	slog.Info("coordinator configured", "replica", replica.Index, "members", replica.Members.Count(), "lease", c.options.Lease,
		"has_state_dir", c.options.StateDir != "", "has_stored_state", replica.State != nil, "uses_tcp", wiring.tcp != nil)
	return wiring, nil
}

// canCoordinate reports whether the deployment allows one agent to vote for all. It logs the reason if not.
func canCoordinate(opts options.Coordinator, peers config.Peers, voting config.Voting) bool {
	switch {
	case voting.Rule != policy.AnyVote || voting.VotesToAdvance > 1 || voting.VotesToRollback > 1:
		slog.Warn("coordinator disabled: the deployment counts the votes of several agents, so one agent can't vote for all")
		return false
	case opts.Listen == "" && peers.Listen == "":
		slog.Warn("coordinator disabled: agents may not exchange messages, and election-listen is not set")
		return false
	case opts.Listen == "" && (voting.Agents > election.MaxReplicas || len(peers.Addresses) > election.MaxReplicas):
		slog.Warn("coordinator disabled: too many agents", "agents", voting.Agents, "max_replicas", election.MaxReplicas)
		return false
	}
	return true
}

// replicaConfig returns the configuration of this agent's replica, without the stored state.
func replicaConfig(opts options.Coordinator, voting config.Voting, seed int64) (coordinator.Config, error) {
	index := opts.Index
	if index < 0 {
		index = voting.Index
	}
	if index >= election.MaxReplicas {
		return coordinator.Config{}, fmt.Errorf("leader-election: this agent's index is %d, expected 0 to %d", index, election.MaxReplicas-1)
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

// initialMembers returns all agents of the deployment or, if messages are sent over TCP, the agents whose TCP addresses the operator's
// file sets. If the address of this agent is not set there, this agent starts without members, and has to be added.
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

// groupID returns the hash that represents the name of an election group in messages.
func groupID(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash returns no error
	return hash.Sum64()
}

// openStore opens the state folder and sets replica.State to the stored state. It returns nil if the operator's file sets no folder.
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

// coordinatorCallbacks returns callbacks that send the coordinator's rollout updates to the policy, and its votes to the rollout
// controller.
func coordinatorCallbacks(loop *agent.Loop, rolloutClient *rollout.Client) coordinator.Callbacks {
	return coordinator.Callbacks{
		UpdateRollout:   loop.UpdateRollout,
		ProbeController: rolloutClient.Probe,
		CastVote: func(vote policy.Vote, writeBefore time.Time, resolved func(written bool)) {
			rolloutClient.VoteBefore(rollout.TimedVote{Vote: vote, WriteBefore: writeBefore, Resolved: resolved})
		},
	}
}

// receiveGossip passes a datagram to the coordinator if the datagram is one of the coordinator's frames, and reports whether this is
// so. The gossip handles all other datagrams.
func (w *coordinatorWiring) receiveGossip(datagram []byte) bool {
	if !transport.IsFrame(datagram) {
		return false
	}
	w.coordinator.Receive(datagram)
	return true
}

// serve opens the TCP transport and the admin socket, if they are configured, and starts the coordinator.
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

// setPeers replaces the agents' TCP addresses, if messages are sent over TCP.
func (w *coordinatorWiring) setPeers(addresses map[int]string) {
	if w.tcp != nil {
		w.tcp.SetPeers(addresses)
	}
}
