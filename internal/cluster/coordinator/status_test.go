package coordinator

import (
	"testing"

	"switchfork/internal/cluster/election"
)

// At the admin address verdicts keep the words that commands of other versions read. Text for people has the words of the log.
func TestNewestDecisionWords(t *testing.T) {
	for verdict, want := range map[election.Verdict]struct{ wire, described string }{
		election.NoVote:   {"513.2 build 7 stage 1 none", "513.2 build 7 stage 1 none"},
		election.Advance:  {"513.2 build 7 stage 1 on", "513.2 build 7 stage 1 advance"},
		election.Hold:     {"513.2 build 7 stage 1 hold", "513.2 build 7 stage 1 hold"},
		election.Rollback: {"513.2 build 7 stage 1 back", "513.2 build 7 stage 1 rollback"},
	} {
		newest := election.Record{Term: 513, Index: 2, Decision: election.Decision{Build: 7, Stage: 1, Verdict: verdict}}
		report := NewStatusReport(0, election.Status{Newest: newest})
		if got := report.NewestDecision; got != want.wire {
			t.Errorf("NewestDecision is %q, want %q", got, want.wire)
		}
		if got := report.DescribeNewestDecision(); got != want.described {
			t.Errorf("DescribeNewestDecision returned %q, want %q", got, want.described)
		}
	}
	if got := NewStatusReport(0, election.Status{}).DescribeNewestDecision(); got != noDecision {
		t.Errorf("DescribeNewestDecision without a decision returned %q, want %q", got, noDecision)
	}
}
