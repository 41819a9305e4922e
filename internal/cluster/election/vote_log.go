package election

// voteLog is the replicated log of decisions. A replica keeps only the newest record. On the leader, the log counts
// the acknowledgements of the pending record, to decide whether a quorum knows it. [voteCaster] appends records to the log, and
// [leaderElection] passes the records of all messages to the log.
type voteLog struct {
	settings Settings

	newest       Record     // the newest known record of any leader
	pending      Record     // record of a vote that this replica, as the leader, has not cast yet; the zero value: none
	replicatedTo replicaSet // replicas that know the pending record
	sentAt       Micros     // when the pending record was last sent
	lastIndex    uint32     // index of the last appended record
}

// learn keeps record if it is newer than the newest known record.
func (l *voteLog) learn(record Record) {
	if record.isNewerThan(l.newest) {
		l.newest = record
	}
}

// append gives record the next index and makes it the pending record. A quorum has to know the record before its vote is cast.
func (l *voteLog) append(leader int, record Record) {
	l.lastIndex++
	record.Index = l.lastIndex
	l.pending = record
	l.replicatedTo = newReplicaSet(leader)
	l.learn(record)
}

func (l *voteLog) hasPending() bool { return l.pending.Term != 0 }

// discardPending drops the pending record. If the vote of the record has not been cast yet, it is never cast.
func (l *voteLog) discardPending() { l.pending = Record{} }

// acknowledge records that replica from knows record. It has no effect unless record is the pending one.
func (l *voteLog) acknowledge(from int, record Record) {
	if record == l.pending {
		l.replicatedTo = l.replicatedTo.with(from)
	}
}

func (l *voteLog) isReplicated(members Members) bool { return l.replicatedTo.isQuorumOf(members) }

// isSendDue reports whether the pending record has to be sent again.
func (l *voteLog) isSendDue(now Micros) bool { return now-l.sentAt >= l.settings.retryInterval() }
