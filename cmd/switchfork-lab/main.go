// Command switchfork-lab runs experiments with switchfork. Some run the agent's decision code in simulated time, others run the
// agent itself on loopback among fakes of its peers. An experiment prints its measurements together with those of baselines, and
// fails if a measurement misses its threshold. The command is not part of the agent.
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
	exitUsage  = 2 // the command line is invalid
)

// usageError is an error in the command line.
type usageError struct{ error }

// renamedCommands are the experiments that have been renamed. The old names are still accepted.
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

// newRootCommand returns the root command with all experiments.
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
				return usageError{fmt.Errorf("unknown experiment %q", args[0])}
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

// noArguments returns a usage error if a command was given arguments other than flags.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s takes no arguments", c.CommandPath())}
	}
	return nil
}

// printf prints to the terminal. A write error is ignored because there is no other place to report it. The exit code still
// reports the outcome.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
