package policy

// rolloutState is what a component knows of the current rollout. The dispatcher and the analyzer keep one each: an update takes
// effect in a component when the component processes it.
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

// apply takes over an update and reports whether build, stage or phase have changed. The answer to a vote that failed tells
// nothing.
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
