package config

import "switchfork/internal/policy"

// rolloutPlan is in which stages a new build replaces the earlier one.
func (s *Settings) rolloutPlan() policy.RolloutPlan {
	return policy.RolloutPlan{
		Caps:            s.figureList(keyStageCaps),
		Shares:          s.figureList(keyStageShares),
		GuardedStages:   s.integer(keyGuardedStages),
		KeysNeverGoBack: s.boolean(keyKeysNeverGoBack),
		ReplacesInPlace: enum(s.keyValues, keyReplacement, map[string]bool{"in_place": true, "beside": false}),
	}
}

// exposureLimit bounds the attempts at a build that is in evaluation.
func (s *Settings) exposureLimit() policy.ExposureLimit {
	return policy.ExposureLimit{
		Window:    s.micros(keyExposureWindow),
		Allowance: s.figure(keyExposureAllowance),
		PerClass:  enum(s.keyValues, keyExposureScope, map[string]bool{"class": true, "all": false}),
	}
}
