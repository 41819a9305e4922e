package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What CI passes over is named, at most three tests that there are, each with its cause and its issue.
func TestKnownRed(t *testing.T) {
	one, two := "TestKnownRed, a fault in the answer, 43\n", "TestLinked, another, 44\n"
	three, four := "TestGoldenMetrics, a third, 45\n", "TestGoldenCommands, a fourth, 46\n"
	for _, c := range []struct{ list, pattern, said string }{
		{"", "", ""},
		{"\n  \n", "", ""},
		{one, "^(TestKnownRed)$", "known to fail, passed over: TestKnownRed: a fault in the answer (issue 43)"},
		{strings.TrimSuffix(one, "\n"), "^(TestKnownRed)$", "TestKnownRed"},
		{one + "\n" + three + four, "^(TestKnownRed|TestGoldenMetrics|TestGoldenCommands)$", "TestGoldenCommands"},
		{one + three + four + two, "!", "one too many; 3 tests at most"},
		{"TestKnownRed, no issue\n", "!", `"TestKnownRed, no issue" is not "test, cause, issue"`},
		{"TestKnownRed,, 43\n", "!", "is not"},
		{", a cause, 43\n", "!", "is not"},
		{"TestOfNothing, a cause, 43\n", "!", "TestOfNothing stands in 0 test files"},
		{"Test.*, a cause, 43\n", "!", `"Test.*" is no test's name`},
		{one + "oops\n", "!", ":2:"},
	} {
		list := filepath.Join(t.TempDir(), "list.txt")
		if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", ".ci/known-red", list)
		cmd.Dir = ".."
		var out, said strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &said
		err := cmd.Run()
		if got := strings.TrimSpace(out.String()); (err != nil) != (c.pattern == "!") || err == nil && got != c.pattern || !strings.Contains(said.String(), c.said) {
			t.Errorf("%q: %v, pattern %q, said %q; want %q and %q", c.list, err, got, said.String(), c.pattern, c.said)
		}
	}
}

// The list that is in force is readable.
func TestKnownRedInForce(t *testing.T) {
	cmd := exec.Command("bash", ".ci/known-red")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
