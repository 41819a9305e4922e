package election

// voteHistory holds the votes that were cast and may still count: those of this replica in the current term, and those of earlier
// leaders. From the times at which votes were cast and the rollout controller's answers, it decides whether a new vote has to wait
// because of a contrary vote. [voteCaster] consults voteHistory before it replicates the record of a new vote.
type voteHistory struct {
	settings Settings
	disabled DisabledGuards

	lastCast         Record // record of the last vote cast in the current term; the zero value: none
	lastCastAt       Micros
	lastCastResolved bool // the rollout controller has answered the last vote
	lastCastDoubt    voteDoubt

	prior      Verdict // the newest earlier verdict that differs from lastCast's verdict
	priorDoubt voteDoubt

	predecessor      Record // the newest record of earlier leaders when the term began
	predecessorDoubt voteDoubt
}

// startTerm begins a new term of this replica as the leader. The votes of earlier leaders are treated as if they were cast now, and were written
// by writtenBy.
func (h *voteHistory) startTerm(predecessor Record, now, writtenBy Micros) {
	h.predecessor = predecessor
	h.predecessorDoubt = newVoteDoubt(h.disabled, now, writtenBy)
	h.lastCast = Record{}
	h.lastCastResolved = false
	h.prior = NoVote
}

// addCast records a vote that is cast now.
func (h *voteHistory) addCast(record Record, now Micros) {
	if h.lastCast.Term != 0 && h.lastCast.Verdict != record.Verdict {
		h.prior = h.lastCast.Verdict
		h.priorDoubt = h.lastCastDoubt
	}
	h.lastCast = record
	h.lastCastAt = now
	h.lastCastResolved = false
	h.lastCastDoubt = newVoteDoubt(h.disabled, now, now+h.settings.effectDelay())
}

// resolve records that the rollout controller has answered the vote of a record. Answers to votes before the last one are ignored.
func (h *voteHistory) resolve(record Record, now Micros) {
	if record == h.lastCast {
		h.lastCastResolved = true
		h.lastCastDoubt.resolve(now)
	}
}

// observeAnswer records that the rollout controller has answered a call that began at begunAt.
func (h *voteHistory) observeAnswer(now, begunAt Micros) {
	h.predecessorDoubt.observe(now, begunAt)
	h.lastCastDoubt.observe(now, begunAt)
	h.priorDoubt.observe(now, begunAt)
}

// needsAnswer reports whether a call to the rollout controller that begins now may tell how long votes on the stage of d count.
func (h *voteHistory) needsAnswer(d Decision, now Micros) bool {
	isPredecessorOpen := h.predecessor.Term != 0 && h.predecessor.isSameStage(d) && h.predecessorDoubt.needsAnswer(now)
	isPriorOpen := h.prior != NoVote && h.priorDoubt.needsAnswer(now)
	return isPredecessorOpen || h.hasCastOn(d) && (isPriorOpen || h.lastCastDoubt.needsAnswer(now))
}

func (h *voteHistory) hasUnresolved() bool { return h.lastCast.Term != 0 && !h.lastCastResolved }

// earlierVotesExpireIn returns how much longer votes of an earlier leader may count at least.
func (h *voteHistory) earlierVotesExpireIn(now Micros) Micros {
	if h.predecessor.Term == 0 {
		return 0
	}
	return h.predecessorDoubt.countsAtLeastFor(now, h.settings)
}

// isRecent reports whether d is the last decision that was cast, and need not be cast again yet.
func (h *voteHistory) isRecent(d Decision, now Micros) bool {
	return h.lastCast.Decision == d && now-h.lastCastAt < h.settings.recastInterval()
}

// hasCastOn reports whether a vote was cast in this term on the stage of a decision.
func (h *voteHistory) hasCastOn(d Decision) bool {
	return h.lastCast.Term != 0 && h.lastCast.isSameStage(d)
}

// contraryVerdict returns a verdict that was cast on the stage of d in this term and is contrary to d, or NoVote if there is
// none. A verdict before the last one is returned only while its vote may still count.
func (h *voteHistory) contraryVerdict(d Decision, now Micros) Verdict {
	switch {
	case !h.hasCastOn(d):
		return NoVote
	case h.lastCast.Verdict != d.Verdict:
		return h.lastCast.Verdict
	case h.prior != NoVote && now < h.priorDoubt.countsUntil(h.settings):
		return h.prior
	}
	return NoVote
}

// allows reports whether the decision wanted may be cast now. If not, it has to wait until a contrary vote can no longer take
// effect or count.
func (h *voteHistory) allows(wanted Decision, now Micros) bool {
	if h.disabled.WaitForEarlierVotes {
		return true
	}
	return !h.mustWaitForPredecessor(wanted, now) && !h.mustWaitForOwnVote(wanted, now)
}

// mustWaitForPredecessor reports whether an earlier leader's contrary vote on the same stage may still take effect or still
// count.
func (h *voteHistory) mustWaitForPredecessor(wanted Decision, now Micros) bool {
	earlier := h.predecessor
	if earlier.Term == 0 || now >= h.predecessorDoubt.countsUntil(h.settings) || !earlier.isSameStage(wanted) {
		return false
	}
	isPriorContrary := earlier.Prior != NoVote && earlier.Prior != wanted.Verdict
	return earlier.Verdict != wanted.Verdict || isPriorContrary
}

// mustWaitForOwnVote reports whether the last vote of this term is contrary, has not been answered, and may still take effect.
// After a vote to roll back, an advance waits until that vote can no longer count, even if the vote has been answered.
func (h *voteHistory) mustWaitForOwnVote(wanted Decision, now Micros) bool {
	switch {
	case !h.hasCastOn(wanted) || h.lastCast.Verdict == wanted.Verdict:
		return false
	case h.lastCast.Verdict == Rollback && wanted.Verdict == Advance:
		// The recommendations may alternate, but the votes must not. After a vote to roll back, a build advances only once that
		// vote can no longer count, if at all.
		return now < h.lastCastDoubt.countsUntil(h.settings)
	}
	return !h.lastCastResolved && now < h.lastCastDoubt.effectUntil(h.settings)
}
