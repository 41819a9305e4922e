// Package election decides which one agent of several casts the votes on a release, and what it may cast when. It owns the
// lease, the records of decisions and what the agents wish; it must never judge a build, talk to anybody or read a clock.
//
// Use: make one Decider an agent with New, tell it what happens with this machine's monotonic time in whole microseconds, and
// carry out the orders that each call returns, in order. The argument why two contrary decisions never count together stands
// in docs/design-decider.md.
package election

import "math/rand"

// Micros is a time or a span in whole microseconds.
type Micros = int64

// Verdict of a vote.
type Verdict uint8

const (
	NoVote Verdict = iota
	Advance
	Hold
	RollBack
)

func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// Settings are what the agents agree on.
type Settings struct {
	Lease Micros // how long a lead lasts unless renewed
	// Drift bounds how much faster or slower any clock runs, as a part.
	ClockDrift     float64
	MaxVoteDelay   Micros // a vote that was written is carried out within this time, or never
	VoteLifetime   Micros // of a vote
	RollBackQuorum int    // how many agents must wish to go back
}

// Decision is one vote to be cast.
type Decision struct {
	Build, Stage int32
	Verdict      Verdict
}

// Record is a decision that a majority has been told before it is cast.
type Record struct {
	Term  uint64 // the ballot of its owner's lease
	Index uint32
	Decision
	// Prior is another verdict that the same lead has cast on this build and stage, and that may still count: should nothing
	// since have been carried out.
	Prior Verdict
}

func (r Record) isNewerThan(than Record) bool {
	return r.Term > than.Term || r.Term == than.Term && r.Index > than.Index
}

// DurableState is what must not be forgotten: with it, an agent that restarts may take part at once.
type DurableState struct {
	Promised, Accepted, Released uint64
	LeaseHolder                  int32
	Newest                       Record
	Members                      Members
}

// Kind of a message.
type Kind uint8

const (
	Prepare          Kind = iota + 1 // may I lead?
	Promise                          // yes, and this is the newest record that I know
	Propose                          // I lead
	Accepted                         // you do, as far as I am concerned
	Replicate                        // know this record
	Replicated                       // known
	Recommend                        // what the judge of the sender asks for
	HandOver                         // I leave: take the lead
	Nack                             // I have promised a higher ballot, this one, or know newer members
	CommitMembers                    // know these members
	MembersCommitted                 // known
	kindEnd
)

// IsValid tells a kind that is one.
func (k Kind) IsValid() bool { return k >= Prepare && k < kindEnd }

// Message between agents; every field is small, so that one fits into a datagram many times over.
type Message struct {
	Kind           Kind
	Ballot         uint64
	ReleasedUpTo   uint64 // of a Prepare: leases up to this ballot were given up by their owner
	Record         Record // of a Promise, Write or Written
	Recommendation Decision
	// Members that the sender knows; of all kinds but Wish, Write and Written.
	Members Members
}

// Command is one of the orders below; they are to be carried out in order.
type Command any

type (
	// SendMessage gives a message to another agent; it may be lost, late, doubled, or out of order.
	SendMessage struct {
		To int
		Message
	}
	// CastVote writes a vote, unless it is later than Before by then: a process may stand still in between.
	CastVote struct {
		Record
		WriteBefore Micros
	}
	// Persist is to be on a disk, where there is one, before any later order of the same call is carried out.
	Persist struct{ DurableState }
	// SelfStop: this agent's judge wishes to go back and nobody leads as far as it knows. It stops its own sending to the build,
	// which is the safe direction, until it wishes otherwise or the build has moved.
	SelfStop struct {
		Decision
		Stop bool
	}
)

// DisabledGuards switches a guard off, so that the checker can be seen to find what it guards against.
type DisabledGuards struct{ LeaseExpiry, QuorumBeforeCast, WaitForEarlierVotes, Prevote, LeaseFromStart bool }

