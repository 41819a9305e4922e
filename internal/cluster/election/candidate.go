package election

// candidate is the replica as the one that asks for a lease, or for its renewal: its present ballot and who has answered it. It
// decides when the ballot is proposed, whether it has won, and whether it is worth sending again. [leaderElection] starts a ballot
// when a campaign is due and passes on each Promise, Accepted and Nack.
type candidate struct {
	settings Settings
	disabled DisabledGuards

	ballot      uint64
	members     Members // that were in force when the ballot was started
	startedAt   Micros  // the lease counts from here, however often the ballot is sent
	sentAt      Micros
	promises    replicaSet
	acceptances replicaSet
	isOpen      bool // answers count: the ballot was started and is not void
	hasProposed bool
	hasWon      bool

	highestSeen uint64 // of the ballots that Nack and TransferLease messages have named
}

func newCandidate(config Config) candidate {
	return candidate{settings: config.Settings, disabled: config.DisabledGuards}
}

// start begins a ballot in place of the one before.
func (c *candidate) start(ballot uint64, members Members, now Micros) {
	*c = candidate{
		settings:    c.settings,
		disabled:    c.disabled,
		ballot:      ballot,
		members:     members,
		startedAt:   now,
		isOpen:      true,
		highestSeen: c.highestSeen,
	}
}

// abandon makes the ballot void: answers to it have no effect any more.
func (c *candidate) abandon() { c.isOpen = false }

// observe remembers a ballot of which another replica has told.
func (c *candidate) observe(ballot uint64) { c.highestSeen = max(c.highestSeen, ballot) }

// canWin reports whether the ballot may still bring a useful lease among the members; promised is the highest ballot that this
// replica has promised.
func (c *candidate) canWin(now Micros, members Members, promised uint64) bool {
	isPending := c.isOpen && !c.hasWon
	isSuperseded := max(promised, c.highestSeen) > c.ballot
	isTimedOut := now >= c.startedAt+c.settings.ballotTimeout()
	return isPending && c.members == members && !isSuperseded && !isTimedOut
}

func (c *candidate) isResendDue(now Micros) bool {
	return now >= c.sentAt+c.settings.ballotResendInterval()
}

func (c *candidate) isRenewalDue(now Micros) bool {
	return now >= c.startedAt+c.settings.renewalInterval()
}

// messageToSend returns the Prepare or the Propose of the ballot, which is sent to all members now.
func (c *candidate) messageToSend(now Micros, released uint64) Message {
	c.sentAt = now
	if c.disabled.LeaseFromStart {
		c.startedAt = now
	}
	if c.hasProposed {
		return Message{Kind: Propose, Ballot: c.ballot}
	}
	return Message{Kind: Prepare, Ballot: c.ballot, ReleasedBallot: released}
}

// addPromise counts a promise, and reports whether the lease has to be proposed now, as a quorum has promised.
func (c *candidate) addPromise(from int, ballot uint64, members Members) bool {
	if ballot != c.ballot || !c.isOpen {
		return false
	}
	c.promises = c.promises.with(from)
	if c.hasProposed || !c.promises.isQuorumOf(members) {
		return false
	}
	c.hasProposed = true
	return true
}

// addAcceptance counts an acceptance, and reports whether the ballot has won a lease that still runs.
func (c *candidate) addAcceptance(now Micros, from int, ballot uint64, members Members) bool {
	if ballot != c.ballot || !c.isOpen {
		return false
	}
	c.acceptances = c.acceptances.with(from)
	if !c.acceptances.isQuorumOf(members) || now >= c.leaseEnd() {
		return false
	}
	c.hasWon = true
	return true
}

// leaseEnd is when the lease of the ballot is over. It is counted from before anybody was asked, and shortened by the clocks' drift:
// whoever accepts holds the lease for longer.
func (c *candidate) leaseEnd() Micros {
	return c.startedAt + c.settings.driftLowerBound(c.settings.Lease)
}
