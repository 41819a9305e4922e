package election

import "math/bits"

// replicaSet is a set of replicas, such as those that have acknowledged something: one bit a replica, by its number.
type replicaSet uint64

func newReplicaSet(replica int) replicaSet { return replicaSet(0).with(replica) }

// with returns the set with one replica more.
func (s replicaSet) with(replica int) replicaSet { return s | 1<<replica }

// isQuorumOf reports whether the set holds more than half of the members.
func (s replicaSet) isQuorumOf(members Members) bool {
	return 2*bits.OnesCount64(uint64(s)&members.Mask) > members.Count()
}
