package election

import "math/bits"

// replicaSet is a set of replicas, such as those that have acknowledged a record. Bit i is set if the set contains the replica
// with ID i.
type replicaSet uint64

func newReplicaSet(replica int) replicaSet { return replicaSet(0).with(replica) }

// with returns the set with a replica added.
func (s replicaSet) with(replica int) replicaSet { return s | 1<<replica }

// isQuorumOf reports whether the set holds more than half of the members.
func (s replicaSet) isQuorumOf(members Members) bool {
	return 2*bits.OnesCount64(uint64(s)&members.Mask) > members.Count()
}
