package election

// voteHistory is what was cast and may still count: by this replica in the present term, and by the leaders before it. It decides
// whether a vote would contradict any of that, from the times at which votes were cast and from the rollout controller's answers.
// [voteCaster] asks it before a vote begins to be replicated.
type voteHistory struct {
	settings Settings
	disabled DisabledGuards

	lastCast         Record // of the present term; the zero value: none
	lastCastAt       Micros
	lastCastResolved bool // the rollout controller has answered

	prior      Verdict // the last verdict cast that differs from lastCast's
	priorUntil Micros  // until then it may count

	predecessor      Record // the newest record of earlier leaders when the term began
	predecessorUntil Micros // until then something that an earlier leader has cast may count
}

// startTerm begins a new leadership. Whatever its predecessors have cast counts from now on as if it had been cast right now.
func (h *voteHistory) startTerm(predecessor Record, now Micros) {
	h.predecessor = predecessor
	h.predecessorUntil = now + h.settings.effectWindow()
	h.lastCast = Record{}
	h.lastCastResolved = false
	h.priorUntil = 0
}

// addCast remembers a vote that is cast now.
func (h *voteHistory) addCast(record Record, now Micros) {
	if h.lastCast.Term != 0 && h.lastCast.Verdict != record.Verdict {
		h.prior = h.lastCast.Verdict
		h.priorUntil = h.lastCastAt + h.settings.effectWindow()
	}
	h.lastCast = record
	h.lastCastAt = now
	h.lastCastResolved = false
}

// resolve remembers that the rollout controller has answered the vote of a record.
func (h *voteHistory) resolve(record Record) {
	if record == h.lastCast {
		h.lastCastResolved = true
	}
}

func (h *voteHistory) hasUnresolved() bool { return h.lastCast.Term != 0 && !h.lastCastResolved }

// earlierVotesExpireIn returns how much longer votes of an earlier leader may count.
func (h *voteHistory) earlierVotesExpireIn(now Micros) Micros {
	if h.predecessor.Term == 0 {
		return 0
	}
	return max(0, h.predecessorUntil-now)
}

// isRecent reports whether a decision was the last to be cast, so lately that it need not be cast again.
func (h *voteHistory) isRecent(d Decision, now Micros) bool {
	return h.lastCast.Decision == d && now-h.lastCastAt < h.settings.recastInterval()
}

// hasCastOn reports whether a vote was cast in this term on the stage of a decision.
func (h *voteHistory) hasCastOn(d Decision) bool {
	return h.lastCast.Term != 0 && h.lastCast.isSameStage(d)
}

// contraryVerdict returns the verdict other than the decision's that was cast in this term on its stage and may still count.
func (h *voteHistory) contraryVerdict(d Decision, now Micros) Verdict {
	switch {
	case !h.hasCastOn(d):
		return NoVote
	case h.lastCast.Verdict != d.Verdict:
		return h.lastCast.Verdict
	case now < h.priorUntil:
		return h.prior
	}
	return NoVote
}

// allows reports whether nothing contrary to a decision may count.
func (h *voteHistory) allows(wanted Decision, now Micros) bool {
	if h.disabled.WaitForEarlierVotes {
		return true
	}
	return !h.mustWaitForPredecessor(wanted, now) && !h.mustWaitForOwnVote(wanted, now)
}

// mustWaitForPredecessor reports whether a contrary vote of an earlier leader may still take effect or be in force, unless it
// was on another stage.
func (h *voteHistory) mustWaitForPredecessor(wanted Decision, now Micros) bool {
	earlier := h.predecessor
	if earlier.Term == 0 || now >= h.predecessorUntil || !earlier.isSameStage(wanted) {
		return false
	}
	isPriorContrary := earlier.Prior != NoVote && earlier.Prior != wanted.Verdict
	return earlier.Verdict != wanted.Verdict || isPriorContrary
}

// mustWaitForOwnVote reports whether the last vote of this term is contrary and neither answered nor too old to take effect.
func (h *voteHistory) mustWaitForOwnVote(wanted Decision, now Micros) bool {
	switch {
	case !h.hasCastOn(wanted) || h.lastCast.Verdict == wanted.Verdict:
		return false
	case h.lastCast.Verdict == Rollback && wanted.Verdict == Advance:
		// Evidence may alternate, votes may not: a build that was to be rolled back advances only when that vote's lifetime is
		// over, if at all.
		return now < h.lastCastAt+h.settings.effectWindow()
	}
	return !h.lastCastResolved && now < h.lastCastAt+h.settings.effectDelay()
}
