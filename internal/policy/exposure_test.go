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
		t.Error("the allowance does not take the first attempt")
	}
	guard.recordAttempt(0, 2)
	if guard.mayUse(req, 2) {
		t.Error("a second attempt fits an allowance of one without any request")
	}
	if !guard.mayUse(req, 1) {
		t.Error("the exposure of an earlier build is limited")
	}
	for range 3 {
		guard.recordRequest(0)
	}
	if !guard.mayUse(req, 2) {
		t.Error("a second attempt does not fit half of three requests")
	}
}

func TestUnannouncedBuildIsBoundAsInTheFirstStage(t *testing.T) {
	guard := newTestGuard(RolloutPlan{Caps: []float64{0, 1}, GuardedStages: 1})
	if guard.mayUse(&request{}, 3) {
		t.Error("a build that was not announced may be used above the first stage's cap of 0")
	}
	guard = newTestGuard(RolloutPlan{Caps: []float64{1, 1}, GuardedStages: 1})
	if !guard.mayUse(&request{}, 3) {
		t.Error("an idempotent request may not use a guarded stage")
	}
	if guard.mayUse(&request{RequestArrived: RequestArrived{Class: 1}}, 3) {
		t.Error("a non-idempotent request may use a guarded stage")
	}
}

func TestKeyGoesBackToNoEarlierBuild(t *testing.T) {
	guard := newTestGuard(RolloutPlan{Caps: []float64{1, 1}, KeysNeverGoBack: true})
	req := &request{RequestArrived: RequestArrived{Key: 9}}
	guard.bindKey(9, 2)
	guard.bindKey(9, 1)
	if guard.mayUse(req, 1) {
		t.Error("a key that build 2 answered may go to build 1")
	}
	guard.rollout.apply(RolloutUpdate{Build: 2, Phase: RollingBack})
	if !guard.mayUse(req, 1) {
		t.Error("a key may not leave a build that is rolled back")
	}
}
