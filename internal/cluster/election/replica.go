package election

import "math/rand"

// noReplica stands for a replica's number where there is none.
const noReplica = -1

// forever is later than any time.
const forever Micros = 1 << 62

// Replica is one member's part of the protocol. It is not safe for concurrent use.
type Replica struct {
	id       int
	settings Settings
	disabled DisabledGuards
	random   *rand.Rand
	now      Micros
	commands []Command // of the call in progress
	members  Members   // the newest that this replica has received

	newestRecord  Record // of the vote log, by any leader
	lastPersisted DurableState

	acceptor   acceptorState
	candidate  candidateState
	leader     leaderState
	votes      voteState
	membership membershipState

	rollout         rolloutState
	recommendations []recommendation // by replica
	selfStopped     Decision         // for which this replica has stopped its own requests; the zero value: for none
	isLeaving       bool
}

// rolloutState is the position of the newest build.
type rolloutState struct {
	build, stage int32
	isActive     bool // the build is under evaluation
}

// New makes a replica.
func New(config Config) *Replica {
	settings := config.Settings
	r := &Replica{
		id:              config.ID,
		members:         config.Members,
		settings:        settings,
		disabled:        config.DisabledGuards,
		random:          rand.New(rand.NewSource(config.Seed)),
		now:             config.Now,
		recommendations: make([]recommendation, MaxReplicas),
		acceptor:        acceptorState{leaseHolder: noReplica, deferredAt: make([]Micros, MaxReplicas)},
	}
	if config.State != nil {
		r.restore(*config.State)
	}
	r.lastPersisted = r.durableState()
	if config.IsFresh && !r.disabled.LeaseTimeout {
		// A leader that this replica has accepted may cast for one more lease, and its votes count for the window after; what
		// this replica knew of it is lost.
		r.acceptor.abstainUntil = r.now + settings.driftUpperBound(settings.Lease+settings.MaxVoteDelay+settings.VoteLifetime)
	}
	r.candidate.nextCampaignAt = r.now + r.campaignJitter()
	return r
}

func (r *Replica) restore(state DurableState) {
	a := &r.acceptor
	a.highestPromised = state.Promised
	a.highestAccepted = state.Accepted
	a.highestReleased = state.Released
	a.leaseHolder = int(state.LeaseHolder)
	r.newestRecord = state.Newest
	if state.Members.isNewerThan(r.members) {
		r.members = state.Members
	}
	if a.highestAccepted > a.highestReleased {
		// How much of the lease is left is not known any more: it counts as new.
		a.leaseUntil = r.now + r.settings.driftUpperBound(r.settings.Lease)
	}
}

func (r *Replica) durableState() DurableState {
	return DurableState{
		Promised:    r.acceptor.highestPromised,
		Accepted:    r.acceptor.highestAccepted,
		Released:    r.acceptor.highestReleased,
		LeaseHolder: int32(r.acceptor.leaseHolder),
		Newest:      r.newestRecord,
		Members:     r.members,
	}
}

// IsLeader reports whether this replica may cast votes now.
func (r *Replica) IsLeader(now Micros) bool {
	return now < r.leader.leaseUntil || r.disabled.LeaseTimeout && r.leader.leaseUntil > 0
}

// Term returns the ballot by which this replica got its leadership, 0 without one.
func (r *Replica) Term() uint64 {
	if r.leader.leaseUntil == 0 {
		return 0
	}
	return r.leader.term
}

// Status is the state that operators ask for.
type Status struct {
	IsLeader             bool
	LeaseRemaining       Micros
	Term                 uint64
	Newest               Record
	HasUnresolvedVote    bool
	LeaseHolder          int // whose lease this replica has accepted; -1: nobody's
	Members              Members
	AbstainsFor          Micros // how much longer
	EarlierVotesExpireIn Micros // how much longer votes of an earlier leader may count
}

// Status returns the state at a time.
func (r *Replica) Status(now Micros) Status {
	s := Status{
		IsLeader:          r.IsLeader(now),
		LeaseRemaining:    max(0, r.leader.leaseUntil-now),
		Term:              r.Term(),
		Newest:            r.newestRecord,
		HasUnresolvedVote: r.votes.hasUnresolved(),
		LeaseHolder:       noReplica,
		Members:           r.members,
		AbstainsFor:       max(0, r.acceptor.abstainUntil-now),
	}
	if now < r.acceptor.leaseUntil || s.IsLeader {
		s.LeaseHolder = r.acceptor.leaseHolder
	}
	if s.IsLeader && r.votes.predecessor.Term != 0 {
		s.EarlierVotesExpireIn = max(0, r.votes.predecessorUntil-now)
	}
	return s
}

