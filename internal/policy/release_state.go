package policy

// establishTime is how long after its release a build becomes a part of the baseline.
const establishTime = 25 * second

// releaseState is what the parts of the release analyzer share: the rollout's state, and since when its stage runs.
type releaseState struct {
	*sharedState
	*rolloutState
	stageStartedAt Micros // or this agent's start, if that was later
}

// isEstablished reports whether the release has been out for a while, or since before this agent started.
func (r *releaseState) isEstablished() bool {
	if r.phase == Evaluating {
		return false
	}
	return r.stageStartedAt <= r.startedAt || r.now-r.stageStartedAt > establishTime
}

// isBaselineBuild reports whether what a build does tells of what the canary is compared with.
func (r *releaseState) isBaselineBuild(build int) bool { return build < r.build || r.isEstablished() }