// Replica is one agent's part; see the package.
type Replica struct {
	now      Micros
	id       int
	members  Members
	settings Settings
	disabled DisabledGuards
	random   *rand.Rand
	commands []Command

	// As one of those who are asked.
	highestPromised, highestAccepted uint64
	leaseHolder                      int
	leaseAcceptedUntil               Micros       // of the lease that was accepted, by this clock
	highestBallotSeen                uint64       // the highest ballot that another has told of
	highestReleased                  uint64       // a ballot up to which leases were given up
	abstainUntil                     Micros       // after a restart without a memory
	newestRecord                     Record       // the newest
	lastPersisted                    DurableState // the last that was to be kept

	// As one who leads, or asks to.
	ballot          uint64
	term            uint64 // the ballot by which the lead was got; renewals keep it
	ballotStartedAt Micros // when the ballot was begun
	hasProposed     bool
	promises        map[int]bool
	acceptances     map[int]bool
	leaderUntil     Micros // until then; 0: does not
	ballotWon       bool   // the ballot has brought a lease
	ballotSentAt    Micros // when its question was last put
	nextCampaignAt  Micros
	deferredAt      []Micros // when this agent last gave way to another that asked; 0: never
	isLeaving       bool

	pendingRecord         Record // told, not written by a majority yet
	replicatedTo          map[int]bool
	replicateSentAt       Micros
	lastIndex             uint32
	lastCast              Record
	lastCastAt            Micros
	lastCastResolved      bool
	priorVerdict          Verdict // what this lead cast on the stage before, other than the last, and until when that may count
	priorVerdictUntil     Micros
	predecessorRecord     Record // the newest of the leads before, as a majority knows it
	predecessorVotesUntil Micros // from then on nothing of an earlier lead can count

	build, stage    int32
	rolloutActive   bool // a release is on trial
	recommendations []recommendation
	selfStopped     Decision // that this agent has stopped for by itself

	membersStamped     bool    // this lead has stamped the members
	leaseMembers       Members // among whom the lease in force was got
	ballotMembers      Members // and the ballot in hand was begun
	membersCommittedBy map[int]bool
	membersSentAt      Micros // when the members were last told
}

type recommendation struct {
	Decision
	receivedAt Micros
}

// New starts an agent's part at a time. memory is what it last kept; without one it is fresh, unless none of the agents has
// ever run: then it abstains until nothing can count any more that it may have been told of.
func New(id int, members Members, durableState *DurableState, settings Settings, disabled DisabledGuards, isFresh bool, now Micros, seed int64) *Replica {
	d := &Replica{
		id: id, members: members, settings: settings, disabled: disabled, random: rand.New(rand.NewSource(seed)), now: now,
		recommendations: make([]recommendation, MaxReplicas), deferredAt: make([]Micros, MaxReplicas), leaseHolder: -1,
	}
	if durableState != nil {
		d.highestPromised, d.highestAccepted, d.highestReleased, d.newestRecord, d.leaseHolder = durableState.Promised, durableState.Accepted, durableState.Released, durableState.Newest, int(durableState.LeaseHolder)
		if durableState.Members.isNewerThan(members) {
			d.members = durableState.Members
		}
		if d.highestAccepted > d.highestReleased {
			d.leaseAcceptedUntil = now + d.driftUpperBound(settings.Lease) // how long it still runs is not known any more
		}
	}
	d.lastPersisted = d.durableState()
	if isFresh && !disabled.LeaseExpiry {
		// Whoever led by its word may cast for a lease more, and that counts for so long; what it knew of it is gone.
		d.abstainUntil = now + d.driftUpperBound(settings.Lease+settings.MaxVoteDelay+settings.VoteLifetime)
	}
	d.nextCampaignAt = now + d.campaignJitter()
	return d
}

func (d *Replica) durableState() DurableState {
	return DurableState{d.highestPromised, d.highestAccepted, d.highestReleased, int32(d.leaseHolder), d.newestRecord, d.members}
}

// driftUpperBound and shorter are a span by this clock that surely is, or surely is not, over by any other.
func (d *Replica) driftUpperBound(span Micros) Micros {
	return Micros(float64(span) * (1 + 2*d.settings.ClockDrift))
}

func (d *Replica) driftLowerBound(span Micros) Micros {
	return Micros(float64(span) * (1 - 2*d.settings.ClockDrift))
}

