package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchfork/internal/cli/clitest"
)

// runCommandLine runs the program and returns what it prints to standard output and standard error.
func runCommandLine(t *testing.T, args ...string) (out, warnings string, err error) {
	t.Helper()
	var outBuilder, warningsBuilder strings.Builder
	root := newRootCommand()
	root.SetOut(&outBuilder)
	root.SetErr(&warningsBuilder)
	root.SetArgs(args)
	err = root.Execute()
	return outBuilder.String(), warningsBuilder.String(), err
}

func TestHelpHoldsNoWithdrawnWord(t *testing.T) {
	root := newRootCommand()
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	clitest.CheckHelp(t, root)
}

// Old names of commands and flags do what the current names do, and print a warning with the current name to standard error.
func TestOldCommandLines(t *testing.T) {
	// Each row of the table is the result of one short schedule. The line after the table is not compared, because it contains
	// the duration of the run.
	election := []string{"--schedules", "1", "--agents", "1", "--seconds", "10"}
	table := func(out string) string { return out[:strings.LastIndex(out, "played in")] }
	present, warnings, err := runCommandLine(t, append([]string{"election"}, election...)...)
	if err != nil || warnings != "" {
		t.Fatalf("election: got error %v, warning %q, want neither", err, warnings)
	}
	old, warnings, err := runCommandLine(t, append([]string{"decider"}, election...)...)
	if err != nil || warnings != "switchfork-lab: the command decider is called election now\n" {
		t.Errorf("decider: got error %v, warning %q, want the warning about the new name", err, warnings)
	}
	if table(old) != table(present) {
		t.Errorf("decider printed %s, want the table of election: %s", old, present)
	}

	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "a.log"), []byte("time=2026-01-02T03:04:05Z msg=activity arrived=1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	present, _, err = runCommandLine(t, "logs", folder, "--endpoints", "5")
	if err != nil {
		t.Fatal(err)
	}
	old, warnings, err = runCommandLine(t, "logs", folder, "--appliances", "5")
	if err != nil || old != present || warnings != "switchfork-lab: the flag --appliances is called --endpoints now\n" {
		t.Errorf("logs --appliances: got error %v, warning %q and output %s, want output %s", err, warnings, old, present)
	}
}

// A command has the same flags with the same defaults under its old name and its current one.
func TestOldCommandsHaveTheSameFlags(t *testing.T) {
	for _, names := range renamedCommands {
		old, _, err := newRootCommand().Find([]string{names.Old})
		if err != nil {
			t.Fatal(err)
		}
		present, _, err := newRootCommand().Find([]string{names.Current})
		if err != nil {
			t.Fatal(err)
		}
		if old.Name() != names.Old || present.Name() != names.Current || old.Flags().FlagUsages() != present.Flags().FlagUsages() {
			t.Errorf("%s has the flags %s, want those of %s: %s", old.Name(), old.Flags().FlagUsages(), present.Name(), present.Flags().FlagUsages())
		}
	}
}

// Invalid flags and arguments are usage errors, for old names as well as current ones.
func TestOldCommandsCheckTheirFlags(t *testing.T) {
	for _, args := range [][]string{
		{"door", "--noisy", "4"},
		{"admission", "--noisy", "4"},
		{"decider", "--agents", "10"},
		{"election", "--agents", "10"},
		{"trial"},
		{"faulttest"},
		{"faulttest", "no-such-file.txt"},
		{"trial", "no-such-file.txt"},
		{"doors"},
	} {
		var wrongUse usageError
		if _, _, err := runCommandLine(t, args...); !errors.As(err, &wrongUse) {
			t.Errorf("%q: got error %v, want a usage error", args, err)
		}
	}
}
