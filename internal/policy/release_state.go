package policy

// establishTime is how long after its release a build becomes a part of the baseline.
const establishTime = 25 * second

// releaseState is what the parts of the release analyzer share: the rollout's state and the start of its stage.
type releaseState struct {
	*sharedState
	*rolloutState
	stageStartedAt Micros // start of the stage, or of this agent if that was later
}

// isEstablished reports whether the evaluation of the build ended more than establishTime ago, or before this agent started.
func (r *releaseState) isEstablished() bool {
	if r.phase == Evaluating {
		return false
	}
	return r.stageStartedAt <= r.startedAt || r.now-r.stageStartedAt > establishTime
}

// isBaselineBuild reports whether a build belongs to the baseline, with which the canary is compared.
func (r *releaseState) isBaselineBuild(build int) bool { return build < r.build || r.isEstablished() }
