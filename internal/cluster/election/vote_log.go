package election

// voteLog is the replicated log of decisions. A replica keeps only the newest record. The log decides from the acknowledgements
// whether a quorum knows a leader's own record. [voteCaster] appends to it, and [leaderElection] passes on the records of all
// messages.
type voteLog struct {
	settings Settings

	newest       Record     // the newest known record of any leader
	pending      Record     // record of this replica as the leader, not cast yet; the zero value: none
	replicatedTo replicaSet // replicas that know the pending record
	sentAt       Micros     // when the pending record was last sent
	lastIndex    uint32
}

// learn keeps a record if it is newer than the newest one known.
func (l *voteLog) learn(record Record) {
	if record.isNewerThan(l.newest) {
		l.newest = record
	}
}

// append gives a record the next index and makes it the pending one. A quorum has to know it before it is cast.
func (l *voteLog) append(leader int, record Record) {
	l.lastIndex++
	record.Index = l.lastIndex
	l.pending = record
	l.replicatedTo = newReplicaSet(leader)
	l.learn(record)
}

func (l *voteLog) hasPending() bool { return l.pending.Term != 0 }

// discardPending drops the pending record. If it has not been cast by then, it never will be.
func (l *voteLog) discardPending() { l.pending = Record{} }

// acknowledge counts a replica that knows a record, if the record is the pending one.
func (l *voteLog) acknowledge(from int, record Record) {
	if record == l.pending {
		l.replicatedTo = l.replicatedTo.with(from)
	}
}

func (l *voteLog) isReplicated(members Members) bool { return l.replicatedTo.isQuorumOf(members) }

// isSendDue reports whether the pending record has to be sent again.
func (l *voteLog) isSendDue(now Micros) bool { return now-l.sentAt >= l.settings.retryInterval() }
