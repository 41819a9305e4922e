package election

// voteLog is the replicated log of decisions, of which a replica keeps the newest record. It decides whether a leader's own record is
// known to a quorum, from the acknowledgements. [voteCaster] appends to it; [leaderElection] passes on the records of
// all messages.
type voteLog struct {
	settings Settings

	newest       Record     // by any leader
	pending      Record     // of this replica as the leader, not cast yet; the zero value: none
	replicatedTo replicaSet // who knows the pending record
	sentAt       Micros     // when the pending record was last sent
	lastIndex    uint32
}

// learn remembers a record if it is the newest.
func (l *voteLog) learn(record Record) {
	if record.isNewerThan(l.newest) {
		l.newest = record
	}
}

// append makes a record that a quorum has to know before it is cast.
func (l *voteLog) append(leader int, record Record) {
	l.lastIndex++
	record.Index = l.lastIndex
	l.pending = record
	l.replicatedTo = newReplicaSet(leader)
	l.learn(record)
}

func (l *voteLog) hasPending() bool { return l.pending.Term != 0 }

// discardPending gives the pending record up. What was only replicated was never cast.
func (l *voteLog) discardPending() { l.pending = Record{} }

// acknowledge counts a replica that knows a record, if it is the pending one.
func (l *voteLog) acknowledge(from int, record Record) {
	if record == l.pending {
		l.replicatedTo = l.replicatedTo.with(from)
	}
}

func (l *voteLog) isReplicated(members Members) bool { return l.replicatedTo.isQuorumOf(members) }

// isSendDue reports whether the pending record has to be sent again.
func (l *voteLog) isSendDue(now Micros) bool { return now-l.sentAt >= l.settings.retryInterval() }
