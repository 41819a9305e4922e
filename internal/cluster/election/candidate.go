package election

// candidateState is the ballot by which a replica asks for a lease, or for its renewal.
type candidateState struct {
	ballot      uint64
	members     Members // that were in force when the ballot was started
	startedAt   Micros  // the lease counts from here, however often the ballot is sent
	sentAt      Micros
	promises    replicaSet // nil: the ballot is void
	acceptances replicaSet
	hasProposed bool
	hasWon      bool

	nextCampaignAt Micros
}

// isPending reports whether the ballot was started and has neither won nor become void.
func (c *candidateState) isPending() bool { return c.promises != nil && !c.hasWon }

// abandon makes the ballot void: answers to it have no effect any more.
func (c *candidateState) abandon() { c.promises, c.acceptances = nil, nil }

// campaignJitter returns a random delay of up to a third of a lease, which keeps replicas from campaigning at the same time.
func (r *Replica) campaignJitter() Micros {
	return r.settings.Lease/minJitterParts + r.random.Int63n(max(1, r.settings.Lease/maxJitterParts))
}

// shouldCampaign reports whether a lease has to be renewed now, or may be asked for.
func (r *Replica) shouldCampaign() bool {
	isLeading := r.leader.leaseUntil > 0
	switch {
	case r.isAbstaining(), r.isLeaving, !r.members.Contains(r.id) && !isLeading:
		return false
	case isLeading:
		return r.now >= r.candidate.startedAt+r.settings.renewalInterval()
	case r.now < r.candidate.nextCampaignAt:
		return false
	}
	return r.now >= r.acceptor.leaseUntil || r.acceptor.leaseHolder == r.id || r.disabled.Prevote
}

// campaign starts a ballot, also to renew a lease. A ballot that may still come through is sent again instead: where a message
// takes a tenth of a lease, a ballot lasts longer than the pause between two renewals, and replicas would overtake their own
// ballots, and each other's, before any came through.
func (r *Replica) campaign() {
	if !r.canBallotWin() {
		highest := max(r.acceptor.highestPromised, r.acceptor.highestAccepted, r.candidate.ballot, r.acceptor.highestBallotSeen)
		r.startBallot(nextBallot(highest, r.id))
		return
	}
	r.candidate.nextCampaignAt = r.now + r.campaignJitter()
	if r.now >= r.candidate.sentAt+r.settings.ballotResendInterval() {
		r.sendBallot()
	}
}

// canBallotWin reports whether the present ballot may still bring a useful lease.
func (r *Replica) canBallotWin() bool {
	isOvertaken := max(r.acceptor.highestPromised, r.acceptor.highestBallotSeen) > r.candidate.ballot
	isTimedOut := r.now >= r.candidate.startedAt+r.settings.ballotTimeout()
	return r.candidate.isPending() && r.candidate.members == r.members && !isOvertaken && !isTimedOut
}

func (r *Replica) startBallot(ballot uint64) {
	r.candidate = candidateState{
		ballot: ballot, members: r.members, startedAt: r.now, promises: replicaSet{}, acceptances: replicaSet{},
		nextCampaignAt: r.now + r.campaignJitter(),
	}
	r.sendBallot()
	r.handle(r.id, r.withMembers(Message{Kind: Prepare, Ballot: ballot, ReleasedBallot: r.acceptor.highestReleased}))
}

// sendBallot sends the Prepare or the Propose of the present ballot to all other members.
func (r *Replica) sendBallot() {
	m := Message{Kind: Prepare, Ballot: r.candidate.ballot, ReleasedBallot: r.acceptor.highestReleased}
	if r.candidate.hasProposed {
		m = Message{Kind: Propose, Ballot: r.candidate.ballot}
	}
	r.candidate.sentAt = r.now
	if r.disabled.LeaseFromStart {
		r.candidate.startedAt = r.now
	}
	r.broadcast(r.withMembers(m))
}

// handlePromise counts a promise, and proposes the lease once a quorum has promised.
func (r *Replica) handlePromise(from int, m Message) {
	if m.Ballot != r.candidate.ballot || r.candidate.promises == nil {
		return
	}
	r.candidate.promises.add(from)
	if r.candidate.hasProposed || !r.hasQuorum(r.candidate.promises) {
		return
	}
	r.candidate.hasProposed = true
	r.sendBallot()
	r.handle(r.id, r.withMembers(Message{Kind: Propose, Ballot: r.candidate.ballot}))
}

// handleAccepted counts an acceptance, and takes the lease once a quorum has accepted.
func (r *Replica) handleAccepted(from int, m Message) {
	if m.Ballot != r.candidate.ballot || r.candidate.acceptances == nil {
		return
	}
	r.candidate.acceptances.add(from)
	leaseUntil := r.candidate.startedAt + r.settings.driftLowerBound(r.settings.Lease)
	if !r.hasQuorum(r.candidate.acceptances) || r.now >= leaseUntil {
		return
	}
	if !r.IsLeader(r.now) {
		// Also after a leadership of its own that has lapsed: another replica may have led in between.
		r.startTerm()
	}
	r.candidate.hasWon = true
	r.leader.leaseUntil = leaseUntil
	r.leader.leaseMembers = r.candidate.members
}

// handleNack remembers the higher ballot; newer members were taken over by handle.
func (r *Replica) handleNack(m Message) {
	r.acceptor.highestBallotSeen = max(r.acceptor.highestBallotSeen, m.Ballot)
}