// StopParticipating withdraws the replica after its stable storage has failed: it promises and accepts nothing any more. Its own ballot is
// void, too: an acceptance that is on its way would make it leader, and it would cast votes of which it keeps no record.
func (r *Replica) StopParticipating(now Micros) {
	r.beginCall(now)
	r.leader.leaseUntil = 0
	r.candidate.abandon()
	r.votes.pending = Record{}
	r.acceptor.abstainUntil = forever
}

// UpdateRollout tells the position of the newest build. Votes name their stage, so a decision on another one is dropped.
func (r *Replica) UpdateRollout(now Micros, build, stage int32, isActive bool) []Command {
	r.beginCall(now)
	r.rollout = rolloutState{build: build, stage: stage, isActive: isActive}
	if r.votes.pending.Build != build || r.votes.pending.Stage != stage {
		r.votes.pending = Record{}
	}
	return r.advance()
}

// ResolveVote tells that the rollout controller has answered the vote of a record: it took effect, or never will.
func (r *Replica) ResolveVote(now Micros, record Record) []Command {
	r.beginCall(now)
	if record == r.votes.lastCast {
		r.votes.lastCastResolved = true
	}
	return r.advance()
}

// Tick has to be called at the time that NextTick returned, or later.
func (r *Replica) Tick(now Micros) []Command {
	r.beginCall(now)
	return r.advance()
}

// NextTick returns when to call Tick, unless another call comes first.
func (r *Replica) NextTick() Micros { return r.now + max(1, r.settings.retryInterval()) }

// Receive takes a message from another replica.
func (r *Replica) Receive(now Micros, from int, m Message) []Command {
	r.beginCall(now)
	if from >= 0 && from < MaxReplicas && from != r.id {
		r.handle(from, m)
	}
	return r.advance()
}

// handle processes a message from another replica, or from this one itself.
func (r *Replica) handle(from int, m Message) {
	if m.Kind == Prepare && !r.members.Contains(from) && !m.Members.isNewerThan(r.members) {
		r.rejectNonMember(from)
		return
	}
	r.learnRecord(m.Record)
	r.adoptMembers(m.Members)
	switch m.Kind {
	case Prepare:
		r.handlePrepare(from, m)
	case Promise:
		r.handlePromise(from, m)
	case Propose:
		r.handlePropose(from, m)
	case Accepted:
		r.handleAccepted(from, m)
	case Replicate:
		r.handleReplicate(from, m)
	case Replicated:
		r.handleReplicated(from, m)
	case Recommend:
		r.handleRecommend(from, m)
	case TransferLease:
		r.handleTransferLease(from, m)
	case Nack:
		r.handleNack(m)
	case CommitMembers:
		r.handleCommitMembers(from, m)
	case MembersCommitted:
		r.handleMembersCommitted(from, m)
	}
}

// beginCall starts a call at a time. A gap of half a lease between two calls counts as a lost leadership: what happened during
// it is not known yet.
func (r *Replica) beginCall(now Micros) {
	if now-r.now > r.settings.Lease/2 && !r.disabled.LeaseTimeout {
		r.leader.leaseUntil = 0
	}
	r.now = max(r.now, now)
	r.commands = r.commands[:0]
}

// advance does whatever is due at the present time, and ends the call.
func (r *Replica) advance() []Command {
	r.expireLeadership()
	if r.shouldCampaign() {
		r.campaign()
	}
	if r.IsLeader(r.now) {
		r.advanceMembers()
		r.advanceVote()
	}
	r.updateSelfStop()
	return r.flushCommands()
}

// flushCommands ends the call. Changed durable state is persisted before any command that depends on it.
func (r *Replica) flushCommands() []Command {
	if state := r.durableState(); state != r.lastPersisted {
		r.lastPersisted = state
		r.commands = append([]Command{Persist{state}}, r.commands...)
	}
	return r.commands
}

func (r *Replica) send(to int, m Message) {
	r.commands = append(r.commands, SendMessage{To: to, Message: m})
}

// broadcast sends a message to all other members.
func (r *Replica) broadcast(m Message) {
	for i := range MaxReplicas {
		if i != r.id && r.members.Contains(i) {
			r.send(i, m)
		}
	}
}

// reply sends an answer, or handles it at once where this replica has asked itself.
func (r *Replica) reply(to int, m Message) {
	if to == r.id {
		r.handle(r.id, m)
		return
	}
	r.send(to, m)
}

// withMembers adds the members that this replica knows to a message.
func (r *Replica) withMembers(m Message) Message {
	m.Members = r.members
	return m
}
