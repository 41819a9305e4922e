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

func (r Record) newer(than Record) bool {
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
	now     Micros
	me      int
	members Members
	terms   Settings
	without DisabledGuards
	chance  *rand.Rand
	out     []Command

	// As one of those who are asked.
	promised, accepted uint64
	owner              int
	until              Micros       // of the lease that was accepted, by this clock
	seen               uint64       // the highest ballot that another has told of
	yielded            uint64       // a ballot up to which leases were given up
	abstain            Micros       // after a restart without a memory
	known              Record       // the newest
	kept               DurableState // the last that was to be kept

	// As one who leads, or asks to.
	ballot   uint64
	term     uint64 // the ballot by which the lead was got; renewals keep it
	asked    Micros // when the ballot was begun
	proposed bool
	yes      map[int]bool
	took     map[int]bool
	leads    Micros // until then; 0: does not
	got      bool   // the ballot has brought a lease
	saidAt   Micros // when its question was last put
	tryAt    Micros
	gave     []Micros // when this agent last gave way to another that asked; 0: never
	leaving  bool

	pending  Record // told, not written by a majority yet
	wrote    map[int]bool
	toldAt   Micros
	serial   uint32
	cast     Record
	castAt   Micros
	answered bool
	prior    Verdict // what this lead cast on the stage before, other than the last, and until when that may count
	priorTo  Micros
	earlier  Record // the newest of the leads before, as a majority knows it
	clear    Micros // from then on nothing of an earlier lead can count

	build, stage int32
	open         bool // a release is on trial
	wishes       []wish
	alone        Decision // that this agent has stopped for by itself

	ours    bool    // this lead has stamped the members
	heldBy  Members // among whom the lease in force was got
	among   Members // and the ballot in hand was begun
	settled map[int]bool
	sayAt   Micros // when the members were last told
}

type wish struct {
	Decision
	at Micros
}

// New starts an agent's part at a time. memory is what it last kept; without one it is fresh, unless none of the agents has
// ever run: then it abstains until nothing can count any more that it may have been told of.
func New(me int, members Members, memory *DurableState, terms Settings, without DisabledGuards, fresh bool, now Micros, seed int64) *Replica {
	d := &Replica{
		me: me, members: members, terms: terms, without: without, chance: rand.New(rand.NewSource(seed)), now: now,
		wishes: make([]wish, MaxReplicas), gave: make([]Micros, MaxReplicas), owner: -1,
	}
	if memory != nil {
		d.promised, d.accepted, d.yielded, d.known, d.owner = memory.Promised, memory.Accepted, memory.Released, memory.Newest, int(memory.LeaseHolder)
		if memory.Members.newer(members) {
			d.members = memory.Members
		}
		if d.accepted > d.yielded {
			d.until = now + d.longer(terms.Lease) // how long it still runs is not known any more
		}
	}
	d.kept = d.memory()
	if fresh && !without.LeaseExpiry {
		// Whoever led by its word may cast for a lease more, and that counts for so long; what it knew of it is gone.
		d.abstain = now + d.longer(terms.Lease+terms.MaxVoteDelay+terms.VoteLifetime)
	}
	d.tryAt = now + d.spread()
	return d
}

func (d *Replica) memory() DurableState {
	return DurableState{d.promised, d.accepted, d.yielded, int32(d.owner), d.known, d.members}
}

// longer and shorter are a span by this clock that surely is, or surely is not, over by any other.
func (d *Replica) longer(span Micros) Micros {
	return Micros(float64(span) * (1 + 2*d.terms.ClockDrift))
}

func (d *Replica) shorter(span Micros) Micros {
	return Micros(float64(span) * (1 - 2*d.terms.ClockDrift))
}

// spread keeps agents from asking all at once: up to a third of a lease.
func (d *Replica) spread() Micros {
	return d.terms.Lease/30 + Micros(d.chance.Int63n(max(1, d.terms.Lease/3)))
}

const (
	// renewPart of a lease is over when it is renewed: time for two more tries.
	renewPart = 3
	// askedAgain so many times in a lease the question of a ballot in hand is put again: as often as before between two renewals.
	askedAgain = 6
	// inHandFor: a ballot is given half a lease; later it would bring a lease that is mostly over.
	inHandFor = 2
	// giveWay: who has promised another leaves it as long as a ballot is given, but one that never comes through only once in so
	// many leases.
	giveWay = 2
	// tellAgain: a message without an answer is sent again after this part of a lease.
	tellAgain = 15
	// wishFor so many leases a wish counts; it is told again twice a lease.
	wishFor = 2
	// renewVote: a vote is cast again when this part of its life is over.
	renewVote = 0.66
)

