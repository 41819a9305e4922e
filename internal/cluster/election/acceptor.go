package election

// acceptor is the replica in the Paxos role of acceptor. It decides which ballots to promise and which leases to accept, from the
// ballots that it has seen and the lease that it has accepted. [leaderElection] consults the acceptor for each Prepare, Propose,
// Replicate, CommitMembers and TransferLease message, including this replica's own messages. [Replica] persists the acceptor's
// state before any answer is sent.
type acceptor struct {
	settings Settings
	disabled DisabledGuards

	highestPromised uint64
	highestAccepted uint64
	highestReleased uint64    // leases of ballots up to this one were released by their holders
	leaseHolder     int       // the replica whose lease was accepted; noReplica: none
	leaseUntil      Micros    // end of the accepted lease, by this replica's clock
	isWithdrawn     bool      // nothing is promised or accepted any more
	hasLostState    bool      // nothing is promised or accepted until the votes in lostVotes can no longer count
	lostVotes       voteDoubt // votes whose records this replica may have acknowledged and lost
}

func newAcceptor(config Config) acceptor {
	return acceptor{
		settings:    config.Settings,
		disabled:    config.DisabledGuards,
		leaseHolder: noReplica,
	}
}

// restore loads the state that the replica persisted before it was restarted. How much of the accepted lease is left is unknown,
// so a full lease, extended by the clock drift, counts from now.
func (a *acceptor) restore(state DurableState, now Micros) {
	a.highestPromised = state.Promised
	a.highestAccepted = state.Accepted
	a.highestReleased = state.Released
	a.leaseHolder = int(state.LeaseHolder)
	if a.highestAccepted > a.highestReleased {
		a.leaseUntil = now + a.settings.driftUpperBound(a.settings.Lease)
	}
}

// withdraw makes the acceptor promise and accept nothing from now on.
func (a *acceptor) withdraw() { a.isWithdrawn = true }

// loseState makes the acceptor abstain: it promises and accepts nothing until all votes can no longer count whose records it may have
// acknowledged before it lost its state. A leader whose lease it has accepted may write votes for one more lease.
func (a *acceptor) loseState(now Micros) {
	leaseEnd := now + a.settings.driftUpperBound(a.settings.Lease)
	a.hasLostState = true
	a.lostVotes = newVoteDoubt(a.disabled, leaseEnd, leaseEnd)
}

func (a *acceptor) isAbstaining(now Micros) bool {
	return a.isWithdrawn || a.hasLostState && now < a.lostVotes.countsUntil(a.settings)
}

// observeAnswer records that the rollout controller has answered a call that began at begunAt.
func (a *acceptor) observeAnswer(now, begunAt Micros) { a.lostVotes.observe(now, begunAt) }

// needsAnswer reports whether the acceptor abstains and needs an answer of the rollout controller to a call that begins now.
func (a *acceptor) needsAnswer(now Micros) bool {
	return a.hasLostState && !a.isWithdrawn && a.lostVotes.needsAnswer(now)
}

// abstainsAtLeastFor returns how much longer the acceptor abstains at least.
func (a *acceptor) abstainsAtLeastFor(now Micros) Micros {
	switch {
	case a.isWithdrawn:
		return forever
	case a.hasLostState:
		return a.lostVotes.countsAtLeastFor(now, a.settings)
	}
	return 0
}

// isLeaseInForce reports whether the accepted lease has not ended yet, no matter which replica holds it.
func (a *acceptor) isLeaseInForce(now Micros) bool { return now < a.leaseUntil }

// isSuperseded reports whether a ballot higher than this one has been promised.
func (a *acceptor) isSuperseded(ballot uint64) bool { return ballot < a.highestPromised }

// promise promises ballot to candidate, and reports whether it did. Nothing is promised while the replica abstains, while an
// unreleased lease of another replica is in force, or if a higher ballot has been promised. released is the ballot up to which
// the candidate knows all leases to be released.
func (a *acceptor) promise(now Micros, candidate int, ballot, released uint64) bool {
	isBlocked := a.isLeasedToOther(now, candidate) && a.highestAccepted > released
	if a.isAbstaining(now) || isBlocked || !a.canPromise(candidate, ballot) {
		return false
	}
	a.highestPromised = ballot
	a.highestReleased = max(a.highestReleased, released)
	return true
}

// isLeasedToOther reports whether a lease of a replica other than candidate is in force. Unless released, such a lease prevents
// the promise of a ballot to candidate, so that a partitioned replica that reconnects can't disturb the leader.
func (a *acceptor) isLeasedToOther(now Micros, candidate int) bool {
	return !a.disabled.PromiseAfterLease && a.isLeaseInForce(now) && a.leaseHolder != candidate
}

// canPromise reports whether ballot is higher than the highest promised ballot. The highest promised ballot itself may be
// promised again, but only to its owner, and only until it is accepted.
func (a *acceptor) canPromise(candidate int, ballot uint64) bool {
	if ballot > a.highestPromised {
		return true
	}
	isResent := ballot == a.highestPromised && ballotOwner(ballot) == candidate
	return isResent && ballot > a.highestAccepted
}

// accept accepts the lease of a ballot, and reports whether it did. Nothing is accepted while the replica abstains, if a higher
// ballot has been promised, or if the lease has already been released.
func (a *acceptor) accept(now Micros, holder int, ballot uint64) bool {
	if a.isAbstaining(now) || a.isSuperseded(ballot) || ballot <= a.highestReleased {
		return false
	}
	a.highestPromised = ballot
	a.highestAccepted = ballot
	a.leaseHolder = holder
	a.leaseUntil = now + a.settings.Lease
	return true
}

// acknowledgesRecord reports whether a record from the leader with this ballot may be acknowledged. If so, acknowledgesRecord
// also promises the ballot, so that no older leader's record is acknowledged afterwards.
func (a *acceptor) acknowledgesRecord(now Micros, ballot uint64) bool {
	if !a.acknowledgesMembers(now, ballot) {
		return false
	}
	a.highestPromised = ballot
	return true
}

// acknowledgesMembers reports whether members stamped by a leader with this ballot may be acknowledged.
func (a *acceptor) acknowledgesMembers(now Micros, ballot uint64) bool {
	return !a.isAbstaining(now) && !a.isSuperseded(ballot)
}

// releaseLease ends the accepted lease, because holder has released the lease that it got with ballot. It reports whether it
// ended the lease. It does nothing if the accepted lease belongs to another replica or to a higher ballot, or while this replica
// abstains.
func (a *acceptor) releaseLease(now Micros, holder int, ballot uint64) bool {
	if a.leaseHolder != holder || a.highestAccepted > ballot || a.isAbstaining(now) {
		return false
	}
	a.endLease(now, ballot)
	return true
}

// transferLease releases the lease that this replica itself holds, and promises the successor's ballot.
func (a *acceptor) transferLease(now Micros, ballot, successorBallot uint64) {
	a.highestPromised = successorBallot
	a.endLease(now, ballot)
}

func (a *acceptor) endLease(now Micros, ballot uint64) {
	a.leaseUntil = now
	a.highestReleased = max(a.highestReleased, ballot)
}
