package election

// This file owns what is cast and when: what the agents' wishes come to, the record before each cast, and how long a contrary
// decision is held back. It must never cast for an agent that does not lead.

// stopAlone holds what an agent may do without a decider. That one appears again changes nothing: it will send back, or this
// agent's judge comes to wish otherwise.
func (d *Replica) stopAlone() {
	own := d.wishes[d.me].Decision
	bad := d.open && own == Decision{d.build, d.stage, RollBack}
	switch reach := d.IsLeader(d.now) || d.now < d.until; {
	case d.alone.Verdict == NoVote && bad && !reach:
		d.alone = own
		d.out = append(d.out, SelfStop{own, true})
	case d.alone.Verdict != NoVote && !bad:
		d.out = append(d.out, SelfStop{d.alone, false})
		d.alone = Decision{}
	}
}

// wanted is what the agents' wishes come to: back where enough ask for it; else what this agent's judge asks for, if nobody
// wishes to go back. In doubt nobody votes on.
func (d *Replica) wanted() Verdict {
	backs := 0
	for i, w := range d.wishes {
		fresh := i == d.me || w.at > 0 && d.now-w.at < wishFor*d.terms.Lease
		if fresh && w.Build == d.build && w.Stage == d.stage && w.Verdict == RollBack {
			backs++
		}
	}
	own := d.wishes[d.me]
	switch {
	case backs >= max(1, d.terms.RollBackQuorum):
		return RollBack
	case own.Build != d.build || own.Stage != d.stage || backs > 0 && own.Verdict == Advance:
		return NoVote
	}
	return own.Verdict
}

// decide records what is wanted with a majority, and then casts it.
func (d *Replica) decide() {
	if !d.open {
		return
	}
	want := Decision{d.build, d.stage, d.wanted()}
	if d.pending.Term != d.term {
		d.pending = Record{}
	}
	if d.pending.Term != 0 && d.pending.Decision != want {
		d.pending = Record{} // what was only told was never cast
	}
	switch {
	case want.Verdict == NoVote:
		return
	case d.cast.Decision == want && d.now-d.castAt < Micros(renewVote*float64(d.terms.VoteLifetime)):
		return
	case d.pending.Term == 0:
		if !d.mayDecide(want) {
			return
		}
		d.serial++
		d.pending = Record{Term: d.term, Index: d.serial, Decision: want}
		switch {
		case d.cast.Term == 0 || d.cast.Build != want.Build || d.cast.Stage != want.Stage:
		case d.cast.Verdict != want.Verdict:
			d.pending.Prior = d.cast.Verdict
		case d.now < d.priorTo:
			d.pending.Prior = d.prior
		}
		d.wrote, d.toldAt = map[int]bool{d.me: true}, d.now
		d.learn(d.pending)
		d.tell(Message{Kind: Replicate, Ballot: d.ballot, Record: d.pending})
	case d.now-d.toldAt >= d.terms.Lease/tellAgain:
		d.toldAt = d.now
		d.tell(Message{Kind: Replicate, Ballot: d.ballot, Record: d.pending})
	}
	if before := d.leads - d.longer(d.terms.Lease/tellAgain); d.pending.Term != 0 && (d.majority(d.wrote) || d.without.QuorumBeforeCast) && (d.now < before || d.without.LeaseExpiry) {
		if d.cast.Term != 0 && d.cast.Verdict != d.pending.Verdict {
			d.prior, d.priorTo = d.cast.Verdict, d.castAt+d.longer(d.terms.MaxVoteDelay+d.terms.VoteLifetime)
		}
		d.cast, d.castAt, d.answered = d.pending, d.now, false
		d.pending = Record{}
		d.out = append(d.out, CastVote{d.cast, before})
	}
}

// mayDecide holds a contrary decision back while another may count: an earlier lead's, until its votes can be neither carried
// out nor in force, unless it was on another stage; this lead's own, until it is answered or can't be carried out any more.
func (d *Replica) mayDecide(want Decision) bool {
	if d.without.WaitForEarlierVotes {
		return true
	}
	same := func(r Record) bool { return r.Build == want.Build && r.Stage == want.Stage }
	contrary := d.earlier.Verdict != want.Verdict || d.earlier.Prior != NoVote && d.earlier.Prior != want.Verdict
	if d.earlier.Term != 0 && d.now < d.clear && same(d.earlier) && contrary {
		return false
	}
	if d.cast.Term != 0 && same(d.cast) && d.cast.Verdict == RollBack && want.Verdict == Advance {
		// Evidence may flap, votes may not: what was to be sent back goes on when that vote's life is over, if at all.
		return d.now >= d.castAt+d.longer(d.terms.MaxVoteDelay+d.terms.VoteLifetime)
	}
	if d.cast.Term != 0 && same(d.cast) && d.cast.Verdict != want.Verdict {
		return d.answered || d.now >= d.castAt+d.longer(d.terms.MaxVoteDelay)
	}
	return true
}
