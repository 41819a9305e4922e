package election

// handle processes a message from another replica, or from this one itself.
func (e *leaderElection) handle(from int, m Message) {
	if m.Kind == Prepare && !e.isMember(from, m.Members) {
		e.rejectNonMember(from)
		return
	}
	e.votes.log.learn(m.Record)
	e.adoptMembers(m.Members)
	e.dispatch(from, m)
}

// isMember reports whether a sender is a member. It also reports true if the sender knows a newer set of members, which this
// replica has not adopted yet.
func (e *leaderElection) isMember(sender int, known Members) bool {
	return e.membership.current.Contains(sender) || known.isNewerThan(e.membership.current)
}

// dispatch passes a message to the handler for its kind.
func (e *leaderElection) dispatch(from int, m Message) {
	switch m.Kind {
	case Prepare:
		e.handlePrepare(from, m)
	case Promise:
		e.handlePromise(from, m)
	case Propose:
		e.handlePropose(from, m)
	case Accepted:
		e.handleAccepted(from, m)
	case Replicate:
		e.handleReplicate(from, m)
	case Replicated:
		e.votes.log.acknowledge(from, m.Record)
	case Recommend:
		e.votes.recommendations.put(from, m.Recommendation, e.now)
	case TransferLease:
		e.handleTransferLease(from, m)
	case Nack:
		e.candidate.observe(m.Ballot)
	case CommitMembers:
		e.handleCommitMembers(from, m)
	case MembersCommitted:
		e.membership.acknowledge(from, m.Members)
	}
}

// rejectNonMember answers the Prepare of a replica that is not a member with a Nack that carries the current members.
func (e *leaderElection) rejectNonMember(from int) {
	if !e.acceptor.isAbstaining(e.now) {
		e.out.send(from, e.membership.attach(Message{Kind: Nack}))
	}
}

// adoptMembers adopts newer members. This replica's own ballot is then abandoned, because it was started among other members.
// This replica's lease is revoked if the members were stamped in another term, by another leader.
func (e *leaderElection) adoptMembers(members Members) {
	if !e.membership.adopt(members) {
		return
	}
	e.candidate.abandon()
	if members.Term != e.lease.term {
		e.lease.revoke()
	}
}

// handlePrepare answers a candidate with a Promise, or with a Nack if the candidate's ballot or members are out of date. The
// candidate gets no answer while this replica abstains, or if only another replica's lease prevents the promise.
func (e *leaderElection) handlePrepare(from int, m Message) {
	if e.acceptor.isAbstaining(e.now) {
		return
	}
	isRemote := from != e.id
	if isRemote && e.acceptor.isSuperseded(m.Ballot) {
		// The Nack makes the leader choose a higher ballot. Without the Nack, a replica that has campaigned alone would never
		// take part again: the ballots that it has promised to itself are higher than the leader's ballots, so it would reject
		// the leader's.
		e.sendNack(from)
	}
	if isRemote && e.membership.current.isNewerThan(m.Members) {
		// A quorum of the older members may have no replica in common with a quorum of the current ones.
		e.sendNack(from)
		return
	}
	if !e.acceptor.promise(e.now, from, m.Ballot, m.ReleasedBallot) {
		return
	}
	if isRemote {
		e.campaigns.deferTo(from, e.now)
	}
	e.reply(from, Message{Kind: Promise, Ballot: m.Ballot, Record: e.votes.log.newest})
}

func (e *leaderElection) sendNack(to int) {
	e.out.send(to, e.membership.attach(Message{Kind: Nack, Ballot: e.acceptor.highestPromised}))
}

// reply sends an answer that carries the current members. An answer to this replica itself is handled at once.
func (e *leaderElection) reply(to int, m Message) {
	m = e.membership.attach(m)
	if to == e.id {
		e.handle(e.id, m)
		return
	}
	e.out.send(to, m)
}

// handlePromise proposes the lease once a quorum has promised.
func (e *leaderElection) handlePromise(from int, m Message) {
	if !e.candidate.addPromise(from, m.Ballot, e.membership.current) {
		return
	}
	e.sendBallot()
	e.handle(e.id, e.membership.attach(Message{Kind: Propose, Ballot: e.candidate.ballot}))
}

// handlePropose accepts a candidate's lease, unless the candidate knows only older members. The acceptance of another replica's
// lease revokes this replica's own lease.
func (e *leaderElection) handlePropose(from int, m Message) {
	if e.membership.current.isNewerThan(m.Members) || !e.acceptor.accept(e.now, from, m.Ballot) {
		return
	}
	if from != e.id {
		e.lease.revoke()
	}
	e.reply(from, Message{Kind: Accepted, Ballot: m.Ballot, Record: e.votes.log.newest})
}

// handleAccepted begins or renews this replica's lease once a quorum has accepted the lease.
func (e *leaderElection) handleAccepted(from int, m Message) {
	if !e.candidate.addAcceptance(e.now, from, m.Ballot, e.membership.current) {
		return
	}
	if !e.lease.isValid(e.now) {
		// A new term begins even if this replica led before and its lease has lapsed, because another replica may have led
		// since then.
		e.lease.startTerm(e.candidate.ballot)
		e.membership.startTerm()
		// A leader whose lease has ended writes nothing. One that has left may still be writing its last vote.
		e.votes.startTerm(e.now, max(e.now, e.lastVoteWrittenBy))
	}
	e.lease.grant(e.candidate.leaseEnd(), e.candidate.members)
}

// handleReplicate acknowledges a record, which handle has already passed to the log.
func (e *leaderElection) handleReplicate(from int, m Message) {
	if e.acceptor.acknowledgesRecord(e.now, m.Ballot) {
		e.out.send(from, Message{Kind: Replicated, Ballot: m.Ballot, Record: m.Record})
	}
}

// handleCommitMembers acknowledges members, which handle has already adopted if they are newer.
func (e *leaderElection) handleCommitMembers(from int, m Message) {
	if m.Members == e.membership.current && e.acceptor.acknowledgesMembers(e.now, m.Ballot) {
		e.out.send(from, e.membership.attach(Message{Kind: MembersCommitted, Ballot: m.Ballot}))
	}
}

// handleTransferLease releases the lease of a leader that leaves, and promises the successor's ballot. If this replica is the
// successor, it starts that ballot.
func (e *leaderElection) handleTransferLease(from int, m Message) {
	// The ballot of the leader that leaves may be a renewal that other replicas have promised already. They would reject a lower
	// ballot of this replica.
	e.candidate.observe(m.Ballot)
	if !e.acceptor.releaseLease(e.now, from, m.Ballot) {
		return
	}
	e.lastVoteWrittenBy = e.now + e.settings.effectDelay()
	successorBallot := m.successorBallot()
	switch successor := ballotOwner(successorBallot); {
	case successorBallot <= e.acceptor.highestPromised:
		// This replica has promised another ballot in the meantime, so the successor has to campaign like any other replica.
		e.campaigns.reset(e.now)
	case successor != e.id:
		// This replica postpones its own campaign, because two candidates at the same time hinder each other.
		e.campaigns.reset(e.now)
		e.handle(successor, e.membership.attach(Message{Kind: Prepare, Ballot: successorBallot, ReleasedBallot: m.Ballot}))
	case !e.isLeaving && e.membership.current.Contains(e.id):
		e.startBallot(successorBallot)
		// The message also counts as the promise of the replica that leaves.
		e.handle(from, Message{Kind: Promise, Ballot: successorBallot, Record: m.Record, Members: m.Members})
	}
}
