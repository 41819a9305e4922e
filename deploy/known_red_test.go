package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// .ci/known-red accepts a list only if each entry holds an existing test, a command, what was seen and an issue, and if no test is listed
// twice. The entries of this test name tests of this package, so that renames in other packages do not affect them.
func TestKnownRed(t *testing.T) {
	const (
		first  = "TestKnownRed ;; go test -run 'A|B' ./deploy; echo a, b ;; a fault in the answer ;; 43\n"
		second = "TestKnownRedInForce ;; go test ./deploy ;; a third ;; 45\n"
		soak   = "TestAgentLinksCLibrary/seed_7.1/late ;; go test ./deploy ;; a fourth ;; 46\n"
		failed = "!" // expected in place of a pattern if the script must fail
	)
	for _, c := range []struct{ list, pattern, stderr string }{
		{"", "", ""},
		{"\n  \n", "", ""},
		{first, "^TestKnownRed$", "TestKnownRed: a fault in the answer (issue 43; go test -run 'A|B' ./deploy; echo a, b)"},
		{strings.TrimSuffix(first, "\n"), "^TestKnownRed$", "known to fail, passed over: TestKnownRed"},
		{first + "\n" + second, "^TestKnownRed$|^TestKnownRedInForce$", "TestKnownRedInForce: a third"},
		{first + soak, `^TestKnownRed$|^TestAgentLinksCLibrary$/^seed_7\.1$/^late$`, "TestAgentLinksCLibrary/seed_7.1/late: a fourth"},
		{soak + strings.Replace(soak, "7.1", "8", 1), `^TestAgentLinksCLibrary$/^seed_7\.1$/^late$|^TestAgentLinksCLibrary$/^seed_8$/^late$`, "seed_8"},
		{first + second + first, failed, ":3: TestKnownRed is listed twice"},
		{soak + soak, failed, ":2: TestAgentLinksCLibrary/seed_7.1/late is listed twice"},
		{"TestKnownRed ;; go test ;; 43\n", failed, ":1: \"TestKnownRed ;; go test ;; 43\" has 3 fields, expected"},
		{"TestKnownRed ;; go test ;; seen ;; 43 ;; 44\n", failed, "has 5 fields, expected"},
		{"TestKnownRed, a cause, 43\n", failed, "has 1 fields, expected"},
		{"TestKnownRed ;;  ;; seen ;; 43\n", failed, "the command is empty"},
		{"TestKnownRed ;; go test ;;  ;; 43\n", failed, "what was seen is empty"},
		{"TestKnownRed ;; go test ;; seen ;; soon\n", failed, `the issue is "soon", expected a number`},
		{" ;; go test ;; seen ;; 43\n", failed, `"" is no test's name`},
		{"Test.* ;; go test ;; seen ;; 43\n", failed, `"Test.*" is no test's name`},
		{"TestOfNothing ;; go test ;; seen ;; 43\n", failed, "TestOfNothing stands in 0 test files"},
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
			t.Errorf("%q: got error %v, pattern %q, want %q", c.list, err, pattern, c.pattern)
		}
		if !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%q: got standard error %q, want it to contain %q", c.list, stderr.String(), c.stderr)
		}
	}
}

// The project's list of known failures is valid.
func TestKnownRedInForce(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), "bash", ".ci/known-red")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf(".ci/known-red failed: %v: %s", err, out)
	}
}
