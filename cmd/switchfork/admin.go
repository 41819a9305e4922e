package main

import (
	"fmt"
	"io"
	"strconv"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/storage"

	"github.com/spf13/cobra"
)

const defaultAdminSocket = "/run/switchfork/admin.sock"

// adminCommands holds the output and the --admin flag of the commands that query a running agent or inspect a state folder.
type adminCommands struct {
	out    io.Writer
	socket string // the value of --admin
}

// newAdminCommands creates the commands leader, members and state.
func newAdminCommands(out io.Writer) []*cobra.Command {
	a := &adminCommands{out: out}
	return []*cobra.Command{a.leaderCommand(), a.membersCommand(), a.stateCommand()}
}

// printf prints to the commands' output.
func (a *adminCommands) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...) // a reader that closes the output does not want the rest
}

// withSocketFlag adds the flag --admin, which selects the agent that the command queries.
func (a *adminCommands) withSocketFlag(command *cobra.Command) *cobra.Command {
	command.Flags().StringVar(&a.socket, "admin", defaultAdminSocket, "path of the agent's admin socket")
	return command
}

func (a *adminCommands) leaderCommand() *cobra.Command {
	return a.withSocketFlag(&cobra.Command{
		Use:   "leader",
		Short: "Show which agent is the leader",
		Long: "Ask an agent which agent is the leader and casts the votes on releases for all agents, and show the lease, the newest decision and the\n" +
			"members as far as that agent knows them.",
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			report, err := coordinator.QueryStatus(a.socket)
			if err != nil {
				return err
			}
			a.printReport(report)
			return nil
		},
	})
}

func (a *adminCommands) printReport(report coordinator.StatusReport) {
	a.printf("agent %d: ", report.Replica)
	switch {
	case report.IsLeader:
		a.printf("leads, term %d, lease left %d ms\n", report.Term, report.LeaseRemainingMS)
	case report.LeaseHolder >= 0:
		a.printf("agent %d leads\n", report.LeaseHolder)
	default:
		a.printf("knows of nobody who leads\n")
	}
	a.printf("newest decision: %s\n", report.DescribeNewestDecision())
	a.printf("unresolved: %t; an earlier leader's votes may count for %d ms; abstains for %d ms\n",
		report.HasUnresolvedVote, report.EarlierVotesExpireInMS, report.AbstainsForMS)
	a.printf("members: %v\n", report.Members)
}

func (a *adminCommands) membersCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "members",
		Short: "List or change the members of the election",
		Long:  "List or change the members of the election, the agents of which one is the leader and casts the votes on releases for all.",
	}
	command.AddCommand(
		a.listMembersCommand(),
		a.changeMembersCommand(coordinator.AddMember, "Add an agent to the members"),
		a.changeMembersCommand(coordinator.RemoveMember, "Remove an agent from the members"),
	)
	return command
}

func (a *adminCommands) listMembersCommand() *cobra.Command {
	return a.withSocketFlag(&cobra.Command{
		Use:   "list",
		Short: "List the members",
		Long:  "List the members of the election, as far as the agent that is asked knows them.",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			report, err := coordinator.QueryStatus(a.socket)
			for _, member := range report.Members {
				a.printf("%d\n", member)
			}
			return err
		},
	})
}

func (a *adminCommands) changeMembersCommand(kind coordinator.MemberChangeKind, short string) *cobra.Command {
	return a.withSocketFlag(&cobra.Command{
		Use:   string(kind) + " AGENT",
		Short: short,
		Long:  short + " of the election. The agent that is asked has to be the leader.",
		Args:  oneArg,
		RunE: func(_ *cobra.Command, args []string) error {
			agent, err := strconv.Atoi(args[0])
			if err != nil || agent < 0 || agent >= election.MaxReplicas {
				return usageError{fmt.Errorf("agent is %q, expected a number from 0 to %d", args[0], election.MaxReplicas-1)}
			}
			return coordinator.RequestMemberChange(a.socket, coordinator.MemberChange{Kind: kind, Agent: agent})
		},
	})
}

func (a *adminCommands) stateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "state",
		Short: "Inspect a replica's state folder",
		Long:  "Inspect the state folder of a replica of the election. The agent that uses the folder must not be running.",
	}
	command.AddCommand(a.showStateCommand(), a.verifyStateCommand())
	return command
}

func (a *adminCommands) showStateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show FOLDER",
		Short: "Print what a state folder holds",
		Long:  "Print the promises, the accepted lease, the newest decision and the members that a state folder holds.",
		Args:  oneArg,
		RunE: func(_ *cobra.Command, args []string) error {
			contents, err := storage.Inspect(args[0])
			if err != nil {
				return err
			}
			if contents.State == nil {
				a.printf("nothing was ever kept\n")
				return nil
			}
			a.printState(contents.Group, contents.Agent, contents.State)
			return nil
		},
	}
}

func (a *adminCommands) printState(group uint64, index int, state *election.DurableState) {
	newest, members := state.Newest, state.Members
	a.printf("agent %d of group %016x\n", index, group)
	a.printf("promised %d, accepted %d of agent %d, given up %d\n", state.Promised, state.Accepted, state.LeaseHolder, state.Released)
	a.printf("newest decision: term %d, %d: build %d stage %d %v\n", newest.Term, newest.Index, newest.Build, newest.Stage, newest.Verdict)
	a.printf("members %b, stamped %d.%d\n", members.Mask, members.Term, members.Version)
}

func (a *adminCommands) verifyStateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify FOLDER",
		Short: "Check that a state folder is intact",
		Long:  "Check that a state folder is intact. Nothing in it is changed.",
		Args:  oneArg,
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := storage.Inspect(args[0]); err != nil {
				return err
			}
			a.printf("sound\n")
			return nil
		},
	}
}
