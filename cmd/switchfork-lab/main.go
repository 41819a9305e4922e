// Command switchfork-lab holds the experiments: it plays the agent's own decisions in simulated time, or the agent itself on
// loopback among stand-ins, prints what came of it beside baselines, and fails where a bar does not hold. It is no part of
// the agent.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes: 0, a bar does not hold, wrong use.
const missed, wrongUse = 1, 2

type use struct{ error }

func main() {
	root := &cobra.Command{
		Use: "switchfork-lab", Short: "experiments with switchfork", SilenceUsage: true, SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return use{fmt.Errorf("%q is no experiment", args[0])}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return use{err} })
	root.AddCommand(doorCommand(), electionCommand(), demoCommand(), logsCommand(), trialCommand())
	err := root.Execute()
	var wrong use
	switch {
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, "switchfork-lab:", err)
		os.Exit(wrongUse)
	case err != nil:
		fmt.Fprintln(os.Stderr, "switchfork-lab:", err)
		os.Exit(missed)
	}
}

// none is for experiments without arguments.
func none(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return use{fmt.Errorf("%s wants no arguments", c.CommandPath())}
	}
	return nil
}
