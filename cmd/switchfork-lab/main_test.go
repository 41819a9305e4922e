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

// Old command lines do what the present ones do, and say on standard error what they are called now.
func TestOldCommandLines(t *testing.T) {
	// One short schedule runs in every row of the table. Its last line holds the time that it took.
	election := []string{"--schedules", "1", "--agents", "1", "--seconds", "10"}
	table := func(out string) string { return out[:strings.LastIndex(out, "played in")] }
	present, warnings, err := runCommandLine(t, append([]string{"election"}, election...)...)
	if err != nil || warnings != "" {
		t.Fatalf("election: %v, warned %q", err, warnings)
	}
	old, warnings, err := runCommandLine(t, append([]string{"decider"}, election...)...)
	if err != nil || warnings != "switchfork-lab: the command decider is called election now\n" {
		t.Errorf("decider: %v, warned %q", err, warnings)
	}
	if table(old) != table(present) {
		t.Errorf("decider prints %s, election prints %s", old, present)
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
		t.Errorf("logs --appliances: %v, warned %q, prints %s, want %s", err, warnings, old, present)
	}
}

// An old command has the flags of the present one, with the same defaults.
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
			t.Errorf("%s has %s, %s has %s", old.Name(), old.Flags().FlagUsages(), present.Name(), present.Flags().FlagUsages())
		}
	}
}

// Wrong use of an old command is wrong use, as that of the present one.
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
			t.Errorf("%q: %v, want wrong use", args, err)
		}
	}
}
