package election

import "testing"

// Status reports and logs show verdicts by these words.
func TestVerdictString(t *testing.T) {
	for verdict, want := range map[Verdict]string{NoVote: "none", Advance: "on", Hold: "hold", Rollback: "back"} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d is %q, want %q", uint8(verdict), got, want)
		}
	}
}
