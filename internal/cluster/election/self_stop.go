package election

// selfStop decides whether this replica's agent stops its own requests to a build while no leader is known. The agent stops the
// requests if its release analyzer recommends a rollback of the build, because stopping is the safe direction. [Replica] calls
// update at the end of each call.
type selfStop struct {
	stopped Decision // the recommended rollback for which requests are stopped; the zero value: none
}

// update returns the command to stop or to resume, and whether there is such a command. A new leader does not end the stop:
// either the leader rolls the build back, or this replica's analyzer changes its recommendation.
func (s *selfStop) update(own Decision, wantsRollback, isLeaderKnown bool) (SelfStop, bool) {
	isStopped := s.stopped.Verdict != NoVote
	switch {
	case !isStopped && wantsRollback && !isLeaderKnown:
		s.stopped = own
		return SelfStop{Decision: own, Stop: true}, true
	case isStopped && !wantsRollback:
		ended := SelfStop{Decision: s.stopped, Stop: false}
		s.stopped = Decision{}
		return ended, true
	}
	return SelfStop{}, false
}
