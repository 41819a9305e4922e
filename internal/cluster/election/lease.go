package election

// lease is the leadership that this replica holds: until when, in which term, and among which members. It decides whether the
// replica may act as the leader at a time, from what a quorum has accepted and from this replica's own clock. [leaderElection]
// grants it, and ends it whenever another replica may lead; [Replica] asks it before anything that only a leader does.
type lease struct {
	disabled DisabledGuards

	until   Micros  // 0: there is none
	members Members // among whom it was granted
	term    uint64  // the ballot by which the leadership was got; renewals keep it
}

// isGranted reports whether there is a lease, whose end may have gone by unnoticed.
func (l *lease) isGranted() bool { return l.until > 0 }

// isValid reports whether the replica leads.
func (l *lease) isValid(now Micros) bool {
	return now < l.until || l.disabled.LeaseTimeout && l.isGranted()
}

func (l *lease) remaining(now Micros) Micros { return max(0, l.until-now) }

// currentTerm returns the term of the lease; 0 without one.
func (l *lease) currentTerm() uint64 {
	if !l.isGranted() {
		return 0
	}
	return l.term
}

// grant begins or renews the lease. A renewal leaves the term as it is; [lease.startTerm] changes it.
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

// expire ends a lease whose time is over, and reports whether there was one.
func (l *lease) expire(now Micros) bool {
	if !l.isGranted() || now < l.until || l.disabled.LeaseTimeout {
		return false
	}
	l.release()
	return true
}

// allowsWriteBefore reports whether a vote that has to be written before a time can still be.
func (l *lease) allowsWriteBefore(deadline, now Micros) bool {
	return now < deadline || l.disabled.LeaseTimeout
}
