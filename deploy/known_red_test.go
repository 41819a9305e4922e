package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of known failures names at most three tests that exist, each with its cause and its issue. The samples name tests of
// this package, so that a test renamed elsewhere does not change them.
func TestKnownRed(t *testing.T) {
	const (
		first  = "TestKnownRed, a fault in the answer, 43\n"
		second = "TestKnownRedInForce, a third, 45\n"
		third  = "TestAgentLinksCLibrary, a fourth, 46\n"
		fourth = "TestStaticProgramIsDetected, another, 44\n"
		failed = "!" // in place of a pattern
	)
	for _, c := range []struct{ list, pattern, stderr string }{
		{"", "", ""},
		{"\n  \n", "", ""},
		{first, "^(TestKnownRed)$", "known to fail, passed over: TestKnownRed: a fault in the answer (issue 43)"},
		{strings.TrimSuffix(first, "\n"), "^(TestKnownRed)$", "TestKnownRed"},
		{first + "\n" + second + third, "^(TestKnownRed|TestKnownRedInForce|TestAgentLinksCLibrary)$", "TestAgentLinksCLibrary"},
		{first + second + third + fourth, failed, "one too many; 3 tests at most"},
		{"TestKnownRed, no issue\n", failed, `"TestKnownRed, no issue" is not "test, cause, issue"`},
		{"TestKnownRed,, 43\n", failed, "is not"},
		{", a cause, 43\n", failed, "is not"},
		{"TestOfNothing, a cause, 43\n", failed, "TestOfNothing stands in 0 test files"},
		{"Test.*, a cause, 43\n", failed, `"Test.*" is no test's name`},
		{first + "oops\n", failed, ":2:"},
	} {
		list := filepath.Join(t.TempDir(), "list.txt")
		if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.CommandContext(t.Context(), "bash", ".ci/known-red", list)
		cmd.Dir = ".."
		var stdout, stderr strings.Builder
		cmd.Stdout, cmd.Stderr = &stdout, &stderr
		err := cmd.Run()
		pattern := strings.TrimSpace(stdout.String())
		if shouldFail := c.pattern == failed; (err != nil) != shouldFail || err == nil && pattern != c.pattern {
			t.Errorf("%q: %v, pattern %q, want %q", c.list, err, pattern, c.pattern)
		}
		if !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%q: standard error is %q, want %q", c.list, stderr.String(), c.stderr)
		}
	}
}

// The list that is in force is valid.
func TestKnownRedInForce(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), "bash", ".ci/known-red")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
