package election

// acceptorState is what a replica has promised and accepted in its role as an acceptor.
type acceptorState struct {
	highestPromised uint64
	highestAccepted uint64
	highestReleased uint64 // leases up to this ballot were given up by their holders
	leaseHolder     int
	leaseUntil      Micros // end of the accepted lease, by this replica's clock

	highestBallotSeen uint64 // of the ballots that Nack and TransferLease messages have named
	abstainUntil      Micros // after a restart without durable state
	// deferredAt is when this replica last postponed its own campaign for a candidate, by that one's number; 0: never.
	deferredAt []Micros
}

func (r *Replica) isAbstaining() bool { return r.now < r.acceptor.abstainUntil }

// rejectNonMember answers the Prepare of a replica that is not a member with the present members.
func (r *Replica) rejectNonMember(from int) {
	if !r.isAbstaining() {
		r.send(from, r.withMembers(Message{Kind: Nack}))
	}
}

// handlePrepare promises a ballot, unless another's lease is in force or a higher ballot is promised.
func (r *Replica) handlePrepare(from int, m Message) {
	if r.isAbstaining() {
		return
	}
	isRemote := from != r.id
	if isRemote && m.Ballot < r.acceptor.highestPromised {
		// Without the answer, a replica that has campaigned alone would never take part again: its ballots are higher than the
		// leader's, so it rejects those.
		r.sendNack(from)
	}
	if isRemote && r.members.isNewerThan(m.Members) {
		// A quorum of older members may have no replica in common with a quorum of these.
		r.sendNack(from)
		return
	}
	if r.isLeaseHeldByOther(from, m.ReleasedBallot) || !r.canPromise(from, m.Ballot) {
		return
	}
	r.acceptor.highestPromised = m.Ballot
	r.acceptor.highestReleased = max(r.acceptor.highestReleased, m.ReleasedBallot)
	if isRemote {
		r.deferCampaign(from)
	}
	r.reply(from, r.withMembers(Message{Kind: Promise, Ballot: m.Ballot, Record: r.newestRecord}))
}

func (r *Replica) sendNack(to int) {
	r.send(to, r.withMembers(Message{Kind: Nack, Ballot: r.acceptor.highestPromised}))
}

// isLeaseHeldByOther reports whether a lease of another replica than the candidate is in force here. While it is, nobody else
// is promised anything, so that a partitioned replica that comes back can't disturb the leader.
func (r *Replica) isLeaseHeldByOther(candidate int, released uint64) bool {
	if r.disabled.Prevote {
		return false
	}
	return r.now < r.acceptor.leaseUntil && r.acceptor.leaseHolder != candidate && r.acceptor.highestAccepted > released
}

// canPromise reports whether a ballot is higher than the one that was promised, or is the same, sent again by its owner.
func (r *Replica) canPromise(candidate int, ballot uint64) bool {
	if ballot > r.acceptor.highestPromised {
		return true
	}
	isResent := ballot == r.acceptor.highestPromised && ballotOwner(ballot) == candidate
	return isResent && ballot > r.acceptor.highestAccepted
}

// deferCampaign postpones this replica's own campaign for as long as the candidate's ballot may last. It does so once in an
// interval only: a candidate whose ballots never come through must not hold it off for good.
func (r *Replica) deferCampaign(candidate int) {
	last := r.acceptor.deferredAt[candidate]
	if last != 0 && r.now < last+r.settings.deferralInterval() {
		return
	}
	r.acceptor.deferredAt[candidate] = r.now
	r.candidate.nextCampaignAt = max(r.candidate.nextCampaignAt, r.now+r.settings.ballotTimeout()+r.campaignJitter())
}

// handlePropose accepts a lease, unless a higher ballot is promised or the lease was released since.
func (r *Replica) handlePropose(from int, m Message) {
	if r.isAbstaining() || m.Ballot < r.acceptor.highestPromised || m.Ballot <= r.acceptor.highestReleased || r.members.isNewerThan(m.Members) {
		return
	}
	r.acceptor.highestPromised = m.Ballot
	r.acceptor.highestAccepted = m.Ballot
	r.acceptor.leaseHolder = from
	r.acceptor.leaseUntil = r.now + r.settings.Lease
	if from != r.id && r.leader.leaseUntil > 0 && !r.disabled.LeaseTimeout {
		r.leader.leaseUntil = 0
	}
	r.reply(from, r.withMembers(Message{Kind: Accepted, Ballot: m.Ballot, Record: r.newestRecord}))
}

// handleReplicate acknowledges a record that handle has taken into the log. It promises the ballot, so that no older leader's
// record is acknowledged afterwards.
func (r *Replica) handleReplicate(from int, m Message) {
	if r.isAbstaining() || m.Ballot < r.acceptor.highestPromised {
		return
	}
	r.acceptor.highestPromised = m.Ballot
	r.send(from, Message{Kind: Replicated, Ballot: m.Ballot, Record: m.Record})
}

// handleTransferLease releases the lease of a leader that leaves, and makes way for its successor.
func (r *Replica) handleTransferLease(from int, m Message) {
	// A renewal that others have promised already would otherwise make them reject this replica's next ballot.
	r.acceptor.highestBallotSeen = max(r.acceptor.highestBallotSeen, m.Ballot)
	if r.acceptor.leaseHolder != from || r.acceptor.highestAccepted > m.Ballot || r.isAbstaining() {
		return
	}
	r.acceptor.leaseUntil = r.now
	r.acceptor.highestReleased = max(r.acceptor.highestReleased, m.Ballot)
	successorBallot := m.ReleasedBallot
	switch successor := ballotOwner(successorBallot); {
	case successorBallot <= r.acceptor.highestPromised:
		// Another ballot has come in between: the successor has to be elected.
		r.candidate.nextCampaignAt = r.now + r.campaignJitter()
	case successor != r.id:
		// The successor goes first: two candidates at once hinder each other.
		r.candidate.nextCampaignAt = r.now + r.campaignJitter()
		r.handle(successor, r.withMembers(Message{Kind: Prepare, Ballot: successorBallot, ReleasedBallot: m.Ballot}))
	case !r.isLeaving && r.members.Contains(r.id):
		r.startBallot(successorBallot)
		// The message carries the promise of the replica that leaves.
		r.handle(from, Message{Kind: Promise, Ballot: successorBallot, Record: m.Record, Members: m.Members})
	}
}
