package election

import (
	"errors"
	"math/bits"
)

// Errors of ChangeMembers.
var (
	ErrNotLeader       = errors.New("this agent does not lead")
	ErrMembersPending  = errors.New("the members are not settled with a majority yet")
	ErrNotSingleChange = errors.New("members join and leave one at a time, and one must stay")
)

// membership is which members are in force here, and, while this replica leads, how far its own stamp on them is known. It decides
// whether they may change, from the stamp's acknowledgements and the members among whom the lease was granted. [leaderElection]
// passes on the members of each message, and lets a leader stamp them and repeat the stamp.
type membership struct {
	settings Settings

	current     Members // the newest that were received
	isStamped   bool    // the present term has stamped them
	committedBy replicaSet
	sentAt      Micros
}

// adopt takes newer members over, and reports whether these were newer.
func (m *membership) adopt(members Members) bool {
	if !members.isNewerThan(m.current) {
		return false
	}
	m.current = members
	m.isStamped = false
	return true
}

// startTerm makes the stamp of the term before void.
func (m *membership) startTerm() { m.isStamped = false }

// checkChange returns why the members can't be replaced by those of a mask; nil: they can.
//
// Quorums of two sets that differ in one replica have a replica in common; quorums of sets that differ in more need not. So
// the change before, and this term's own stamp, have to be known to a quorum first, and the lease has to be renewed among
// them: a lease that was given by replicas that are out binds nobody who is in.
func (m *membership) checkChange(mask uint64, leaseMembers Members) error {
	switch {
	case mask == 0 || bits.OnesCount64(mask^m.current.Mask) != 1:
		return ErrNotSingleChange
	case !m.isCommitted() || leaseMembers != m.current:
		return ErrMembersPending
	}
	return nil
}

// stamp puts the members of a mask in force, with the term of the leader that does it.
func (m *membership) stamp(term uint64, mask uint64, leader int) {
	next := Members{Term: term, Version: 1, Mask: mask}
	if m.current.Term == term {
		next.Version = m.current.Version + 1
	}
	m.current = next
	m.isStamped = true
	m.committedBy = newReplicaSet(leader)
}

// acknowledge counts a replica that knows the members, if these are the present ones.
func (m *membership) acknowledge(from int, members Members) {
	if m.isStamped && members == m.current {
		m.committedBy = m.committedBy.with(from)
	}
}

// isCommitted reports whether a quorum knows the members with the stamp of the present term.
func (m *membership) isCommitted() bool {
	return m.isStamped && m.committedBy.isQuorumOf(m.current)
}

// isSendDue reports whether the stamp may be sent, or sent again.
func (m *membership) isSendDue(now Micros) bool {
	return now-m.sentAt >= m.settings.retryInterval()
}

// attach adds the members that are in force to a message.
func (m *membership) attach(message Message) Message {
	message.Members = m.current
	return message
}
