package policy

import "testing"

func newTestGuard(plan RolloutPlan) *exposureGuard {
	guard := newExposureGuard(&sharedState{}, newRolloutState(plan), Config{
		Classes:       []RequestClass{{Idempotency: Idempotent}, {Idempotency: NonIdempotent}},
		ExposureLimit: ExposureLimit{Window: 4 * second, Allowance: 1},
	})
	guard.rollout.apply(RolloutUpdate{Build: 2, Stage: 0, Phase: Evaluating, Cap: 0.5})
	return guard
}

func TestExposureIsWithinCapAndAllowance(t *testing.T) {
	guard := newTestGuard(RolloutPlan{Caps: []float64{0.5, 1}})
	req := &request{}
	if !guard.mayUse(req, 2) {
		t.Error("mayUse is false for the first attempt, want true within an allowance of one")
	}
	guard.recordAttempt(0, 2)
	if guard.mayUse(req, 2) {
		t.Error("mayUse is true for a second attempt without any request, want false at an allowance of one")
	}
	if !guard.mayUse(req, 1) {
		t.Error("mayUse is false for an earlier build, want no limit on its exposure")
	}
	for range 3 {
		guard.recordRequest(0)
	}
	if !guard.mayUse(req, 2) {
		t.Error("mayUse is false for a second attempt after three requests, want true at a cap of one half")
	}
}

func TestUnannouncedBuildIsBoundAsInTheFirstStage(t *testing.T) {
	guard := newTestGuard(RolloutPlan{Caps: []float64{0, 1}, GuardedStages: 1})
	if guard.mayUse(&request{}, 3) {
		t.Error("mayUse is true for a build that was not announced, want false at the first stage's cap of 0")
	}
	guard = newTestGuard(RolloutPlan{Caps: []float64{1, 1}, GuardedStages: 1})
	if !guard.mayUse(&request{}, 3) {
		t.Error("mayUse is false for an idempotent request in a guarded stage, want true")
	}
	if guard.mayUse(&request{RequestArrived: RequestArrived{Class: 1}}, 3) {
		t.Error("mayUse is true for a non-idempotent request in a guarded stage, want false")
	}
}

func TestKeyGoesBackToNoEarlierBuild(t *testing.T) {
	guard := newTestGuard(RolloutPlan{Caps: []float64{1, 1}, KeysNeverGoBack: true})
	req := &request{RequestArrived: RequestArrived{Key: 9}}
	guard.bindKey(9, 2)
	guard.bindKey(9, 1)
	if guard.mayUse(req, 1) {
		t.Error("mayUse is true for build 1 and a key that build 2 answered, want false")
	}
	guard.rollout.apply(RolloutUpdate{Build: 2, Phase: RollingBack})
	if !guard.mayUse(req, 1) {
		t.Error("mayUse is false for build 1 and a key that build 2 answered, want true while build 2 is rolled back")
	}
}
