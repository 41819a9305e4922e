package election

// voteState is what a leader replicates and casts.
type voteState struct {
	pending      Record     // replicated to some, not to a quorum yet; the zero value: none
	replicatedTo replicaSet // who has acknowledged the pending record
	sentAt       Micros     // when the pending record was last sent
	lastIndex    uint32

	lastCast         Record // of the present term; the zero value: none
	lastCastAt       Micros
	lastCastResolved bool // the rollout controller has answered

	prior      Verdict // the last verdict cast that differs from lastCast's
	priorUntil Micros  // until then it may count

	predecessor      Record // the newest record of earlier leaders when the term began
	predecessorUntil Micros // until then something that an earlier leader has cast may count
}

func (v *voteState) startTerm(predecessor Record, predecessorUntil Micros) {
	v.predecessor, v.predecessorUntil = predecessor, predecessorUntil
	v.pending = Record{}
	v.lastCast, v.lastCastResolved = Record{}, false
	v.priorUntil = 0
}

func (v *voteState) hasUnresolved() bool {
	return v.pending.Term != 0 || v.lastCast.Term != 0 && !v.lastCastResolved
}

// hasCastOn reports whether a vote was cast in this term on the stage of a decision.
func (v *voteState) hasCastOn(d Decision) bool {
	return v.lastCast.Term != 0 && v.lastCast.isSameStage(d)
}

// contraryVerdict returns the verdict other than the decision's that was cast in this term on its stage and may still count.
func (v *voteState) contraryVerdict(d Decision, now Micros) Verdict {
	switch {
	case !v.hasCastOn(d):
		return NoVote
	case v.lastCast.Verdict != d.Verdict:
		return v.lastCast.Verdict
	case now < v.priorUntil:
		return v.prior
	}
	return NoVote
}

// learnRecord remembers a record if it is the newest.
func (r *Replica) learnRecord(record Record) {
	if record.isNewerThan(r.newestRecord) {
		r.newestRecord = record
	}
}

// advanceVote replicates what the recommendations ask for, and casts it once a quorum knows it.
func (r *Replica) advanceVote() {
	if !r.rollout.isActive {
		return
	}
	wanted := Decision{Build: r.rollout.build, Stage: r.rollout.stage, Verdict: r.recommendedVerdict()}
	if r.votes.pending.Term != r.leader.term || r.votes.pending.Decision != wanted {
		r.votes.pending = Record{} // what was only replicated was never cast
	}
	isPending := r.votes.pending.Term != 0
	switch {
	case wanted.Verdict == NoVote:
		return
	case r.votes.lastCast.Decision == wanted && r.now-r.votes.lastCastAt < r.settings.recastInterval():
		return
	case !isPending && !r.canStartVote(wanted):
		return
	case !isPending:
		r.startVote(wanted)
	case r.now-r.votes.sentAt >= r.settings.retryInterval():
		r.sendPending()
	}
	r.castPending()
}

// startVote appends a decision to the log.
func (r *Replica) startVote(wanted Decision) {
	r.votes.lastIndex++
	r.votes.pending = Record{
		Term:     r.leader.term,
		Index:    r.votes.lastIndex,
		Decision: wanted,
		Prior:    r.votes.contraryVerdict(wanted, r.now),
	}
	r.votes.replicatedTo = newReplicaSet(r.id)
	r.learnRecord(r.votes.pending)
	r.sendPending()
}

func (r *Replica) sendPending() {
	r.votes.sentAt = r.now
	r.broadcast(Message{Kind: Replicate, Ballot: r.candidate.ballot, Record: r.votes.pending})
}

// handleReplicated counts an acknowledgement of the pending record.
func (r *Replica) handleReplicated(from int, m Message) {
	if m.Record == r.votes.pending && r.votes.replicatedTo != nil {
		r.votes.replicatedTo.add(from)
	}
}

// castPending casts the pending vote if a quorum knows it and the lease lasts long enough for it to be written.
func (r *Replica) castPending() {
	writeBefore := r.leader.leaseUntil - r.settings.driftUpperBound(r.settings.retryInterval())
	isReplicated := r.hasQuorum(r.votes.replicatedTo) || r.disabled.QuorumBeforeCast
	isInTime := r.now < writeBefore || r.disabled.LeaseTimeout
	if !isReplicated || !isInTime {
		return
	}
	v := &r.votes
	if v.lastCast.Term != 0 && v.lastCast.Verdict != v.pending.Verdict {
		v.prior = v.lastCast.Verdict
		v.priorUntil = v.lastCastAt + r.settings.effectWindow()
	}
	v.lastCast, v.lastCastAt, v.lastCastResolved = v.pending, r.now, false
	v.pending = Record{}
	r.commands = append(r.commands, CastVote{Record: v.lastCast, WriteBefore: writeBefore})
}

// canStartVote reports whether nothing contrary to a decision may count.
func (r *Replica) canStartVote(wanted Decision) bool {
	if r.disabled.WaitForEarlierVotes {
		return true
	}
	return !r.mustWaitForPredecessor(wanted) && !r.mustWaitForOwnVote(wanted)
}

// mustWaitForPredecessor reports whether a contrary vote of an earlier leader may still take effect or be in force, unless it
// was on another stage.
func (r *Replica) mustWaitForPredecessor(wanted Decision) bool {
	earlier := r.votes.predecessor
	if earlier.Term == 0 || r.now >= r.votes.predecessorUntil || !earlier.isSameStage(wanted) {
		return false
	}
	return earlier.Verdict != wanted.Verdict || earlier.Prior != NoVote && earlier.Prior != wanted.Verdict
}

// mustWaitForOwnVote reports whether the last vote of this term is contrary and neither answered nor too old to take effect.
func (r *Replica) mustWaitForOwnVote(wanted Decision) bool {
	last := r.votes.lastCast
	switch {
	case !r.votes.hasCastOn(wanted) || last.Verdict == wanted.Verdict:
		return false
	case last.Verdict == Rollback && wanted.Verdict == Advance:
		// Evidence may alternate, votes may not: a build that was to be rolled back advances only when that vote's lifetime is
		// over, if at all.
		return r.now < r.votes.lastCastAt+r.settings.effectWindow()
	}
	return !r.votes.lastCastResolved && r.now < r.votes.lastCastAt+r.settings.effectDelay()
}
