package election

import "testing"

// Nothing contrary to an earlier leader's newest record is cast on its stage until that can't count any more; the record's prior vote
// counts, too.
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
			t.Errorf("%s: allowed is %t", name, got)
		}
		h.disabled.WaitForEarlierVotes = true
		if !h.allows(testRecord(tc.wanted).Decision, tc.now) {
			t.Errorf("%s: not allowed with the guard off", name)
		}
	}
}

// A leader's own contrary vote waits until the one before is answered or can't take effect any more; an advance after a rollback waits
// for the rollback's lifetime in any case.
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
			t.Errorf("%s: unresolved is %t", name, h.hasUnresolved())
		}
		if got := h.allows(testRecord(tc.wanted).Decision, second+tc.after); got != tc.want {
			t.Errorf("%s: allowed is %t", name, got)
		}
	}
}

// A record carries the other verdict that its leader has cast on the stage, as long as that may count.
func TestVoteHistoryContraryVerdict(t *testing.T) {
	settings := testSettings()
	h := voteHistory{settings: settings}
	hold, rollback := testRecord(Hold), testRecord(Rollback)
	if got := h.contraryVerdict(hold.Decision, second); got != NoVote {
		t.Errorf("before any vote: %v", got)
	}
	h.addCast(hold, second)
	if got := h.contraryVerdict(rollback.Decision, second); got != Hold {
		t.Errorf("after a hold: %v", got)
	}
	h.addCast(rollback, 2*second)
	end := second + settings.effectWindow()
	if got := h.contraryVerdict(rollback.Decision, end-1); got != Hold {
		t.Errorf("while the hold may count: %v", got)
	}
	if got := h.contraryVerdict(rollback.Decision, end); got != NoVote {
		t.Errorf("when the hold can't count: %v", got)
	}
	otherStage := Decision{Build: 4, Stage: 2, Verdict: Advance}
	if got := h.contraryVerdict(otherStage, 2*second); got != NoVote {
		t.Errorf("on another stage: %v", got)
	}
}

// The same vote is cast again when two thirds of its lifetime are nearly over.
func TestVoteHistoryRecast(t *testing.T) {
	h := voteHistory{settings: testSettings()}
	h.addCast(testRecord(Hold), second)
	interval := testSettings().recastInterval()
	if !h.isRecent(testRecord(Hold).Decision, second+interval-1) || h.isRecent(testRecord(Hold).Decision, second+interval) {
		t.Error("not cast again at its interval")
	}
	if h.isRecent(testRecord(Rollback).Decision, second) {
		t.Error("another verdict counts as recent")
	}
}
