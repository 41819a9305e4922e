// Command switchfork-lab runs experiments with switchfork: the agent's own decisions in simulated time, or the agent itself on
// loopback among fakes of its peers. An experiment prints its measurements beside those of baselines, and fails where one of
// them misses its threshold. The command is no part of the agent.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"switchfork/internal/cli"

	"github.com/spf13/cobra"
)

// Exit codes other than 0.
const (
	exitFailed = 1 // an experiment failed, or a measurement missed its threshold
	exitUsage  = 2
)

// usageError is an error in the command line.
type usageError struct{ error }

// renamedCommands are the experiments whose names were withdrawn. Both forms are read.
var renamedCommands = []cli.RenamedCommand{
	{Old: "door", Current: "admission"},
	{Old: "decider", Current: "election"},
	{Old: "trial", Current: "faulttest"},
}

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	printf(os.Stderr, "switchfork-lab: %v\n", err)
	var wrongUsage usageError
	if errors.As(err, &wrongUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// newRootCommand returns the command line.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "switchfork-lab",
		Short: "Run experiments with switchfork",
		Long: "switchfork-lab runs experiments with switchfork: the agent's decisions in simulated time, or the agent itself on loopback among\n" +
			"fakes of the systems around it. It exits with 1 if an experiment fails, and with 2 after wrong use.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("%q is no experiment", args[0])}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newExperimentCommands()...)
	cli.AddRenamedCommands(root, renamedCommands, newExperimentCommands)
	return root
}

func newExperimentCommands() []*cobra.Command {
	return []*cobra.Command{
		newAdmissionCommand(),
		newElectionCommand(),
		newDemoCommand(),
		newLogsCommand(),
		newFaultTestCommand(),
		newSoakCommand(),
	}
}

// noArguments checks that a command was given flags only.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s wants no arguments", c.CommandPath())}
	}
	return nil
}

// printf prints to the terminal. A write error is dropped: there is no other place to report it, and the exit code holds the
// outcome.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
