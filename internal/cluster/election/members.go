package election

import "math/bits"

// MaxReplicas is how many replica numbers there are, from 0.
const MaxReplicas = 64

// noReplica stands for a replica's number where there is none.
const noReplica = -1

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

func (m Members) isNewerThan(other Members) bool { return m.revision().isAfter(other.revision()) }

func (m Members) revision() revision { return revision{m.Term, m.Version} }

// next returns the member after a replica, in turn; the replica itself where there is no other.
func (m Members) next(after int) int {
	for i := 1; i <= MaxReplicas; i++ {
		if candidate := (after + i) % MaxReplicas; m.Contains(candidate) {
			return candidate
		}
	}
	return after
}

// without returns the members that are not among others.
func (m Members) without(others Members) Members {
	m.Mask &^= others.Mask
	return m
}
