package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"switchfork/internal/cli/clitest"
	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/cluster/election"
	"switchfork/internal/golden"
	"switchfork/internal/policy"

	"github.com/spf13/cobra"
)

// writeHelp writes the help of a command and of its subcommands, except hidden ones.
func writeHelp(t *testing.T, c *cobra.Command, out *strings.Builder) {
	t.Helper()
	if c.Hidden {
		return
	}
	fmt.Fprintf(out, "== %s\n", c.CommandPath())
	c.SetOut(out)
	if err := c.Help(); err != nil {
		t.Fatal(err)
	}
	for _, sub := range c.Commands() {
		writeHelp(t, sub, out)
	}
}

// Operators and their scripts read the help texts and the output of check, here for the shipped operator's file. Both must stay as
// they are.
func TestGoldenCommands(t *testing.T) {
	t.Setenv("SWITCHFORK_OPERATOR", "")
	var out strings.Builder
	root := commands(&out)
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	writeHelp(t, root, &out)
	golden.Check(t, "help.golden", out.String())
	text, err := run(t, "check", "../../deploy/operator.conf")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "check.golden", text)
}

func TestHelpHoldsNoWithdrawnWord(t *testing.T) {
	root := commands(&strings.Builder{})
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	clitest.CheckHelp(t, root)
}

type discardTransport struct{}

func (discardTransport) Send(int, []byte) {}

// The metrics keep their names. Deprecated names are still exported.
func TestGoldenMetrics(t *testing.T) {
	c := coordinator.New(coordinator.Config{Members: election.InitialMembers(3), Settings: election.Settings{Lease: 1e6}}, discardTransport{}, nil,
		coordinator.Callbacks{UpdateRollout: func(policy.RolloutUpdate) {}})
	var out strings.Builder
	c.Metrics().WritePrometheus(&out)
	lines := strings.Split(regexp.MustCompile(` [0-9.e+-]+\n`).ReplaceAllString(out.String(), " N\n"), "\n")
	slices.Sort(lines)
	golden.Check(t, "metrics.golden", strings.TrimSpace(strings.Join(lines, "\n"))+"\n")
}