// IsLeader tells whether this agent may cast now.
func (d *Replica) IsLeader(now Micros) bool {
	return now < d.leads || d.without.LeaseExpiry && d.leads > 0
}

// Term is the ballot of the lead in hand, 0 without one.
func (d *Replica) Term() uint64 {
	if d.leads == 0 {
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
		d.IsLeader(now), max(0, d.leads-now), d.Term(), d.known, d.pending.Term != 0 || d.cast.Term != 0 && !d.answered,
		-1, d.members, max(0, d.abstain-now), 0,
	}
	if now < d.until || s.IsLeader {
		s.LeaseHolder = d.owner
	}
	if s.IsLeader && d.earlier.Term != 0 {
		s.EarlierVotesExpireIn = max(0, d.clear-now)
	}
	return s
}

// StopParticipating is for a host whose disk has failed: nothing is answered for any more.
func (d *Replica) StopParticipating(now Micros) {
	d.begin(now)
	d.leads, d.pending, d.abstain = 0, Record{}, 1<<62
}

// UpdateRollout tells where the newest build stands; votes name their stage, so what was decided on another is moot.
func (d *Replica) UpdateRollout(now Micros, build, stage int32, onTrial bool) []Command {
	d.begin(now)
	if build != d.build || stage != d.stage || onTrial != d.open {
		d.build, d.stage, d.open = build, stage, onTrial
		if d.pending.Build != build || d.pending.Stage != stage {
			d.pending = Record{}
		}
	}
	return d.act()
}

// Recommend tells what the judge of this agent asks for.
func (d *Replica) Recommend(now Micros, want Decision) []Command {
	d.begin(now)
	d.wishes[d.me] = wish{want, now}
	d.tell(Message{Kind: Recommend, Recommendation: want})
	return d.act()
}

// ResolveVote tells that the launcher has answered the last cast: it is carried out, or never will be.
func (d *Replica) ResolveVote(now Micros, r Record) []Command {
	d.begin(now)
	if r == d.cast {
		d.answered = true
	}
	return d.act()
}

// Leave passes the lead on: nothing is cast any more, and the next in turn has this one's promise with the word that it
// leaves, and the others' as soon as they hear it. It still answers others; it never asks again.
func (d *Replica) Leave(now Micros) []Command {
	d.begin(now)
	led := d.leads > now
	d.leads, d.yes, d.took, d.leaving = 0, nil, nil, true // what still comes of its last ballot is not for it
	if next := d.next(d.me); led && next != d.me {
		d.promised = (max(d.promised, d.ballot, d.seen)>>8+1)<<8 | uint64(next)
		d.yielded, d.until = max(d.yielded, d.ballot), d.now
		d.tell(d.about(Message{Kind: HandOver, Ballot: d.ballot, ReleasedUpTo: d.promised, Record: d.known}))
	}
	return d.keep()
}

// Tick is to be called at the time that Next gave, or later.
func (d *Replica) Tick(now Micros) []Command {
	d.begin(now)
	return d.act()
}

// NextTick is when to Tick: a fifteenth of a lease at the most.
func (d *Replica) NextTick() Micros { return d.now + max(1, d.terms.Lease/tellAgain) }

func (d *Replica) begin(now Micros) {
	if now-d.now > d.terms.Lease/2 && !d.without.LeaseExpiry {
		d.leads = 0 // a standstill: what happened meanwhile is not known yet
	}
	d.now, d.out = max(d.now, now), d.out[:0]
}

func (d *Replica) send(to int, m Message) { d.out = append(d.out, SendMessage{to, m}) }

func (d *Replica) tell(m Message) {
	for i := range MaxReplicas {
		if i != d.me && d.members.Contains(i) {
			d.send(i, m)
		}
	}
}

// keep puts what must not be forgotten before all that it is answered for by.
func (d *Replica) keep() []Command {
	if m := d.memory(); m != d.kept {
		d.kept = m
		d.out = append([]Command{Persist{m}}, d.out...)
	}
	return d.out
}

