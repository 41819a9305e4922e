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

// runWithWarnings runs a command line and returns also what it prints to standard error.
func runWithWarnings(t *testing.T, args ...string) (out, warnings string, err error) {
	t.Helper()
	var outBuffer, warningsBuffer bytes.Buffer
	c := commands(&outBuffer)
	c.SetErr(&warningsBuffer)
	c.SetArgs(args)
	err = c.Execute()
	return outBuffer.String(), warningsBuffer.String(), err
}

// Usage errors are told apart from failures, and the faults of a file name it with line and keyword.
func TestUsageAndFileErrors(t *testing.T) {
	for _, args := range [][]string{{"chekc"}, {"check"}, {"check", "a", "b"}, {"serve", "now"}, {"--operater", "x"}, {"version", "1"}} {
		var usage usageError
		if _, err := run(t, args...); !errors.As(err, &usage) {
			t.Errorf("%q is no usage error: %v", args, err)
		}
	}
	file := writeFile(t, "admission-control on\nadmission-queus 5\n")
	var faults options.FileErrors
	if _, err := run(t, "check", file); !errors.As(err, &faults) || faults[0].Line != 2 || faults[0].Keyword != "admission-queus" ||
		!strings.Contains(faults[0].Reason, "admission-queues") {
		t.Errorf("a faulty file: %v", err)
	}
	file = writeFile(t, "admission-control on\n")
	out, warnings, err := runWithWarnings(t, "check", file)
	if err != nil || !strings.Contains(out, "admission-control on\n") || !strings.Contains(out, "admission-queues 64\n") || warnings != "" {
		t.Errorf("a valid file: %v, %s, %s", err, out, warnings)
	}
	if out, err := run(t, "completion", "bash"); err != nil || !strings.Contains(out, "switchfork") {
		t.Errorf("completion: %v", err)
	}
}

// check warns of each old keyword once, and prints the file with the present ones.
func TestCheckWarnsOfRenamedKeywords(t *testing.T) {
	file := writeFile(t, "door on\ndecider-peer 1 a:1\ndecider-peer 2 b:1\n")
	out, warnings, err := runWithWarnings(t, "check", file)
	want := "switchfork: " + file + ":1: door: this keyword is called admission-control now\n" +
		"switchfork: " + file + ":2: decider-peer: this keyword is called election-peer now\n"
	if err != nil || warnings != want {
		t.Errorf("warns %q, %v, want %q", warnings, err, want)
	}
	for _, line := range []string{"admission-control on\n", "election-peer 1 a:1\n", "election-peer 2 b:1\n"} {
		if !strings.Contains(out, line) {
			t.Errorf("%q is missing in %s", line, out)
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
