package policy

// rolloutState is what a component knows about the current rollout. The dispatcher and the analyzer keep one each, so that an
// update takes effect in a component when the component processes it.
type rolloutState struct {
	plan       RolloutPlan
	build      int
	stage      int
	phase      Phase
	trafficCap float64
	rolledBack map[int]bool // by build
}

func newRolloutState(plan RolloutPlan) *rolloutState {
	return &rolloutState{rolledBack: map[int]bool{}, plan: plan}
}

// apply applies an update and reports whether build, stage or phase have changed. It ignores the reply to a failed vote, because
// such a reply does not hold the rollout's state.
func (s *rolloutState) apply(update RolloutUpdate) bool {
	if update.IsVoteReply && update.Outcome != OK {
		return false
	}
	hasChanged := update.Build != s.build || update.Stage != s.stage || update.Phase != s.phase
	s.build = update.Build
	s.stage = update.Stage
	s.phase = update.Phase
	s.trafficCap = update.Cap
	s.rolledBack[update.Build] = update.Phase == RollingBack || update.Phase == RolledBack
	return hasChanged
}

func (s *rolloutState) isLastStage() bool { return s.stage == len(s.plan.Caps)-1 }
