package election

// leaderElection decides who leads and among whom, by the messages of Paxos. It passes each message to the part that decides on it, and
// sends what follows:
//
//   - membership: which members are in force;
//   - acceptor: what is promised and accepted;
//   - campaignTimer: when to ask for the leadership;
//   - candidate: how this replica's own ballot stands;
//   - lease: whether this replica leads.
//
// A replica asks itself, too, when it campaigns; it handles such a message at once, in the place where others' answers come later.
// [Replica] calls it, and keeps the time.
type leaderElection struct {
	id       int
	settings Settings
	now      Micros // of the call in progress
	out      *outbox
	votes    *voteCaster // whose newest record goes along with messages

	membership membership
	acceptor   acceptor
	campaigns  campaignTimer
	candidate  candidate
	lease      lease
	isLeaving  bool // this replica has handed its leadership over for good
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
		e.acceptor.abstain(config.Now + config.Settings.stateLossWindow())
	}
	e.campaigns.reset(config.Now)
	return e
}

// setTime tells the time of the call that begins. A gap of half a lease between two calls counts as a lost leadership: what happened
// during it is not known yet.
func (e *leaderElection) setTime(now Micros) {
	if now-e.now > e.settings.maxCallGap() {
		e.lease.revoke()
	}
	e.now = max(e.now, now)
}

// withdraw ends this replica's part for good: it promises and accepts nothing any more, and its own ballot is void.
func (e *leaderElection) withdraw() {
	e.lease.release()
	e.candidate.abandon()
	e.acceptor.abstain(forever)
}

// shouldCampaign reports whether a lease has to be renewed now, or may be asked for.
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

// campaign starts a ballot, also to renew a lease. A ballot that may still come through is sent again instead: where a message
// takes a tenth of a lease, a ballot lasts longer than the pause between two renewals, and replicas would overtake their own
// ballots, and each other's, before any came through.
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

// sendBallot sends the present ballot to all other members.
func (e *leaderElection) sendBallot() {
	m := e.candidate.messageToSend(e.now, e.acceptor.highestReleased)
	e.out.broadcast(e.membership.current, e.membership.attach(m))
}

// leave gives the leadership up for good, to the next member in turn, at the true time of the call.
func (e *leaderElection) leave(now Micros) {
	wasLeading := e.lease.remaining(now) > 0
	e.lease.release()
	e.candidate.abandon() // an answer to the last ballot must not bring a lease any more
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

// changeMembers puts the members of a mask in force, or returns why they can't be. Those that are out are told.
func (e *leaderElection) changeMembers(mask uint64) error {
	if err := e.membership.checkChange(mask, e.lease.members); err != nil {
		return err
	}
	previous := e.membership.current
	e.stampMembers(mask)
	e.out.broadcast(previous.without(e.membership.current), e.commitMembersMessage())
	return nil
}

// commitMembers stamps the members in a new term, and sends the stamp again until a quorum knows it.
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

// stampMembers stamps members with the present term, and renews the lease among them.
func (e *leaderElection) stampMembers(mask uint64) {
	e.membership.stamp(e.lease.term, mask, e.id)
	e.sendMembers()
	e.campaign()
}

func (e *leaderElection) sendMembers() {
	e.membership.sentAt = e.now
	e.out.broadcast(e.membership.current, e.commitMembersMessage())
}

// commitMembersMessage carries the newest record, too: one that a quorum of the members before knows need not be known to a
// quorum of those after the next change.
func (e *leaderElection) commitMembersMessage() Message {
	return e.membership.attach(Message{Kind: CommitMembers, Ballot: e.candidate.ballot, Record: e.votes.log.newest})
}