// campaignJitter keeps agents from asking all at once: up to a third of a lease.
func (d *Replica) campaignJitter() Micros {
	return d.settings.Lease/30 + Micros(d.random.Int63n(max(1, d.settings.Lease/3)))
}

const (
	// renewalsPerLease of a lease is over when it is renewed: time for two more tries.
	renewalsPerLease = 3
	// ballotResendsPerLease so many times in a lease the question of a ballot in hand is put again: as often as before between two renewals.
	ballotResendsPerLease = 6
	// ballotTimeoutsPerLease: a ballot is given half a lease; later it would bring a lease that is mostly over.
	ballotTimeoutsPerLease = 2
	// deferralIntervalLeases: who has promised another leaves it as long as a ballot is given, but one that never comes through only once in so
	// many leases.
	deferralIntervalLeases = 2
	// retriesPerLease: a message without an answer is sent again after this part of a lease.
	retriesPerLease = 15
	// recommendationLeases so many leases a wish counts; it is told again twice a lease.
	recommendationLeases = 2
	// recastLifetimeFraction: a vote is cast again when this part of its life is over.
	recastLifetimeFraction = 0.66
)

// IsLeader tells whether this agent may cast now.
func (d *Replica) IsLeader(now Micros) bool {
	return now < d.leaderUntil || d.disabled.LeaseExpiry && d.leaderUntil > 0
}

// Term is the ballot of the lead in hand, 0 without one.
func (d *Replica) Term() uint64 {
	if d.leaderUntil == 0 {
		return 0
	}
	return d.term
}

// Status is what an operator asks for.
type Status struct {
	IsLeader             bool
	LeaseRemaining       Micros
	Term                 uint64
	Newest               Record
	HasUnresolvedVote    bool
	LeaseHolder          int // whose lease is in force here; -1: nobody's
	Members              Members
	AbstainsFor          Micros // for so long
	EarlierVotesExpireIn Micros // what an earlier lead has cast may count for so long
}

func (d *Replica) Status(now Micros) Status {
	s := Status{
		d.IsLeader(now), max(0, d.leaderUntil-now), d.Term(), d.newestRecord, d.pendingRecord.Term != 0 || d.lastCast.Term != 0 && !d.lastCastResolved,
		-1, d.members, max(0, d.abstainUntil-now), 0,
	}
	if now < d.leaseAcceptedUntil || s.IsLeader {
		s.LeaseHolder = d.leaseHolder
	}
	if s.IsLeader && d.predecessorRecord.Term != 0 {
		s.EarlierVotesExpireIn = max(0, d.predecessorVotesUntil-now)
	}
	return s
}

// StopParticipating is for a host whose disk has failed: nothing is answered for any more.
func (d *Replica) StopParticipating(now Micros) {
	d.beginEvent(now)
	d.leaderUntil, d.pendingRecord, d.abstainUntil = 0, Record{}, 1<<62
}

// UpdateRollout tells where the newest build stands; votes name their stage, so what was decided on another is moot.
func (d *Replica) UpdateRollout(now Micros, build, stage int32, rolloutActive bool) []Command {
	d.beginEvent(now)
	if build != d.build || stage != d.stage || rolloutActive != d.rolloutActive {
		d.build, d.stage, d.rolloutActive = build, stage, rolloutActive
		if d.pendingRecord.Build != build || d.pendingRecord.Stage != stage {
			d.pendingRecord = Record{}
		}
	}
	return d.advance()
}

// Recommend tells what the judge of this agent asks for.
func (d *Replica) Recommend(now Micros, recommended Decision) []Command {
	d.beginEvent(now)
	d.recommendations[d.id] = recommendation{recommended, now}
	d.broadcast(Message{Kind: Recommend, Recommendation: recommended})
	return d.advance()
}

// ResolveVote tells that the launcher has answered the last cast: it is carried out, or never will be.
func (d *Replica) ResolveVote(now Micros, record Record) []Command {
	d.beginEvent(now)
	if record == d.lastCast {
		d.lastCastResolved = true
	}
	return d.advance()
}

