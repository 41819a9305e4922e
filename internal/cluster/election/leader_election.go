package election

// leaderElection decides which replica leads, and among which members, with the messages of Paxos. It passes each message to the
// responsible part, and sends the resulting messages. The parts decide on the following:
//
//   - membership: which members are in force;
//   - acceptor: which ballots are promised and which leases are accepted;
//   - campaignTimer: when to campaign for the leadership;
//   - candidate: the state of this replica's own ballot;
//   - lease: whether this replica leads.
//
// A replica that campaigns also asks itself for a promise and an acceptance. It handles these messages and the answers to them at
// once, through the same handlers as messages of other replicas. [Replica] calls leaderElection and sets the time of each call.
type leaderElection struct {
	id       int
	settings Settings
	now      Micros // time of the call in progress
	out      *outbox
	votes    *voteCaster // supplies the newest record for messages

	membership membership
	acceptor   acceptor
	campaigns  campaignTimer
	candidate  candidate
	lease      lease
	isLeaving  bool // this replica has given up the leadership permanently
	// lastVoteWrittenBy is when the last leader that released its lease has written its last vote, or never will.
	lastVoteWrittenBy Micros
}

func newLeaderElection(config Config, votes *voteCaster, out *outbox) leaderElection {
	e := leaderElection{
		id:         config.ID,
		settings:   config.Settings,
		now:        config.Now,
		out:        out,
		votes:      votes,
		membership: membership{settings: config.Settings, current: config.Members},
		acceptor:   newAcceptor(config),
		campaigns:  newCampaignTimer(config),
		candidate:  newCandidate(config),
		lease:      lease{disabled: config.DisabledGuards},
	}
	if config.State != nil {
		e.acceptor.restore(*config.State, config.Now)
		e.membership.adopt(config.State.Members)
	}
	if config.IsFresh && !config.DisabledGuards.LeaseTimeout {
		e.acceptor.loseState(config.Now)
	}
	e.campaigns.reset(config.Now)
	return e
}

// setTime sets the time of the call that begins. A gap of more than half a lease between two calls ends the leadership of this
// replica, because the replica does not know yet what has happened during the gap.
func (e *leaderElection) setTime(now Micros) {
	if now-e.now > e.settings.maxCallGap() {
		e.lease.revoke()
	}
	e.now = max(e.now, now)
}

// withdraw ends this replica's participation permanently. The replica abandons its own ballot, and promises and accepts nothing
// from then on.
func (e *leaderElection) withdraw() {
	e.lease.release()
	e.candidate.abandon()
	e.acceptor.withdraw()
}

// shouldCampaign reports whether this replica has to renew its lease now or, without a lease, may campaign for one.
func (e *leaderElection) shouldCampaign() bool {
	isLeading := e.lease.isGranted()
	switch {
	case e.acceptor.isAbstaining(e.now), e.isLeaving:
		return false
	case isLeading:
		return e.candidate.isRenewalDue(e.now)
	case !e.membership.current.Contains(e.id), !e.campaigns.isDue(e.now):
		return false
	}
	return !e.acceptor.isLeasedToOther(e.now, e.id)
}

// campaign starts a ballot for a lease or its renewal. If the current ballot may still win, campaign instead sends that ballot
// again once the resend interval has passed. When a message takes a tenth of a lease, a ballot takes longer than the interval
// between two renewals. With a new ballot at each interval, replicas would supersede their own and each other's ballots before
// any could win.
func (e *leaderElection) campaign() {
	if !e.candidate.canWin(e.now, e.membership.current, e.acceptor.highestPromised) {
		highest := max(e.acceptor.highestPromised, e.acceptor.highestAccepted, e.candidate.ballot, e.candidate.highestSeen)
		e.startBallot(nextBallot(highest, e.id))
		return
	}
	e.campaigns.reset(e.now)
	if e.candidate.isResendDue(e.now) {
		e.sendBallot()
	}
}

func (e *leaderElection) startBallot(ballot uint64) {
	e.candidate.start(ballot, e.membership.current, e.now)
	e.campaigns.reset(e.now)
	e.sendBallot()
	e.handle(e.id, e.membership.attach(Message{Kind: Prepare, Ballot: ballot, ReleasedBallot: e.acceptor.highestReleased}))
}

// sendBallot sends the current ballot to all other members.
func (e *leaderElection) sendBallot() {
	m := e.candidate.messageToSend(e.now, e.acceptor.highestReleased)
	e.out.broadcast(e.membership.current, e.membership.attach(m))
}

// leave gives up the leadership permanently. If the lease has not ended at now, leave transfers the leadership to the next
// member.
func (e *leaderElection) leave(now Micros) {
	wasLeading := e.lease.remaining(now) > 0
	e.lease.release()
	e.candidate.abandon() // a late answer to the last ballot must not begin a new lease
	e.isLeaving = true
	if successor := e.membership.current.next(e.id); wasLeading && successor != e.id {
		e.transferLeadership(successor)
	}
}

func (e *leaderElection) transferLeadership(successor int) {
	ballot := e.candidate.ballot
	highest := max(e.acceptor.highestPromised, ballot, e.candidate.highestSeen)
	successorBallot := nextBallot(highest, successor)
	e.acceptor.transferLease(e.now, ballot, successorBallot)
	transfer := newTransferLease(ballot, successorBallot, e.votes.log.newest)
	e.out.broadcast(e.membership.current, e.membership.attach(transfer))
}

// changeMembers puts the members of mask in force, or returns why it can't. It also sends the new members to the replicas that are
// removed.
func (e *leaderElection) changeMembers(mask uint64) error {
	if err := e.membership.checkChange(mask, e.lease.members); err != nil {
		return err
	}
	previous := e.membership.current
	e.stampMembers(mask)
	e.out.broadcast(previous.without(e.membership.current), e.commitMembersMessage())
	return nil
}

// commitMembers stamps the members once in each term, and sends them again until a quorum has acknowledged them.
func (e *leaderElection) commitMembers() {
	if !e.membership.isSendDue(e.now) {
		return
	}
	switch {
	case !e.membership.isStamped:
		e.stampMembers(e.membership.current.Mask)
	case !e.membership.isCommitted():
		e.sendMembers()
	}
}

// stampMembers stamps the members of mask with the current term, sends them, and renews the lease among them.
func (e *leaderElection) stampMembers(mask uint64) {
	e.membership.stamp(e.lease.term, mask, e.id)
	e.sendMembers()
	e.campaign()
}

func (e *leaderElection) sendMembers() {
	e.membership.sentAt = e.now
	e.out.broadcast(e.membership.current, e.commitMembersMessage())
}

// commitMembersMessage returns the message that sends the members. It carries the newest record, too, because a record known to a
// quorum of the previous members need not be known to a quorum of the members after the next change.
func (e *leaderElection) commitMembersMessage() Message {
	return e.membership.attach(Message{Kind: CommitMembers, Ballot: e.candidate.ballot, Record: e.votes.log.newest})
}
