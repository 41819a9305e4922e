package election

import (
	"errors"
	"math/bits"
)

// This file owns who counts: the members, how they change one at a time, and what a majority of them is.

// Most is how many agents' numbers there are, from 0.
const Most = 64

// Members are the agents that count, as bits by their numbers. A change is stamped by the lead that made it; the newest
// that an agent has heard of is in force for it at once.
type Members struct {
	Term   uint64
	Serial uint32
	Mask   uint64
}

func (m Members) newer(than Members) bool {
	return m.Term > than.Term || m.Term == than.Term && m.Serial > than.Serial
}

// Has tells whether an agent counts; Many is how many do.
func (m Members) Has(i int) bool { return i >= 0 && i < Most && m.Mask>>i&1 == 1 }
func (m Members) Many() int      { return bits.OnesCount64(m.Mask) }

// First are the members with the numbers below all, before any change.
func First(all int) Members { return Members{Mask: 1<<all - 1} }

// majority of the members that are in force here.
func (d *Decider) majority(of map[int]bool) bool {
	n := 0
	for i := range of {
		if d.members.Has(i) {
			n++
		}
	}
	return 2*n > d.members.Many()
}

// Why a change of the members is refused.
var (
	ErrNotLead   = errors.New("this agent does not lead")
	ErrUnsettled = errors.New("the members are not settled with a majority yet")
	ErrOneByOne  = errors.New("members join and leave one at a time, and one must stay")
)

// Change puts other members in force, one more or one fewer. Two majorities of sets that differ in one have an agent in
// common; of sets that differ in more they need not. So the change before, and this lead's own stamp, are to be known to a
// majority first, and the lease renewed among them: one that was given by agents that are out binds nobody who is in.
func (d *Decider) Change(now Micros, mask uint64) ([]Order, error) {
	d.begin(now)
	switch {
	case !d.Leads(now):
		return nil, ErrNotLead
	case mask == 0 || bits.OnesCount64(mask^d.members.Mask) != 1:
		return nil, ErrOneByOne
	case !d.ours || !d.majority(d.settled) || d.heldBy != d.members:
		return nil, ErrUnsettled
	}
	old := d.members.Mask
	d.stamp(mask)
	for i := range Most {
		if i != d.me && old>>i&1 == 1 && !d.members.Has(i) {
			d.send(i, d.about(Message{Kind: Settle, Ballot: d.ballot, Record: d.known})) // it hears that it is out
		}
	}
	return d.act(), nil
}

// stamp makes the members this lead's own. The newest record goes along: one that a majority of the members before knows need
// not be known to a majority of those after the next change.
func (d *Decider) stamp(mask uint64) {
	next := Members{Term: d.term, Serial: 1, Mask: mask}
	if d.members.Term == d.term {
		next.Serial = d.members.Serial + 1
	}
	d.members, d.ours, d.settled, d.sayAt = next, true, map[int]bool{d.me: true}, d.now
	d.tell(d.about(Message{Kind: Settle, Ballot: d.ballot, Record: d.known}))
	d.ask()
}

// about adds the members to a message.
func (d *Decider) about(m Message) Message { m.Members = d.members; return m }

// join takes newer members over; a ballot that was begun among others is void.
func (d *Decider) join(m Members) {
	if m.newer(d.members) {
		d.members = m
		d.yes, d.took, d.ours = nil, nil, false
		if d.leads > 0 && !d.without.Lease && m.Term != d.term {
			d.leads = 0
		}
	}
}

// next is the member after an agent, in turn.
func (d *Decider) next(after int) int {
	for i := 1; i <= Most; i++ {
		if at := (after + i) % Most; d.members.Has(at) {
			return at
		}
	}
	return after
}