// act does what the time asks for.
func (d *Replica) act() []Command {
	if d.leads > 0 && d.now >= d.leads && !d.without.LeaseExpiry {
		d.leads, d.pending = 0, Record{}
	}
	switch {
	case d.now < d.abstain, d.leaving, !d.members.Contains(d.me) && d.leads == 0:
	case d.leads > 0 && d.now >= d.asked+d.terms.Lease/renewPart,
		d.leads == 0 && d.now >= d.tryAt && (d.now >= d.until || d.owner == d.me || d.without.Prevote):
		d.ask()
	}
	if d.IsLeader(d.now) {
		switch again := d.now-d.sayAt >= d.terms.Lease/tellAgain; {
		case !d.ours && again:
			d.stamp(d.members.Mask)
		case d.ours && again && !d.majority(d.settled):
			d.sayAt = d.now
			d.tell(d.about(Message{Kind: CommitMembers, Ballot: d.ballot, Record: d.known}))
		}
		d.decide()
	}
	d.stopAlone()
	return d.keep()
}

// ask begins a ballot, also to renew a lead. One in hand is not begun anew: where a way takes a tenth of a lease a ballot lasts longer than
// the pause between two, and agents overtook their own before it came through, and each other's, for as long as the ways were slow.
func (d *Replica) ask() {
	if d.inHand() {
		d.tryAt = d.now + d.spread()
		if d.now >= d.saidAt+d.terms.Lease/askedAgain {
			d.put()
		}
		return
	}
	d.begins((max(d.promised, d.accepted, d.ballot, d.seen)>>8+1)<<8 | uint64(d.me))
}

// inHand tells whether the ballot may still come through. Its lease counts from its beginning, however often it is put.
func (d *Replica) inHand() bool {
	return d.yes != nil && !d.got && d.among == d.members && max(d.promised, d.seen) <= d.ballot && d.now < d.asked+d.terms.Lease/inHandFor
}

// put puts the question of the ballot in hand.
func (d *Replica) put() {
	m := Message{Kind: Prepare, Ballot: d.ballot, ReleasedUpTo: d.yielded}
	if d.proposed {
		m = Message{Kind: Propose, Ballot: d.ballot}
	}
	if d.saidAt = d.now; d.without.LeaseFromStart {
		d.asked = d.now
	}
	d.tell(d.about(m))
}

func (d *Replica) begins(ballot uint64) {
	d.ballot, d.among = ballot, d.members
	d.asked, d.yes, d.took, d.proposed, d.got = d.now, map[int]bool{}, map[int]bool{}, false, false
	d.tryAt = d.now + d.spread()
	d.put()
	d.hear(d.me, d.about(Message{Kind: Prepare, Ballot: d.ballot, ReleasedUpTo: d.yielded}))
}

// Receive takes a message from another agent.
func (d *Replica) Receive(now Micros, from int, m Message) []Command {
	d.begin(now)
	if from >= 0 && from < MaxReplicas && from != d.me {
		d.hear(from, m)
	}
	return d.act()
}

func (d *Replica) reply(to int, m Message) {
	if to == d.me {
		d.hear(d.me, m)
	} else {
		d.send(to, m)
	}
}

