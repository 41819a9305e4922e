package election

import "testing"

// Logs and the command line show verdicts by these names, so they must not change.
func TestVerdictString(t *testing.T) {
	for verdict, want := range map[Verdict]string{NoVote: "none", Advance: "advance", Hold: "hold", Rollback: "rollback"} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d is %q, want %q", uint8(verdict), got, want)
		}
	}
}
