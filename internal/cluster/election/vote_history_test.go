package election

import "testing"

// While an earlier leader's votes may still count, a vote on the same stage must not be contrary to that leader's newest record,
// or to the prior verdict in the record.
func TestVoteHistoryWaitsForPredecessor(t *testing.T) {
	const answeredAt = 50 * second
	end := answeredAt + testSettings().effectWindow()
	for name, tc := range map[string]struct {
		earlier      Record
		wanted       Verdict
		now          Micros
		isUnanswered bool
		want         bool
	}{
		"contrary, no answer": {earlier: testRecord(Advance), wanted: Rollback, now: end, isUnanswered: true},
		"the same, no answer": {earlier: testRecord(Advance), wanted: Advance, now: end, isUnanswered: true, want: true},
		"no earlier record":   {wanted: Rollback, now: second, want: true},
		"contrary":            {earlier: testRecord(Advance), wanted: Rollback, now: end - 1},
		"contrary, over":      {earlier: testRecord(Advance), wanted: Rollback, now: end, want: true},
		"the same":            {earlier: testRecord(Rollback), wanted: Rollback, now: second, want: true},
		"another stage":       {earlier: Record{Term: testTerm, Decision: Decision{Build: 4, Stage: 0, Verdict: Advance}}, wanted: Rollback, now: second, want: true},
		"the same, prior":     {earlier: Record{Term: testTerm, Decision: testRecord(Rollback).Decision, Prior: Advance}, wanted: Rollback, now: end - 1},
		"the same as prior":   {earlier: Record{Term: testTerm, Decision: testRecord(Rollback).Decision, Prior: Rollback}, wanted: Rollback, now: second, want: true},
		"contrary, no prior":  {earlier: testRecord(Hold), wanted: Advance, now: second},
	} {
		h := voteHistory{settings: testSettings()}
		h.startTerm(tc.earlier, second, second)
		h.observeAnswer(answeredAt, second-1) // the call began before the term, when an earlier leader's vote may not have been written
		if !tc.isUnanswered {
			h.observeAnswer(answeredAt, second)
			h.observeAnswer(end-1, second) // only the first answer counts
		}
		if got := h.allows(testRecord(tc.wanted).Decision, tc.now); got != tc.want {
			t.Errorf("%s: the vote is allowed: got %t, want the opposite", name, got)
		}
		h.disabled.WaitForEarlierVotes = true
		if !h.allows(testRecord(tc.wanted).Decision, tc.now) {
			t.Errorf("%s: the vote is not allowed with the guard off", name)
		}
	}
}

// A contrary vote of the same leader waits until the previous vote is answered or can no longer take effect, which takes an answer of the
// rollout controller to a call that began after that vote was written. An advance after a rollback waits until the rollback can no longer
// take effect or count, even if the rollback was answered. Times are after the cast, or after the answer if there is one.
func TestVoteHistoryWaitsForOwnVote(t *testing.T) {
	settings := testSettings()
	const never, unresolved, resolved = 0, 1, 2
	for name, tc := range map[string]struct {
		cast, wanted Verdict
		answer       int
		after        Micros
		want         bool
	}{
		"the same verdict":           {cast: Hold, wanted: Hold, want: true},
		"contrary, no answer":        {cast: Hold, wanted: Rollback, after: 100 * second},
		"contrary, unresolved":       {cast: Hold, wanted: Rollback, answer: unresolved, after: settings.effectDelay() - 1},
		"contrary, without effect":   {cast: Hold, wanted: Rollback, answer: unresolved, after: settings.effectDelay(), want: true},
		"contrary, resolved":         {cast: Hold, wanted: Rollback, answer: resolved, want: true},
		"advance, no answer":         {cast: Rollback, wanted: Advance, after: 100 * second},
		"advance after rollback":     {cast: Rollback, wanted: Advance, answer: resolved, after: settings.effectWindow() - 1},
		"advance, unresolved":        {cast: Rollback, wanted: Advance, answer: unresolved, after: settings.effectWindow() - 1},
		"advance, rollback over":     {cast: Rollback, wanted: Advance, answer: unresolved, after: settings.effectWindow(), want: true},
		"rollback after an advance":  {cast: Advance, wanted: Rollback, answer: unresolved, after: settings.effectDelay() - 1},
		"rollback, advance resolved": {cast: Advance, wanted: Rollback, answer: resolved, want: true},
	} {
		h := voteHistory{settings: settings}
		h.addCast(testRecord(tc.cast), second)
		writtenBy := second + settings.effectDelay()
		answeredAt := writtenBy
		h.observeAnswer(answeredAt, writtenBy-1) // the vote may have been written after this call began
		switch tc.answer {
		case never:
			answeredAt = second
		case unresolved:
			h.observeAnswer(answeredAt, writtenBy)
		case resolved:
			h.resolve(testRecord(tc.cast), answeredAt)
		}
		if h.hasUnresolved() == (tc.answer == resolved) {
			t.Errorf("%s: hasUnresolved is %t, want the opposite", name, h.hasUnresolved())
		}
		if got := h.allows(testRecord(tc.wanted).Decision, answeredAt+tc.after); got != tc.want {
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
	h.resolve(hold, second)
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
