package election

// acceptor is the replica in Paxos's role of that name: it decides which ballots are promised and which leases are accepted, from
// the ballots that it has seen and the lease that it has accepted. [leaderElection] asks it for each Prepare, Propose, Replicate,
// CommitMembers and TransferLease message, its own included; [Replica] persists what it holds before any answer leaves.
type acceptor struct {
	settings Settings
	disabled DisabledGuards

	highestPromised uint64
	highestAccepted uint64
	highestReleased uint64 // leases up to this ballot were given up by their holders
	leaseHolder     int    // whose lease was accepted; noReplica: nobody's
	leaseUntil      Micros // end of the accepted lease, by this replica's clock
	abstainUntil    Micros // before then nothing is promised or accepted
}

func newAcceptor(config Config) acceptor {
	return acceptor{
		settings:    config.Settings,
		disabled:    config.DisabledGuards,
		leaseHolder: noReplica,
	}
}

// restore takes over what the replica persisted before it was started again. How much of the accepted lease is left is not known
// any more: it counts as new.
func (a *acceptor) restore(state DurableState, now Micros) {
	a.highestPromised = state.Promised
	a.highestAccepted = state.Accepted
	a.highestReleased = state.Released
	a.leaseHolder = int(state.LeaseHolder)
	if a.highestAccepted > a.highestReleased {
		a.leaseUntil = now + a.settings.driftUpperBound(a.settings.Lease)
	}
}

// abstain makes the acceptor promise and accept nothing until a time.
func (a *acceptor) abstain(until Micros) { a.abstainUntil = until }

func (a *acceptor) isAbstaining(now Micros) bool { return now < a.abstainUntil }

// isLeaseInForce reports whether a lease that was accepted, by whomever, still runs.
func (a *acceptor) isLeaseInForce(now Micros) bool { return now < a.leaseUntil }

// isSuperseded reports whether a higher ballot than this one is promised.
func (a *acceptor) isSuperseded(ballot uint64) bool { return ballot < a.highestPromised }

// promise promises a candidate its ballot, unless another's lease is in force or a higher ballot is promised. released is the
// ballot up to which the candidate knows leases to be given up.
func (a *acceptor) promise(now Micros, candidate int, ballot, released uint64) bool {
	isBlocked := a.isLeasedToOther(now, candidate) && a.highestAccepted > released
	if a.isAbstaining(now) || isBlocked || !a.canPromise(candidate, ballot) {
		return false
	}
	a.highestPromised = ballot
	a.highestReleased = max(a.highestReleased, released)
	return true
}

// isLeasedToOther reports whether a lease of another replica than the candidate is in force here. While it is, nobody else
// is promised anything, so that a partitioned replica that comes back can't disturb the leader.
func (a *acceptor) isLeasedToOther(now Micros, candidate int) bool {
	return !a.disabled.PromiseAfterLease && a.isLeaseInForce(now) && a.leaseHolder != candidate
}

// canPromise reports whether a ballot is higher than the one that was promised, or is the same, sent again by its owner.
func (a *acceptor) canPromise(candidate int, ballot uint64) bool {
	if ballot > a.highestPromised {
		return true
	}
	isResent := ballot == a.highestPromised && ballotOwner(ballot) == candidate
	return isResent && ballot > a.highestAccepted
}

// accept accepts the lease of a ballot, unless a higher ballot is promised or the lease was released since.
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

// acknowledgesRecord reports whether a record of a leader with this ballot may be acknowledged. It promises the ballot, so that no
// older leader's record is acknowledged afterwards.
func (a *acceptor) acknowledgesRecord(now Micros, ballot uint64) bool {
	if !a.acknowledgesMembers(now, ballot) {
		return false
	}
	a.highestPromised = ballot
	return true
}

// acknowledgesMembers reports whether members that a leader with this ballot has stamped may be acknowledged.
func (a *acceptor) acknowledgesMembers(now Micros, ballot uint64) bool {
	return !a.isAbstaining(now) && !a.isSuperseded(ballot)
}

// releaseLease ends the accepted lease, whose holder gives it up; ballot is the one by which the holder got it. It reports whether
// that was the lease that is accepted here.
func (a *acceptor) releaseLease(now Micros, holder int, ballot uint64) bool {
	if a.leaseHolder != holder || a.highestAccepted > ballot || a.isAbstaining(now) {
		return false
	}
	a.endLease(now, ballot)
	return true
}

// transferLease gives up the lease that this replica itself holds, and promises the successor's ballot.
func (a *acceptor) transferLease(now Micros, ballot, successorBallot uint64) {
	a.highestPromised = successorBallot
	a.endLease(now, ballot)
}

func (a *acceptor) endLease(now Micros, ballot uint64) {
	a.leaseUntil = now
	a.highestReleased = max(a.highestReleased, ballot)
}