// Leave passes the lead on: nothing is cast any more, and the next in turn has this one's promise with the word that it
// leaves, and the others' as soon as they hear it. It still answers others; it never asks again.
func (d *Replica) Leave(now Micros) []Command {
	d.beginEvent(now)
	led := d.leaderUntil > now
	d.leaderUntil, d.promises, d.acceptances, d.isLeaving = 0, nil, nil, true // what still comes of its last ballot is not for it
	if next := d.nextMember(d.id); led && next != d.id {
		d.highestPromised = (max(d.highestPromised, d.ballot, d.highestBallotSeen)>>8+1)<<8 | uint64(next)
		d.highestReleased, d.leaseAcceptedUntil = max(d.highestReleased, d.ballot), d.now
		d.broadcast(d.withMembers(Message{Kind: HandOver, Ballot: d.ballot, ReleasedUpTo: d.highestPromised, Record: d.newestRecord}))
	}
	return d.flushCommands()
}

// Tick is to be called at the time that Next gave, or later.
func (d *Replica) Tick(now Micros) []Command {
	d.beginEvent(now)
	return d.advance()
}

// NextTick is when to Tick: a fifteenth of a lease at the most.
func (d *Replica) NextTick() Micros { return d.now + max(1, d.settings.Lease/retriesPerLease) }

func (d *Replica) beginEvent(now Micros) {
	if now-d.now > d.settings.Lease/2 && !d.disabled.LeaseExpiry {
		d.leaderUntil = 0 // a standstill: what happened meanwhile is not known yet
	}
	d.now, d.commands = max(d.now, now), d.commands[:0]
}

func (d *Replica) send(to int, m Message) { d.commands = append(d.commands, SendMessage{to, m}) }

func (d *Replica) broadcast(m Message) {
	for i := range MaxReplicas {
		if i != d.id && d.members.Contains(i) {
			d.send(i, m)
		}
	}
}

// flushCommands puts what must not be forgotten before all that it is answered for by.
func (d *Replica) flushCommands() []Command {
	if m := d.durableState(); m != d.lastPersisted {
		d.lastPersisted = m
		d.commands = append([]Command{Persist{m}}, d.commands...)
	}
	return d.commands
}

// advance does what the time asks for.
func (d *Replica) advance() []Command {
	if d.leaderUntil > 0 && d.now >= d.leaderUntil && !d.disabled.LeaseExpiry {
		d.leaderUntil, d.pendingRecord = 0, Record{}
	}
	switch {
	case d.now < d.abstainUntil, d.isLeaving, !d.members.Contains(d.id) && d.leaderUntil == 0:
	case d.leaderUntil > 0 && d.now >= d.ballotStartedAt+d.settings.Lease/renewalsPerLease,
		d.leaderUntil == 0 && d.now >= d.nextCampaignAt && (d.now >= d.leaseAcceptedUntil || d.leaseHolder == d.id || d.disabled.Prevote):
		d.campaign()
	}
	if d.IsLeader(d.now) {
		switch again := d.now-d.membersSentAt >= d.settings.Lease/retriesPerLease; {
		case !d.membersStamped && again:
			d.installMembers(d.members.Mask)
		case d.membersStamped && again && !d.hasQuorum(d.membersCommittedBy):
			d.membersSentAt = d.now
			d.broadcast(d.withMembers(Message{Kind: CommitMembers, Ballot: d.ballot, Record: d.newestRecord}))
		}
		d.replicateAndCast()
	}
	d.updateSelfStop()
	return d.flushCommands()
}

// campaign begins a ballot, also to renew a lead. One in hand is not begun anew: where a way takes a tenth of a lease a ballot lasts longer than
// the pause between two, and agents overtook their own before it came through, and each other's, for as long as the ways were slow.
func (d *Replica) campaign() {
	if d.isBallotPending() {
		d.nextCampaignAt = d.now + d.campaignJitter()
		if d.now >= d.ballotSentAt+d.settings.Lease/ballotResendsPerLease {
			d.sendBallot()
		}
		return
	}
	d.startBallot((max(d.highestPromised, d.highestAccepted, d.ballot, d.highestBallotSeen)>>8+1)<<8 | uint64(d.id))
}

