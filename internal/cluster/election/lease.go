package election

// lease is this replica's own lease of the leadership: its end, its term, and the members among which it was granted. The
// replica may act as the leader while its own clock has not reached the end of a lease that a quorum has accepted.
// [leaderElection] grants the lease, and ends it whenever another replica may lead. [Replica] checks the lease before any action
// that only a leader may take.
type lease struct {
	disabled DisabledGuards

	until   Micros  // end of the lease; 0: there is none
	members Members // members among which the lease was granted
	term    uint64  // the ballot that made the replica the leader; renewals do not change the term
}

// isGranted reports whether there is a lease. A lease that has run out still counts as granted until expire is called.
func (l *lease) isGranted() bool { return l.until > 0 }

// isValid reports whether the replica leads at now.
func (l *lease) isValid(now Micros) bool {
	return now < l.until || l.disabled.LeaseTimeout && l.isGranted()
}

func (l *lease) remaining(now Micros) Micros { return max(0, l.until-now) }

// currentTerm returns the term of the lease, or 0 without a lease.
func (l *lease) currentTerm() uint64 {
	if !l.isGranted() {
		return 0
	}
	return l.term
}

// grant begins or renews the lease. It does not change the term; see [lease.startTerm].
func (l *lease) grant(until Micros, members Members) {
	l.until = until
	l.members = members
}

func (l *lease) startTerm(ballot uint64) { l.term = ballot }

// release gives the lease up.
func (l *lease) release() { l.until = 0 }

// revoke ends the lease because another replica may lead by now.
func (l *lease) revoke() {
	if !l.disabled.LeaseTimeout {
		l.release()
	}
}

// expire ends a lease that has run out, and reports whether there was one.
func (l *lease) expire(now Micros) bool {
	if !l.isGranted() || now < l.until || l.disabled.LeaseTimeout {
		return false
	}
	l.release()
	return true
}

// allowsWriteBefore reports whether a vote that has to be written before deadline may still be written.
func (l *lease) allowsWriteBefore(deadline, now Micros) bool {
	return now < deadline || l.disabled.LeaseTimeout
}
