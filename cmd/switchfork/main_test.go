package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchfork/internal/options"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, _, err := runWithWarnings(t, args...)
	return out, err
}

// runWithWarnings runs a command line and returns its output, and what it prints to standard error as warnings.
func runWithWarnings(t *testing.T, args ...string) (out, warnings string, err error) {
	t.Helper()
	var outBuffer, warningsBuffer bytes.Buffer
	c := commands(&outBuffer)
	c.SetErr(&warningsBuffer)
	c.SetArgs(args)
	err = c.Execute()
	return outBuffer.String(), warningsBuffer.String(), err
}

// Errors in the command line are usage errors, unlike other failures. The errors of an operator's file name the line and the keyword.
func TestUsageAndFileErrors(t *testing.T) {
	for _, args := range [][]string{{"chekc"}, {"check"}, {"check", "a", "b"}, {"serve", "now"}, {"--operater", "x"}, {"version", "1"}} {
		var usage usageError
		if _, err := run(t, args...); !errors.As(err, &usage) {
			t.Errorf("%q: got error %v, want a usage error", args, err)
		}
	}
	file := writeFile(t, "admission-control on\nadmission-queus 5\n")
	var faults options.FileErrors
	if _, err := run(t, "check", file); !errors.As(err, &faults) || faults[0].Line != 2 || faults[0].Keyword != "admission-queus" ||
		!strings.Contains(faults[0].Reason, "admission-queues") {
		t.Errorf("invalid file: got error %v, want one that names line 2 and admission-queus and suggests admission-queues", err)
	}
	file = writeFile(t, "admission-control on\n")
	out, warnings, err := runWithWarnings(t, "check", file)
	if err != nil || !strings.Contains(out, "admission-control on\n") || !strings.Contains(out, "admission-queues 64\n") || warnings != "" {
		t.Errorf("valid file: got error %v, output %s, warnings %s, want only an output that holds admission-control on and admission-queues 64", err, out, warnings)
	}
	if out, err := run(t, "completion", "bash"); err != nil || !strings.Contains(out, "switchfork") {
		t.Errorf("completion: got error %v, or a script without the program's name", err)
	}
}

// The command check prints one warning for each old keyword, and prints the options with the current keywords.
func TestCheckWarnsOfRenamedKeywords(t *testing.T) {
	file := writeFile(t, "door on\ndecider-peer 1 a:1\ndecider-peer 2 b:1\n")
	out, warnings, err := runWithWarnings(t, "check", file)
	want := "switchfork: " + file + ":1: door: this keyword is called admission-control now\n" +
		"switchfork: " + file + ":2: decider-peer: this keyword is called election-peer now\n"
	if err != nil || warnings != want {
		t.Errorf("got warnings %q, error %v, want %q", warnings, err, want)
	}
	for _, line := range []string{"admission-control on\n", "election-peer 1 a:1\n", "election-peer 2 b:1\n"} {
		if !strings.Contains(out, line) {
			t.Errorf("%q is missing in the output %s", line, out)
		}
	}
}

func writeFile(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