// isBallotPending tells whether the ballot may still come through. Its lease counts from its beginning, however often it is put.
func (d *Replica) isBallotPending() bool {
	return d.promises != nil && !d.ballotWon && d.ballotMembers == d.members && max(d.highestPromised, d.highestBallotSeen) <= d.ballot && d.now < d.ballotStartedAt+d.settings.Lease/ballotTimeoutsPerLease
}

// sendBallot puts the question of the ballot in hand.
func (d *Replica) sendBallot() {
	m := Message{Kind: Prepare, Ballot: d.ballot, ReleasedUpTo: d.highestReleased}
	if d.hasProposed {
		m = Message{Kind: Propose, Ballot: d.ballot}
	}
	if d.ballotSentAt = d.now; d.disabled.LeaseFromStart {
		d.ballotStartedAt = d.now
	}
	d.broadcast(d.withMembers(m))
}

func (d *Replica) startBallot(ballot uint64) {
	d.ballot, d.ballotMembers = ballot, d.members
	d.ballotStartedAt, d.promises, d.acceptances, d.hasProposed, d.ballotWon = d.now, map[int]bool{}, map[int]bool{}, false, false
	d.nextCampaignAt = d.now + d.campaignJitter()
	d.sendBallot()
	d.handle(d.id, d.withMembers(Message{Kind: Prepare, Ballot: d.ballot, ReleasedUpTo: d.highestReleased}))
}

// Receive takes a message from another agent.
func (d *Replica) Receive(now Micros, from int, m Message) []Command {
	d.beginEvent(now)
	if from >= 0 && from < MaxReplicas && from != d.id {
		d.handle(from, m)
	}
	return d.advance()
}

func (d *Replica) reply(to int, m Message) {
	if to == d.id {
		d.handle(d.id, m)
	} else {
		d.send(to, m)
	}
}

