package election

import (
	"errors"
	"math/bits"
)

// MaxReplicas is how many replica numbers there are, from 0.
const MaxReplicas = 64

// Members are the replicas that vote. The leader that changes them stamps them with its term; the newest that a replica has
// received are in force for it at once.
type Members struct {
	Term    uint64
	Version uint32
	Mask    uint64 // one bit a replica, by its number
}

// InitialMembers returns the members with the numbers below count, before any change.
func InitialMembers(count int) Members { return Members{Mask: 1<<count - 1} }

// Contains reports whether a replica is a member.
func (m Members) Contains(replica int) bool {
	return replica >= 0 && replica < MaxReplicas && m.Mask>>replica&1 == 1
}

// Count returns how many members there are.
func (m Members) Count() int { return bits.OnesCount64(m.Mask) }

func (m Members) isNewerThan(other Members) bool {
	return m.Term > other.Term || m.Term == other.Term && m.Version > other.Version
}

// replicaSet is a set of replicas by their numbers, such as those that have acknowledged something.
type replicaSet map[int]bool

func newReplicaSet(replica int) replicaSet { return replicaSet{replica: true} }

func (s replicaSet) add(replica int) { s[replica] = true }

// hasQuorum reports whether a set holds more than half of the members that are in force here.
func (r *Replica) hasQuorum(set replicaSet) bool {
	count := 0
	for replica := range set {
		if r.members.Contains(replica) {
			count++
		}
	}
	return 2*count > r.members.Count()
}

// nextMember returns the member after a replica, in turn.
func (r *Replica) nextMember(after int) int {
	for i := 1; i <= MaxReplicas; i++ {
		if candidate := (after + i) % MaxReplicas; r.members.Contains(candidate) {
			return candidate
		}
	}
	return after
}

// membershipState is how far the members of the present term are known.
type membershipState struct {
	isStamped   bool // the present term has stamped the members
	committedBy replicaSet
	sentAt      Micros
}

// Errors of ChangeMembers.
var (
	ErrNotLeader       = errors.New("this agent does not lead")
	ErrMembersPending  = errors.New("the members are not settled with a majority yet")
	ErrNotSingleChange = errors.New("members join and leave one at a time, and one must stay")
)

// ChangeMembers puts other members in force, one more or one fewer.
//
// Quorums of two sets that differ in one replica have a replica in common; quorums of sets that differ in more need not. So
// the change before, and this term's own stamp, have to be known to a quorum first, and the lease has to be renewed among
// them: a lease that was given by replicas that are out binds nobody who is in.
func (r *Replica) ChangeMembers(now Micros, mask uint64) ([]Command, error) {
	r.beginCall(now)
	switch {
	case !r.IsLeader(now):
		return nil, ErrNotLeader
	case mask == 0 || bits.OnesCount64(mask^r.members.Mask) != 1:
		return nil, ErrNotSingleChange
	case !r.areMembersCommitted() || r.leader.leaseMembers != r.members:
		return nil, ErrMembersPending
	}
	previous := r.members
	r.installMembers(mask)
	r.notifyRemoved(previous)
	return r.advance(), nil
}

// areMembersCommitted reports whether a quorum knows the members with the stamp of the present term.
func (r *Replica) areMembersCommitted() bool {
	return r.membership.isStamped && r.hasQuorum(r.membership.committedBy)
}

// notifyRemoved sends the new members to the replicas that have just been removed.
func (r *Replica) notifyRemoved(previous Members) {
	for i := range MaxReplicas {
		if i != r.id && previous.Contains(i) && !r.members.Contains(i) {
			r.send(i, r.commitMembersMessage())
		}
	}
}

// advanceMembers stamps the members in a new term, and sends the stamp again until a quorum knows it.
func (r *Replica) advanceMembers() {
	if r.now-r.membership.sentAt < r.settings.retryInterval() {
		return
	}
	switch {
	case !r.membership.isStamped:
		r.installMembers(r.members.Mask)
	case !r.areMembersCommitted():
		r.sendMembers()
	}
}

// installMembers stamps members with the present term, and renews the lease among them.
func (r *Replica) installMembers(mask uint64) {
	next := Members{Term: r.leader.term, Version: 1, Mask: mask}
	if r.members.Term == r.leader.term {
		next.Version = r.members.Version + 1
	}
	r.members = next
	r.membership.isStamped = true
	r.membership.committedBy = newReplicaSet(r.id)
	r.sendMembers()
	r.campaign()
}

func (r *Replica) sendMembers() {
	r.membership.sentAt = r.now
	r.broadcast(r.commitMembersMessage())
}

// commitMembersMessage carries the newest record, too: one that a quorum of the members before knows need not be known to a
// quorum of those after the next change.
func (r *Replica) commitMembersMessage() Message {
	return r.withMembers(Message{Kind: CommitMembers, Ballot: r.candidate.ballot, Record: r.newestRecord})
}

// adoptMembers takes newer members over. A ballot that was started among others is void.
func (r *Replica) adoptMembers(members Members) {
	if !members.isNewerThan(r.members) {
		return
	}
	r.members = members
	r.candidate.abandon()
	r.membership.isStamped = false
	if r.leader.leaseUntil > 0 && !r.disabled.LeaseTimeout && members.Term != r.leader.term {
		r.leader.leaseUntil = 0
	}
}

// handleCommitMembers acknowledges members that handle has taken over.
func (r *Replica) handleCommitMembers(from int, m Message) {
	if !r.isAbstaining() && m.Ballot >= r.acceptor.highestPromised && m.Members == r.members {
		r.send(from, r.withMembers(Message{Kind: MembersCommitted, Ballot: m.Ballot}))
	}
}

// handleMembersCommitted counts an acknowledgement of the members.
func (r *Replica) handleMembersCommitted(from int, m Message) {
	if r.membership.isStamped && m.Members == r.members {
		r.membership.committedBy.add(from)
	}
}
