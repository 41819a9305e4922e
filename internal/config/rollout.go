package config

import "switchfork/internal/policy"

// rolloutPlan reads the stages in which a new build replaces the previous one.
func (s *Settings) rolloutPlan() policy.RolloutPlan {
	return policy.RolloutPlan{
		Caps:            s.nonNegativeList(keyStageCaps),
		Shares:          s.nonNegativeList(keyStageShares),
		GuardedStages:   s.integer(keyGuardedStages),
		KeysNeverGoBack: s.boolean(keyKeysNeverGoBack),
		ReplacesInPlace: enum(s.keyValues, keyReplacement, map[string]bool{"in_place": true, "beside": false}),
	}
}

// exposureLimit reads the limit on the attempts that are sent to a build under evaluation.
func (s *Settings) exposureLimit() policy.ExposureLimit {
	return policy.ExposureLimit{
		Window:    s.micros(keyExposureWindow),
		Allowance: s.nonNegative(keyExposureAllowance),
		PerClass:  enum(s.keyValues, keyExposureScope, map[string]bool{"class": true, "all": false}),
	}
}
