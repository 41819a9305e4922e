package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"strconv"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/storage"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/config"
	"switchfork/internal/options"
	"switchfork/internal/policy"

	"github.com/spf13/cobra"
)

// This file owns how the decider's parts are put together, and the commands that ask a running agent.

// chair is an agent's seat among those of whom one casts the votes.
type chair struct {
	council *coordinator.Coordinator
	tcp     *lazyStreams // nil: datagrams
}

// lazyStreams is the TCP way, which listens when the agent begins to serve.
type lazyStreams struct{ *transport.TCP }

func (l *lazyStreams) Send(to int, b []byte) { l.TCP.Send(to, b) }

const (
	// drift bounds how much faster or slower a machine's monotonic clock may run: ten times what a bad quartz does.
	drift = 0.005
	// callRoom is added to the time of a call: a launcher that has read a vote may take so long to carry it out.
	callRoom = 500 * time.Millisecond
)

// sit makes the seat that the operator asks for, nil without one.
func sit(keep options.Coordinator, circle config.Peers, terms *config.Settings, seed int64, core *agent.Core, launcher *agent.Launcher,
	peers *agent.Peers,
) (*chair, error) {
	if !keep.Enabled {
		if keep.AdminSocket != "" {
			slog.Warn("admin address asked for without a decider: nothing to tell there yet")
		}
		return nil, nil
	}
	rules := terms.Voting()
	me, members := keep.Index, election.Members{}
	switch {
	case rules.Rule != policy.AnyVote || rules.VotesToAdvance > 1 || rules.VotesToRollBack > 1:
		slog.Warn("decider stays off: here several agents' votes are counted, so that one alone can't stand for all")
		return nil, nil
	case keep.Listen == "" && circle.Listen == "":
		slog.Warn("decider stays off: this deployment lets agents say nothing to each other, and decider-listen names no address")
		return nil, nil
	case keep.Listen == "":
		if me < 0 {
			me = rules.Index
		}
		if rules.Agents > election.MaxReplicas || len(circle.Addresses) > election.MaxReplicas {
			slog.Warn("decider stays off: too many agents", "agents", rules.Agents, "most", election.MaxReplicas)
			return nil, nil
		}
		members = election.InitialMembers(rules.Agents)
	default:
		if me < 0 {
			me = rules.Index
		}
		for i := range keep.Peers {
			members.Mask |= 1 << i
		}
		if !members.Contains(me) {
			members = election.Members{} // it has to be let in
		}
	}
	if me >= election.MaxReplicas {
		return nil, fmt.Errorf("decider: this is agent %d, numbers go from 0 to %d", me, election.MaxReplicas-1)
	}
	h := fnv.New64a()
	io.WriteString(h, keep.Group)
	seat := coordinator.Config{
		Index: me, Members: members, Group: h.Sum64(), Seed: seed ^ int64(me+1)<<32,
		Settings: election.Settings{Lease: keep.Lease.Microseconds(), ClockDrift: drift, MaxVoteDelay: rules.CallTimeout + callRoom.Microseconds(), VoteLifetime: rules.VoteLifetime, RollBackQuorum: 1},
	}
	c := &chair{}
	var store coordinator.Store
	if keep.StateDir != "" {
		v, memory, err := storage.Open(keep.StateDir, seat.Group, me)
		if err != nil {
			return nil, fmt.Errorf("decider-state: %w", err)
		}
		store, seat.State = v, memory
	}
	desk := coordinator.Callbacks{UpdateRollout: core.News, CastVote: func(v policy.Vote, before time.Time, over func(bool)) {
		launcher.Cast(agent.Dated{Vote: v, Before: before, Over: over})
	}}
	var way coordinator.Transport = peers
	if keep.Listen != "" {
		c.tcp = &lazyStreams{}
		way = c.tcp
	}
	c.council = coordinator.New(seat, way, store, desk)
	if c.tcp == nil {
		peers.Beside(func(b []byte) bool {
			if !transport.IsFrame(b) {
				return false
			}
			c.council.Receive(b)
			return true
		})
	}
	core.Through(c.council.Recommend)
	launcher.Also(c.council.UpdateRollout)
	slog.Info("decider", "me", me, "members", members.Count(), "lease", keep.Lease, "state", keep.StateDir != "", "memory", seat.State != nil, "tcp", c.tcp != nil)
	return c, nil
}