func (d *Replica) handle(from int, m Message) {
	if m.Kind == Prepare && !d.members.Contains(from) && !m.Members.isNewerThan(d.members) {
		if d.now >= d.abstainUntil {
			d.send(from, d.withMembers(Message{Kind: Nack})) // it is none of us, and hears so; nothing that it says moves anybody
		}
		return
	}
	d.learnRecord(m.Record)
	d.adoptMembers(m.Members)
	switch m.Kind {
	case Prepare:
		// While a lease is in force here, nobody else is promised anything: who was cut off can't disturb.
		held := d.now < d.leaseAcceptedUntil && d.leaseHolder != from && d.highestAccepted > m.ReleasedUpTo && !d.disabled.Prevote
		if d.now >= d.abstainUntil && m.Ballot < d.highestPromised && from != d.id {
			// Else one who asked alone would never take part again: its own ballots are higher than the lead's.
			d.send(from, d.withMembers(Message{Kind: Nack, Ballot: d.highestPromised}))
		}
		if d.members.isNewerThan(m.Members) && from != d.id && d.now >= d.abstainUntil {
			d.send(from, d.withMembers(Message{Kind: Nack, Ballot: d.highestPromised}))
			return // a majority of older members may have nobody in common with one of these
		}
		again := m.Ballot == d.highestPromised && int(m.Ballot&0xff) == from && m.Ballot > d.highestAccepted
		if d.now < d.abstainUntil || m.Ballot <= d.highestPromised && !again || held {
			return
		}
		d.highestPromised, d.highestReleased = m.Ballot, max(d.highestReleased, m.ReleasedUpTo)
		if from != d.id && (d.deferredAt[from] == 0 || d.now >= d.deferredAt[from]+deferralIntervalLeases*d.settings.Lease) {
			d.deferredAt[from], d.nextCampaignAt = d.now, max(d.nextCampaignAt, d.now+d.settings.Lease/ballotTimeoutsPerLease+d.campaignJitter())
		}
		d.reply(from, d.withMembers(Message{Kind: Promise, Ballot: m.Ballot, Record: d.newestRecord}))
	case Promise:
		if m.Ballot != d.ballot || d.promises == nil {
			return
		}
		if d.promises[from] = true; d.hasQuorum(d.promises) && !d.hasProposed {
			d.hasProposed = true
			d.sendBallot()
			d.handle(d.id, d.withMembers(Message{Kind: Propose, Ballot: d.ballot}))
		}
	case Propose:
		if d.now < d.abstainUntil || m.Ballot < d.highestPromised || m.Ballot <= d.highestReleased || d.members.isNewerThan(m.Members) {
			return // of a lead that was given up since, too
		}
		d.highestPromised, d.highestAccepted, d.leaseHolder, d.leaseAcceptedUntil = m.Ballot, m.Ballot, from, d.now+d.settings.Lease
		if from != d.id && d.leaderUntil > 0 && !d.disabled.LeaseExpiry {
			d.leaderUntil = 0
		}
		d.reply(from, d.withMembers(Message{Kind: Accepted, Ballot: m.Ballot, Record: d.newestRecord}))
	case Accepted:
		if m.Ballot != d.ballot || d.acceptances == nil {
			return
		}
		if d.acceptances[from] = true; d.hasQuorum(d.acceptances) && d.now < d.ballotStartedAt+d.driftLowerBound(d.settings.Lease) {
			if !d.IsLeader(d.now) { // a lapsed lead is a new one: another may have led in between
				// What an earlier lead has cast may be carried out until Late is over, and counts for its Life.
				d.predecessorRecord = d.newestRecord
				d.term, d.predecessorVotesUntil = d.ballot, d.now+d.driftUpperBound(d.settings.MaxVoteDelay+d.settings.VoteLifetime)
				d.pendingRecord, d.lastCast, d.lastCastResolved, d.membersStamped, d.priorVerdictUntil = Record{}, Record{}, false, false, 0
			}
			d.ballotWon = true
			d.leaderUntil, d.leaseMembers = d.ballotStartedAt+d.driftLowerBound(d.settings.Lease), d.ballotMembers
		}
	case Replicate:
		if m.Ballot < d.highestPromised || d.now < d.abstainUntil {
			return
		}
		d.highestPromised = max(d.highestPromised, m.Ballot)
		d.send(from, Message{Kind: Replicated, Ballot: m.Ballot, Record: m.Record})
	case CommitMembers:
		if d.now >= d.abstainUntil && m.Ballot >= d.highestPromised && m.Members == d.members {
			d.send(from, d.withMembers(Message{Kind: MembersCommitted, Ballot: m.Ballot}))
		}
	case MembersCommitted:
		if d.membersStamped && m.Members == d.members {
			d.membersCommittedBy[from] = true
		}
	case Replicated:
		if m.Record == d.pendingRecord && d.replicatedTo != nil {
			d.replicatedTo[from] = true
		}
	case Recommend:
		d.recommendations[from] = recommendation{m.Recommendation, d.now}
	case Nack:
		d.highestBallotSeen = max(d.highestBallotSeen, m.Ballot)
	case HandOver:
		d.highestBallotSeen = max(d.highestBallotSeen, m.Ballot) // a renewal that others have promised already would turn the next one's ballot away
		if d.leaseHolder != from || d.highestAccepted > m.Ballot || d.now < d.abstainUntil {
			return
		}
		d.leaseAcceptedUntil, d.highestReleased = d.now, max(d.highestReleased, m.Ballot)
		switch next := int(m.ReleasedUpTo & 0xff); {
		case m.ReleasedUpTo <= d.highestPromised: // something has come in between: the ordinary way
			d.nextCampaignAt = d.now + d.campaignJitter()
		case next != d.id:
			d.nextCampaignAt = d.now + d.campaignJitter() // the next in turn first: two that ask at once hinder each other
			d.handle(next, d.withMembers(Message{Kind: Prepare, Ballot: m.ReleasedUpTo, ReleasedUpTo: m.Ballot}))
		case !d.isLeaving && d.members.Contains(d.id):
			d.startBallot(m.ReleasedUpTo)
			d.handle(from, Message{Kind: Promise, Ballot: m.ReleasedUpTo, Record: m.Record, Members: m.Members})
		}
	}
}

func (d *Replica) learnRecord(record Record) {
	if record.isNewerThan(d.newestRecord) {
		d.newestRecord = record
	}
}
