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
	var out bytes.Buffer
	c := commands(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// Usage errors are told apart from failures, and the faults of a file name it with line and keyword.
func TestUsageAndFileErrors(t *testing.T) {
	for _, args := range [][]string{{"chekc"}, {"check"}, {"check", "a", "b"}, {"serve", "now"}, {"--operater", "x"}, {"version", "1"}} {
		var usage usageError
		if _, err := run(t, args...); !errors.As(err, &usage) {
			t.Errorf("%q is no usage error: %v", args, err)
		}
	}
	file := filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(file, []byte("door on\ndoor-queus 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var faults options.FileErrors
	if _, err := run(t, "check", file); !errors.As(err, &faults) || faults[0].Line != 2 || faults[0].Keyword != "door-queus" ||
		!strings.Contains(faults[0].Why, "door-queues") {
		t.Errorf("a faulty file: %v", err)
	}
	if err := os.WriteFile(file, []byte("door on\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, "check", file); err != nil || !strings.Contains(out, "door on\n") || !strings.Contains(out, "door-queues 64\n") {
		t.Errorf("a valid file: %v, %s", err, out)
	}
	if out, err := run(t, "completion", "bash"); err != nil || !strings.Contains(out, "switchfork") {
		t.Errorf("completion: %v", err)
	}
}