func (c *chair) serve(ctx context.Context, keep options.Coordinator) (err error) {
	if c.tcp != nil {
		if c.tcp.TCP, err = transport.Listen(ctx, keep.Listen, c.council.Receive); err != nil {
			return fmt.Errorf("decider-listen: %w", err)
		}
		c.reach(keep.Peers)
	}
	if keep.AdminSocket != "" {
		if err = c.council.ServeAdmin(ctx, keep.AdminSocket); err != nil {
			return err
		}
	}
	go c.council.Serve(ctx)
	return nil
}

// reach puts other addresses in force.
func (c *chair) reach(peers map[int]string) {
	if c.tcp != nil {
		c.tcp.SetPeers(peers)
	}
}

// asking are the commands that ask a running agent, or look at its folder.
func asking(out io.Writer) []*cobra.Command {
	var admin string
	with := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&admin, "admin", "/run/switchfork/admin.sock", "the agent's admin address, a Unix socket")
		return c
	}
	lead := with(&cobra.Command{
		Use: "lead", Short: "tell who casts the votes, as one agent knows", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := coordinator.QueryStatus(admin)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "agent %d: ", r.Me)
			switch {
			case r.Leads:
				fmt.Fprintf(out, "leads, term %d, lease left %d ms", r.Term, r.LeftMS)
			case r.Owner >= 0:
				fmt.Fprintf(out, "agent %d leads", r.Owner)
			default:
				fmt.Fprint(out, "knows of nobody who leads")
			}
			fmt.Fprintf(out, "\nnewest decision: %s\nunresolved: %t; an earlier lead's may count for %d ms; abstains for %d ms\nmembers: %v\n",
				r.Newest, r.Unresolved, r.WaitsMS, r.AbstainsMS, r.Members)
			return nil
		},
	})
	members := &cobra.Command{Use: "members", Short: "the agents of whom one casts the votes"}
	members.AddCommand(with(&cobra.Command{Use: "list", Short: "list them, as one agent knows", Args: noArgs, RunE: func(*cobra.Command, []string) error {
		r, err := coordinator.QueryStatus(admin)
		for _, m := range r.Members {
			fmt.Fprintln(out, m)
		}
		return err
	}}))
	for verb, short := range map[string]string{"add": "let an agent in; to be asked of the one that leads", "remove": "take an agent out; to be asked of the one that leads"} {
		members.AddCommand(with(&cobra.Command{Use: verb + " AGENT", Short: short, Args: oneArg, RunE: func(_ *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil || n < 0 || n >= election.MaxReplicas {
				return use{fmt.Errorf("%q is no agent, expected a number from 0 to %d", args[0], election.MaxReplicas-1)}
			}
			return coordinator.RequestMemberChange(admin, verb, n)
		}}))
	}
	state := &cobra.Command{Use: "state", Short: "a decider's state folder"}
	for verb, short := range map[string]string{"show": "print what is kept in a folder", "verify": "check that a folder can be relied on"} {
		state.AddCommand(&cobra.Command{Use: verb + " FOLDER", Short: short, Args: oneArg, RunE: func(_ *cobra.Command, args []string) error {
			group, me, m, err := storage.Inspect(args[0])
			switch {
			case err != nil:
				return err
			case verb == "verify":
				fmt.Fprintln(out, "sound")
			case m == nil:
				fmt.Fprintln(out, "nothing was ever kept")
			default:
				k := m.Newest
				fmt.Fprintf(out, "agent %d of group %016x\npromised %d, accepted %d of agent %d, given up %d\nnewest decision: term %d, %d: build %d stage %d %v\nmembers %b, stamped %d.%d\n",
					me, group, m.Promised, m.Accepted, m.LeaseHolder, m.Released, k.Term, k.Index, k.Build, k.Stage, k.Verdict, m.Members.Mask, m.Members.Term, m.Members.Version)
			}
			return nil
		}})
	}
	return []*cobra.Command{lead, members, state}
}
