package cli

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// newProgram returns a program with the commands other and greet. The command greet writes the value of its flag and its
// arguments to done.
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

// Old names do the same as current names, and each use of an old name prints one warning.
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
			t.Errorf("%s: got error %v, effect %q, warning %q, output %q; want the warning %q", commandLine, err, done, warnings.String(), out.String(), want)
		}
	}
}

// The help shows only current names.
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
			t.Errorf("%s: want only current names, got %s", commandLine, out.String())
		}
	}
}
