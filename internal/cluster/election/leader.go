package election

// leaderState is the leadership that a replica holds.
type leaderState struct {
	leaseUntil   Micros  // 0: it does not lead
	leaseMembers Members // among whom the lease was got
	term         uint64  // the ballot by which the leadership was got; renewals keep it
}

// startTerm begins a new leadership. Whatever its predecessors have cast counts from now on as if it had been cast right now.
func (r *Replica) startTerm() {
	r.leader.term = r.candidate.ballot
	r.membership.isStamped = false
	r.votes.startTerm(r.newestRecord, r.now+r.settings.effectWindow())
}

// expireLeadership ends a leadership whose lease is over.
func (r *Replica) expireLeadership() {
	if r.leader.leaseUntil > 0 && r.now >= r.leader.leaseUntil && !r.disabled.LeaseTimeout {
		r.leader.leaseUntil = 0
		r.votes.pending = Record{}
	}
}

// Leave hands the leadership over for good: this replica casts nothing any more and never campaigns again, but still answers
// others. The next member in turn gets this replica's promise with the message that releases the lease, and the others'
// promises as soon as they receive it.
func (r *Replica) Leave(now Micros) []Command {
	r.beginCall(now)
	wasLeading := r.leader.leaseUntil > now
	r.leader.leaseUntil = 0
	r.candidate.abandon() // an answer to the last ballot must not bring a lease any more
	r.isLeaving = true
	if successor := r.nextMember(r.id); wasLeading && successor != r.id {
		r.transferLeadership(successor)
	}
	return r.flushCommands()
}

func (r *Replica) transferLeadership(successor int) {
	a := &r.acceptor
	a.highestPromised = nextBallot(max(a.highestPromised, r.candidate.ballot, a.highestBallotSeen), successor)
	a.highestReleased = max(a.highestReleased, r.candidate.ballot)
	a.leaseUntil = r.now
	r.broadcast(r.withMembers(Message{Kind: TransferLease, Ballot: r.candidate.ballot, ReleasedBallot: a.highestPromised, Record: r.newestRecord}))
}
