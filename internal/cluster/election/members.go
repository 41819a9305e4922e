package election

import (
	"errors"
	"math/bits"
)

// This file owns who counts: the members, how they change one at a time, and what a majority of them is.

// MaxReplicas is how many agents' numbers there are, from 0.
const MaxReplicas = 64

// Members are the agents that count, as bits by their numbers. A change is stamped by the lead that made it; the newest
// that an agent has heard of is in force for it at once.
type Members struct {
	Term    uint64
	Version uint32
	Mask    uint64
}

func (m Members) isNewerThan(than Members) bool {
	return m.Term > than.Term || m.Term == than.Term && m.Version > than.Version
}

// Contains tells whether an agent counts; Many is how many do.
func (m Members) Contains(i int) bool { return i >= 0 && i < MaxReplicas && m.Mask>>i&1 == 1 }
func (m Members) Count() int          { return bits.OnesCount64(m.Mask) }

// InitialMembers are the members with the numbers below all, before any change.
func InitialMembers(all int) Members { return Members{Mask: 1<<all - 1} }

// hasQuorum of the members that are in force here.
func (d *Replica) hasQuorum(of map[int]bool) bool {
	n := 0
	for i := range of {
		if d.members.Contains(i) {
			n++
		}
	}
	return 2*n > d.members.Count()
}

// Why a change of the members is refused.
var (
	ErrNotLeader       = errors.New("this agent does not lead")
	ErrMembersPending  = errors.New("the members are not settled with a majority yet")
	ErrNotSingleChange = errors.New("members join and leave one at a time, and one must stay")
)

// ChangeMembers puts other members in force, one more or one fewer. Two majorities of sets that differ in one have an agent in
// common; of sets that differ in more they need not. So the change before, and this lead's own stamp, are to be known to a
// majority first, and the lease renewed among them: one that was given by agents that are out binds nobody who is in.
func (d *Replica) ChangeMembers(now Micros, mask uint64) ([]Command, error) {
	d.beginEvent(now)
	switch {
	case !d.IsLeader(now):
		return nil, ErrNotLeader
	case mask == 0 || bits.OnesCount64(mask^d.members.Mask) != 1:
		return nil, ErrNotSingleChange
	case !d.membersStamped || !d.hasQuorum(d.membersCommittedBy) || d.leaseMembers != d.members:
		return nil, ErrMembersPending
	}
	old := d.members.Mask
	d.installMembers(mask)
	for i := range MaxReplicas {
		if i != d.id && old>>i&1 == 1 && !d.members.Contains(i) {
			d.send(i, d.withMembers(Message{Kind: CommitMembers, Ballot: d.ballot, Record: d.newestRecord})) // it hears that it is out
		}
	}
	return d.advance(), nil
}

// installMembers makes the members this lead's own. The newest record goes along: one that a majority of the members before knows need
// not be known to a majority of those after the next change.
func (d *Replica) installMembers(mask uint64) {
	next := Members{Term: d.term, Version: 1, Mask: mask}
	if d.members.Term == d.term {
		next.Version = d.members.Version + 1
	}
	d.members, d.membersStamped, d.membersCommittedBy, d.membersSentAt = next, true, map[int]bool{d.id: true}, d.now
	d.broadcast(d.withMembers(Message{Kind: CommitMembers, Ballot: d.ballot, Record: d.newestRecord}))
	d.campaign()
}

// withMembers adds the members to a message.
func (d *Replica) withMembers(m Message) Message { m.Members = d.members; return m }

// adoptMembers takes newer members over; a ballot that was begun among others is void.
func (d *Replica) adoptMembers(members Members) {
	if members.isNewerThan(d.members) {
		d.members = members
		d.promises, d.acceptances, d.membersStamped = nil, nil, false
		if d.leaderUntil > 0 && !d.disabled.LeaseExpiry && members.Term != d.term {
			d.leaderUntil = 0
		}
	}
}

// nextMember is the member after an agent, in turn.
func (d *Replica) nextMember(after int) int {
	for i := 1; i <= MaxReplicas; i++ {
		if at := (after + i) % MaxReplicas; d.members.Contains(at) {
			return at
		}
	}
	return after
}