func (d *Replica) hear(from int, m Message) {
	if m.Kind == Prepare && !d.members.Contains(from) && !m.Members.newer(d.members) {
		if d.now >= d.abstain {
			d.send(from, d.about(Message{Kind: Nack})) // it is none of us, and hears so; nothing that it says moves anybody
		}
		return
	}
	d.learn(m.Record)
	d.join(m.Members)
	switch m.Kind {
	case Prepare:
		// While a lease is in force here, nobody else is promised anything: who was cut off can't disturb.
		held := d.now < d.until && d.owner != from && d.accepted > m.ReleasedUpTo && !d.without.Prevote
		if d.now >= d.abstain && m.Ballot < d.promised && from != d.me {
			// Else one who asked alone would never take part again: its own ballots are higher than the lead's.
			d.send(from, d.about(Message{Kind: Nack, Ballot: d.promised}))
		}
		if d.members.newer(m.Members) && from != d.me && d.now >= d.abstain {
			d.send(from, d.about(Message{Kind: Nack, Ballot: d.promised}))
			return // a majority of older members may have nobody in common with one of these
		}
		again := m.Ballot == d.promised && int(m.Ballot&0xff) == from && m.Ballot > d.accepted
		if d.now < d.abstain || m.Ballot <= d.promised && !again || held {
			return
		}
		d.promised, d.yielded = m.Ballot, max(d.yielded, m.ReleasedUpTo)
		if from != d.me && (d.gave[from] == 0 || d.now >= d.gave[from]+giveWay*d.terms.Lease) {
			d.gave[from], d.tryAt = d.now, max(d.tryAt, d.now+d.terms.Lease/inHandFor+d.spread())
		}
		d.reply(from, d.about(Message{Kind: Promise, Ballot: m.Ballot, Record: d.known}))
	case Promise:
		if m.Ballot != d.ballot || d.yes == nil {
			return
		}
		if d.yes[from] = true; d.majority(d.yes) && !d.proposed {
			d.proposed = true
			d.put()
			d.hear(d.me, d.about(Message{Kind: Propose, Ballot: d.ballot}))
		}
	case Propose:
		if d.now < d.abstain || m.Ballot < d.promised || m.Ballot <= d.yielded || d.members.newer(m.Members) {
			return // of a lead that was given up since, too
		}
		d.promised, d.accepted, d.owner, d.until = m.Ballot, m.Ballot, from, d.now+d.terms.Lease
		if from != d.me && d.leads > 0 && !d.without.LeaseExpiry {
			d.leads = 0
		}
		d.reply(from, d.about(Message{Kind: Accepted, Ballot: m.Ballot, Record: d.known}))
	case Accepted:
		if m.Ballot != d.ballot || d.took == nil {
			return
		}
		if d.took[from] = true; d.majority(d.took) && d.now < d.asked+d.shorter(d.terms.Lease) {
			if !d.IsLeader(d.now) { // a lapsed lead is a new one: another may have led in between
				// What an earlier lead has cast may be carried out until Late is over, and counts for its Life.
				d.earlier = d.known
				d.term, d.clear = d.ballot, d.now+d.longer(d.terms.MaxVoteDelay+d.terms.VoteLifetime)
				d.pending, d.cast, d.answered, d.ours, d.priorTo = Record{}, Record{}, false, false, 0
			}
			d.got = true
			d.leads, d.heldBy = d.asked+d.shorter(d.terms.Lease), d.among
		}
	case Replicate:
		if m.Ballot < d.promised || d.now < d.abstain {
			return
		}
		d.promised = max(d.promised, m.Ballot)
		d.send(from, Message{Kind: Replicated, Ballot: m.Ballot, Record: m.Record})
	case CommitMembers:
		if d.now >= d.abstain && m.Ballot >= d.promised && m.Members == d.members {
			d.send(from, d.about(Message{Kind: MembersCommitted, Ballot: m.Ballot}))
		}
	case MembersCommitted:
		if d.ours && m.Members == d.members {
			d.settled[from] = true
		}
	case Replicated:
		if m.Record == d.pending && d.wrote != nil {
			d.wrote[from] = true
		}
	case Recommend:
		d.wishes[from] = wish{m.Recommendation, d.now}
	case Nack:
		d.seen = max(d.seen, m.Ballot)
	case HandOver:
		d.seen = max(d.seen, m.Ballot) // a renewal that others have promised already would turn the next one's ballot away
		if d.owner != from || d.accepted > m.Ballot || d.now < d.abstain {
			return
		}
		d.until, d.yielded = d.now, max(d.yielded, m.Ballot)
		switch next := int(m.ReleasedUpTo & 0xff); {
		case m.ReleasedUpTo <= d.promised: // something has come in between: the ordinary way
			d.tryAt = d.now + d.spread()
		case next != d.me:
			d.tryAt = d.now + d.spread() // the next in turn first: two that ask at once hinder each other
			d.hear(next, d.about(Message{Kind: Prepare, Ballot: m.ReleasedUpTo, ReleasedUpTo: m.Ballot}))
		case !d.leaving && d.members.Contains(d.me):
			d.begins(m.ReleasedUpTo)
			d.hear(from, Message{Kind: Promise, Ballot: m.ReleasedUpTo, Record: m.Record, Members: m.Members})
		}
	}
}

func (d *Replica) learn(r Record) {
	if r.newer(d.known) {
		d.known = r
	}
}
