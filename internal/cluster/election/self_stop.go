package election

// selfStop decides what a replica does on its own account while no leader is known: it stops this agent's requests to a build that its
// release analyzer wants rolled back, which is the safe direction. [Replica] calls update at the end of each call.
type selfStop struct {
	stopped Decision // the rollback for which requests are stopped; the zero value: none
}

// update returns the command to stop or to resume, and whether there is one. A leader that appears does not lift the stop: it will
// roll the build back, or this replica's analyzer comes to ask for something else.
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
