package election

// This file owns what is cast and when: what the agents' wishes come to, the record before each cast, and how long a contrary
// decision is held back. It must never cast for an agent that does not lead.

// updateSelfStop holds what an agent may do without a decider. That one appears again changes nothing: it will send back, or this
// agent's judge comes to wish otherwise.
func (d *Replica) updateSelfStop() {
	own := d.recommendations[d.id].Decision
	bad := d.rolloutActive && own == Decision{d.build, d.stage, RollBack}
	switch reach := d.IsLeader(d.now) || d.now < d.leaseAcceptedUntil; {
	case d.selfStopped.Verdict == NoVote && bad && !reach:
		d.selfStopped = own
		d.commands = append(d.commands, SelfStop{own, true})
	case d.selfStopped.Verdict != NoVote && !bad:
		d.commands = append(d.commands, SelfStop{d.selfStopped, false})
		d.selfStopped = Decision{}
	}
}

// recommendedVerdict is what the agents' wishes come to: back where enough ask for it; else what this agent's judge asks for, if nobody
// wishes to go back. In doubt nobody votes on.
func (d *Replica) recommendedVerdict() Verdict {
	backs := 0
	for i, w := range d.recommendations {
		fresh := i == d.id || w.receivedAt > 0 && d.now-w.receivedAt < recommendationLeases*d.settings.Lease
		if fresh && w.Build == d.build && w.Stage == d.stage && w.Verdict == RollBack {
			backs++
		}
	}
	own := d.recommendations[d.id]
	switch {
	case backs >= max(1, d.settings.RollBackQuorum):
		return RollBack
	case own.Build != d.build || own.Stage != d.stage || backs > 0 && own.Verdict == Advance:
		return NoVote
	}
	return own.Verdict
}

// replicateAndCast records what is wanted with a majority, and then casts it.
func (d *Replica) replicateAndCast() {
	if !d.rolloutActive {
		return
	}
	want := Decision{d.build, d.stage, d.recommendedVerdict()}
	if d.pendingRecord.Term != d.term {
		d.pendingRecord = Record{}
	}
	if d.pendingRecord.Term != 0 && d.pendingRecord.Decision != want {
		d.pendingRecord = Record{} // what was only told was never cast
	}
	switch {
	case want.Verdict == NoVote:
		return
	case d.lastCast.Decision == want && d.now-d.lastCastAt < Micros(recastLifetimeFraction*float64(d.settings.VoteLifetime)):
		return
	case d.pendingRecord.Term == 0:
		if !d.mayStartVote(want) {
			return
		}
		d.lastIndex++
		d.pendingRecord = Record{Term: d.term, Index: d.lastIndex, Decision: want}
		switch {
		case d.lastCast.Term == 0 || d.lastCast.Build != want.Build || d.lastCast.Stage != want.Stage:
		case d.lastCast.Verdict != want.Verdict:
			d.pendingRecord.Prior = d.lastCast.Verdict
		case d.now < d.priorVerdictUntil:
			d.pendingRecord.Prior = d.priorVerdict
		}
		d.replicatedTo, d.replicateSentAt = map[int]bool{d.id: true}, d.now
		d.learnRecord(d.pendingRecord)
		d.broadcast(Message{Kind: Replicate, Ballot: d.ballot, Record: d.pendingRecord})
	case d.now-d.replicateSentAt >= d.settings.Lease/retriesPerLease:
		d.replicateSentAt = d.now
		d.broadcast(Message{Kind: Replicate, Ballot: d.ballot, Record: d.pendingRecord})
	}
	if before := d.leaderUntil - d.driftUpperBound(d.settings.Lease/retriesPerLease); d.pendingRecord.Term != 0 && (d.hasQuorum(d.replicatedTo) || d.disabled.QuorumBeforeCast) && (d.now < before || d.disabled.LeaseExpiry) {
		if d.lastCast.Term != 0 && d.lastCast.Verdict != d.pendingRecord.Verdict {
			d.priorVerdict, d.priorVerdictUntil = d.lastCast.Verdict, d.lastCastAt+d.driftUpperBound(d.settings.MaxVoteDelay+d.settings.VoteLifetime)
		}
		d.lastCast, d.lastCastAt, d.lastCastResolved = d.pendingRecord, d.now, false
		d.pendingRecord = Record{}
		d.commands = append(d.commands, CastVote{d.lastCast, before})
	}
}

// mayStartVote holds a contrary decision back while another may count: an earlier lead's, until its votes can be neither carried
// out nor in force, unless it was on another stage; this lead's own, until it is answered or can't be carried out any more.
func (d *Replica) mayStartVote(want Decision) bool {
	if d.disabled.WaitForEarlierVotes {
		return true
	}
	same := func(r Record) bool { return r.Build == want.Build && r.Stage == want.Stage }
	contrary := d.predecessorRecord.Verdict != want.Verdict || d.predecessorRecord.Prior != NoVote && d.predecessorRecord.Prior != want.Verdict
	if d.predecessorRecord.Term != 0 && d.now < d.predecessorVotesUntil && same(d.predecessorRecord) && contrary {
		return false
	}
	if d.lastCast.Term != 0 && same(d.lastCast) && d.lastCast.Verdict == RollBack && want.Verdict == Advance {
		// Evidence may flap, votes may not: what was to be sent back goes on when that vote's life is over, if at all.
		return d.now >= d.lastCastAt+d.driftUpperBound(d.settings.MaxVoteDelay+d.settings.VoteLifetime)
	}
	if d.lastCast.Term != 0 && same(d.lastCast) && d.lastCast.Verdict != want.Verdict {
		return d.lastCastResolved || d.now >= d.lastCastAt+d.driftUpperBound(d.settings.MaxVoteDelay)
	}
	return true
}
