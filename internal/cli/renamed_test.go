package cli

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// newProgram returns a program whose command greet writes its flag and its arguments to done.
func newProgram(done *string) *cobra.Command {
	newCommands := func() []*cobra.Command {
		var name string
		greet := &cobra.Command{Use: "greet [flags] WORD", Run: func(_ *cobra.Command, args []string) { *done = name + " " + strings.Join(args, " ") }}
		greet.Flags().StringVar(&name, "name", "nobody", "whom to greet")
		AddRenamedFlag(greet, "who", "name")
		return []*cobra.Command{{Use: "other"}, greet}
	}
	root := &cobra.Command{Use: "program"}
	root.AddCommand(newCommands()...)
	AddRenamedCommands(root, []RenamedCommand{{Old: "hail", Current: "greet"}}, newCommands)
	return root
}

// Old names do what the present ones do, and warn once each.
func TestRenamedCommandsAndFlags(t *testing.T) {
	for commandLine, want := range map[string]string{
		"greet --name a hello": "",
		"hail --name a hello":  "program: the command hail is called greet now\n",
		"greet --who a hello":  "program: the flag --who is called --name now\n",
		"hail --who=a hello":   "program: the flag --who is called --name now\nprogram: the command hail is called greet now\n",
	} {
		var done string
		var out, warnings strings.Builder
		program := newProgram(&done)
		program.SetOut(&out)
		program.SetErr(&warnings)
		program.SetArgs(strings.Fields(commandLine))
		if err := program.Execute(); err != nil || done != "a hello" || warnings.String() != want || out.String() != "" {
			t.Errorf("%s: %v, did %q, warned %q, printed %q; want the warning %q", commandLine, err, done, warnings.String(), out.String(), want)
		}
	}
}

// The help shows present names alone.
func TestHelpHidesRenamed(t *testing.T) {
	var done string
	for _, commandLine := range []string{"--help", "greet --help"} {
		var out strings.Builder
		program := newProgram(&done)
		program.SetOut(&out)
		program.SetArgs(strings.Fields(commandLine))
		if err := program.Execute(); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(out.String(), "hail") || strings.Contains(out.String(), "--who") || !strings.Contains(out.String(), "greet") {
			t.Errorf("%s prints %s", commandLine, out.String())
		}
	}
}
