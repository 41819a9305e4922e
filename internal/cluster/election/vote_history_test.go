package election

import "testing"

// While an earlier leader's votes may still count, a vote on the same stage must not be contrary to that leader's newest record,
// or to the prior verdict in the record.
func TestVoteHistoryWaitsForPredecessor(t *testing.T) {
	end := second + testSettings().effectWindow()
	for name, tc := range map[string]struct {
		earlier Record
		wanted  Verdict
		now     Micros
		want    bool
	}{
		"no earlier record":  {wanted: Rollback, now: second, want: true},
		"contrary":           {earlier: testRecord(Advance), wanted: Rollback, now: end - 1},
		"contrary, over":     {earlier: testRecord(Advance), wanted: Rollback, now: end, want: true},
		"the same":           {earlier: testRecord(Rollback), wanted: Rollback, now: second, want: true},
		"another stage":      {earlier: Record{Term: testTerm, Decision: Decision{Build: 4, Stage: 0, Verdict: Advance}}, wanted: Rollback, now: second, want: true},
		"the same, prior":    {earlier: Record{Term: testTerm, Decision: testRecord(Rollback).Decision, Prior: Advance}, wanted: Rollback, now: end - 1},
		"the same as prior":  {earlier: Record{Term: testTerm, Decision: testRecord(Rollback).Decision, Prior: Rollback}, wanted: Rollback, now: second, want: true},
		"contrary, no prior": {earlier: testRecord(Hold), wanted: Advance, now: second},
	} {
		h := voteHistory{settings: testSettings()}
		h.startTerm(tc.earlier, second)
		if got := h.allows(testRecord(tc.wanted).Decision, tc.now); got != tc.want {
			t.Errorf("%s: the vote is allowed: got %t, want the opposite", name, got)
		}
		h.disabled.WaitForEarlierVotes = true
		if !h.allows(testRecord(tc.wanted).Decision, tc.now) {
			t.Errorf("%s: the vote is not allowed with the guard off", name)
		}
	}
}

// A contrary vote of the same leader waits until the previous vote is answered or can no longer take effect. An advance after a
// rollback waits until the rollback can no longer take effect or count, even if the rollback was answered.
func TestVoteHistoryWaitsForOwnVote(t *testing.T) {
	settings := testSettings()
	for name, tc := range map[string]struct {
		cast, wanted Verdict
		isResolved   bool
		after        Micros
		want         bool
	}{
		"the same verdict":           {cast: Hold, wanted: Hold, want: true},
		"contrary, unanswered":       {cast: Hold, wanted: Rollback, after: settings.effectDelay() - 1},
		"contrary, without effect":   {cast: Hold, wanted: Rollback, after: settings.effectDelay(), want: true},
		"contrary, answered":         {cast: Hold, wanted: Rollback, isResolved: true, want: true},
		"advance after rollback":     {cast: Rollback, wanted: Advance, isResolved: true, after: settings.effectWindow() - 1},
		"advance, rollback over":     {cast: Rollback, wanted: Advance, after: settings.effectWindow(), want: true},
		"rollback after an advance":  {cast: Advance, wanted: Rollback, after: settings.effectDelay() - 1},
		"rollback, advance answered": {cast: Advance, wanted: Rollback, isResolved: true, want: true},
	} {
		h := voteHistory{settings: settings}
		h.addCast(testRecord(tc.cast), second)
		if tc.isResolved {
			h.resolve(testRecord(tc.cast))
		}
		if h.hasUnresolved() == tc.isResolved {
			t.Errorf("%s: hasUnresolved is %t, want the opposite", name, h.hasUnresolved())
		}
		if got := h.allows(testRecord(tc.wanted).Decision, second+tc.after); got != tc.want {
			t.Errorf("%s: the vote is allowed: got %t, want the opposite", name, got)
		}
	}
}

// The prior verdict of a record is the other verdict that its leader has cast on the stage, as long as the vote with that verdict
// may count.
func TestVoteHistoryContraryVerdict(t *testing.T) {
	settings := testSettings()
	h := voteHistory{settings: settings}
	hold, rollback := testRecord(Hold), testRecord(Rollback)
	if got := h.contraryVerdict(hold.Decision, second); got != NoVote {
		t.Errorf("before any vote: got %v, want none", got)
	}
	h.addCast(hold, second)
	if got := h.contraryVerdict(rollback.Decision, second); got != Hold {
		t.Errorf("after a hold: got %v, want hold", got)
	}
	h.addCast(rollback, 2*second)
	end := second + settings.effectWindow()
	if got := h.contraryVerdict(rollback.Decision, end-1); got != Hold {
		t.Errorf("while the hold may count: got %v, want hold", got)
	}
	if got := h.contraryVerdict(rollback.Decision, end); got != NoVote {
		t.Errorf("when the hold can't count: got %v, want none", got)
	}
	otherStage := Decision{Build: 4, Stage: 2, Verdict: Advance}
	if got := h.contraryVerdict(otherStage, 2*second); got != NoVote {
		t.Errorf("on another stage: got %v, want none", got)
	}
}

// The same vote is cast again after a little less than two thirds of its lifetime.
func TestVoteHistoryRecast(t *testing.T) {
	h := voteHistory{settings: testSettings()}
	h.addCast(testRecord(Hold), second)
	interval := testSettings().recastInterval()
	if !h.isRecent(testRecord(Hold).Decision, second+interval-1) || h.isRecent(testRecord(Hold).Decision, second+interval) {
		t.Error("the vote is not due to be cast again exactly after the recast interval")
	}
	if h.isRecent(testRecord(Rollback).Decision, second) {
		t.Error("another verdict counts as recent")
	}
}
