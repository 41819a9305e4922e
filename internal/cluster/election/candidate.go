package election

// candidate is the replica in the role that asks for a lease or its renewal. It holds the replica's own ballot and the answers to
// that ballot, and decides when to propose the lease, whether the ballot has won, and whether to send the ballot again.
// [leaderElection] starts a ballot when a campaign is due, and passes on each Promise, Accepted and Nack message.
type candidate struct {
	settings Settings
	disabled DisabledGuards

	ballot      uint64
	members     Members // members in force when the ballot was started
	startedAt   Micros  // the lease counts from this time, even if the ballot is sent again
	sentAt      Micros
	promises    replicaSet
	acceptances replicaSet
	isOpen      bool // the ballot was started and not abandoned, so answers to it count
	hasProposed bool
	hasWon      bool

	// highestSeen is the highest ballot named in a received Nack or TransferLease message, or the first round of a replica without state.
	highestSeen uint64
}

func newCandidate(config Config) candidate {
	c := candidate{settings: config.Settings, disabled: config.DisabledGuards}
	if config.IsFresh {
		c.highestSeen = config.FirstRound << ballotOwnerBits
	}
	return c
}

// start begins a new ballot, which replaces the previous one.
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

// abandon gives up the ballot. Later answers to it have no effect.
func (c *candidate) abandon() { c.isOpen = false }

// observe records a ballot that another replica has named.
func (c *candidate) observe(ballot uint64) { c.highestSeen = max(c.highestSeen, ballot) }

// canWin reports whether the ballot may still win a lease among the members and has not timed out. promised is the highest ballot
// that this replica has promised.
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

// messageToSend returns the Prepare or Propose message of the ballot, and records now as the time at which the message is sent.
// released is the ballot up to which this replica knows all leases to be released; a Prepare carries it.
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

// addPromise counts a promise. It reports whether this promise completes a quorum, so that the lease has to be proposed now.
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

// addAcceptance counts an acceptance, and reports whether the ballot has won a lease that has not ended yet.
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

// leaseEnd returns when the lease of the ballot ends. The lease counts from the start of the ballot, before the first Prepare was
// sent, and is shortened by the clock drift. Every replica that accepts the lease therefore holds it beyond the returned time.
func (c *candidate) leaseEnd() Micros {
	return c.startedAt + c.settings.driftLowerBound(c.settings.Lease)
}
