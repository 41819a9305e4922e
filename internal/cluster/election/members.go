package election

import "math/bits"

// MaxReplicas is the maximum number of replicas. Their IDs are 0 to MaxReplicas-1.
const MaxReplicas = 64

// noReplica is used in place of a replica's ID when there is no replica.
const noReplica = -1

// Members is the set of replicas that take part in the quorums. The leader that changes the members stamps them with its term. A
// replica puts newer members in force as soon as it receives them.
type Members struct {
	Term    uint64
	Version uint32 // number of this set of members among those stamped in the same term, from 1
	Mask    uint64 // bit i is set if the replica with ID i is a member
}

// InitialMembers returns the members before any change: the replicas with IDs below count.
func InitialMembers(count int) Members { return Members{Mask: 1<<count - 1} }

// Contains reports whether a replica is a member.
func (m Members) Contains(replica int) bool {
	return replica >= 0 && replica < MaxReplicas && m.Mask>>replica&1 == 1
}

// Count returns how many members there are.
func (m Members) Count() int { return bits.OnesCount64(m.Mask) }

func (m Members) isNewerThan(other Members) bool { return m.revision().isAfter(other.revision()) }

func (m Members) revision() revision { return revision{m.Term, m.Version} }

// next returns the member with the next higher ID after the replica, and wraps around to the lowest ID. Without another member,
// next returns the replica itself.
func (m Members) next(after int) int {
	for i := 1; i <= MaxReplicas; i++ {
		if candidate := (after + i) % MaxReplicas; m.Contains(candidate) {
			return candidate
		}
	}
	return after
}

// without returns the members that are not in others.
func (m Members) without(others Members) Members {
	m.Mask &^= others.Mask
	return m
}
