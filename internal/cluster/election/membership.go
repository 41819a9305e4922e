package election

import (
	"errors"
	"math/bits"
)

// Errors returned by [Replica.ChangeMembers].
var (
	ErrNotLeader       = errors.New("this agent does not lead")
	ErrMembersPending  = errors.New("the members are not settled with a majority yet")
	ErrNotSingleChange = errors.New("members join and leave one at a time, and one must stay")
)

// membership holds the members that are in force on this replica. While this replica leads, membership also tracks which replicas
// have acknowledged the members as stamped with the current term. From these acknowledgements, and from the members among which
// the lease was granted, membership decides whether the members may change. [leaderElection] passes on the members of each
// message. On the leader, [leaderElection] also has membership stamp the members, and sends the stamped members until a quorum
// has acknowledged them.
type membership struct {
	settings Settings

	current     Members    // newest set of members that this replica knows
	isStamped   bool       // this replica, as the leader, has stamped current in the current term
	committedBy replicaSet // replicas that have acknowledged current since it was stamped
	sentAt      Micros     // when this replica, as the leader, last sent current
}

// adopt puts members in force if they are newer than the current ones, and reports whether they are.
func (m *membership) adopt(members Members) bool {
	if !members.isNewerThan(m.current) {
		return false
	}
	m.current = members
	m.isStamped = false
	return true
}

// startTerm begins a new term, in which the members have to be stamped again.
func (m *membership) startTerm() { m.isStamped = false }

// checkChange returns why the current members can't be replaced by the members of mask, or nil if they can.
//
// If two sets of members differ in one replica, any quorum of one has a replica in common with any quorum of the other. This
// need not hold if they differ in more. Before a change, a quorum must therefore know the members as stamped in the current
// term, and with them the previous change. The lease must also have been granted among the current members: a lease granted by
// replicas that have been removed does not bind the present members.
func (m *membership) checkChange(mask uint64, leaseMembers Members) error {
	switch {
	case mask == 0 || bits.OnesCount64(mask^m.current.Mask) != 1:
		return ErrNotSingleChange
	case !m.isCommitted() || leaseMembers != m.current:
		return ErrMembersPending
	}
	return nil
}

// stamp puts the members of mask in force, and stamps them with the leader's term.
func (m *membership) stamp(term uint64, mask uint64, leader int) {
	next := Members{Term: term, Version: 1, Mask: mask}
	if m.current.Term == term {
		next.Version = m.current.Version + 1
	}
	m.current = next
	m.isStamped = true
	m.committedBy = newReplicaSet(leader)
}

// acknowledge records that replica from knows members. It has no effect unless members is the current set, as stamped by this
// replica in the current term.
func (m *membership) acknowledge(from int, members Members) {
	if m.isStamped && members == m.current {
		m.committedBy = m.committedBy.with(from)
	}
}

// isCommitted reports whether a quorum knows the members as stamped in the current term.
func (m *membership) isCommitted() bool {
	return m.isStamped && m.committedBy.isQuorumOf(m.current)
}

// isSendDue reports whether the members may be sent, or sent again.
func (m *membership) isSendDue(now Micros) bool {
	return now-m.sentAt >= m.settings.retryInterval()
}

// attach returns the message with the current members added to it.
func (m *membership) attach(message Message) Message {
	message.Members = m.current
	return message
}
