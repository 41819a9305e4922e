package config

import "switchfork/internal/policy"

// NewRouter creates the policy's router for this deployment. It checks every key that the router needs, and returns an
// error that names the first invalid key.
//
// The order in which the sections are read must stay fixed, because it determines which of several errors is returned.
func (s *Settings) NewRouter(seed uint64) (policy.Router, error) {
	instance := s.instance(seed)
	s.checkContradictions()
	s.checkInstance(instance)
	router := policy.Config{
		Instance:      instance,
		Classes:       s.policyClasses(),
		RolloutPlan:   s.rolloutPlan(),
		VotingRules:   s.votingRules(),
		ExposureLimit: s.exposureLimit(),
		SlowStart:     s.slowStart(),
		RetryLimits:   s.retryLimits(),
		Capabilities:  s.capabilities(),
		CostWeights:   s.costWeights(),
	}
	if callRate := router.VotingRules.CallsPerSecond; callRate <= 0 {
		s.recordError(keyCallsPerSecond, "is %v, expected more than 0 calls per second", callRate)
	}
	if s.err != nil {
		return nil, s.err
	}
	return policy.New(router), nil
}

func (s *Settings) instance(seed uint64) policy.Instance {
	return policy.Instance{
		Index:       s.integer(keyAgentIndex),
		Agents:      s.integer(keyAgentCount),
		Zone:        s.integer(keyZone),
		Seed:        int64(seed),
		KeyAffinity: s.boolean(keyKeyAffinity),
		HasWeights:  s.hasWeights(),
		LoadReport:  s.loadReportFormat(),
	}
}

func (s *Settings) checkInstance(instance policy.Instance) {
	if instance.Agents < 1 {
		s.recordError(keyAgentCount, "is %d, expected at least 1: this agent is counted", instance.Agents)
	}
	if instance.Index >= instance.Agents {
		s.recordError(keyAgentIndex, "is %d, expected an index below the number of agents, %d", instance.Index, instance.Agents)
	}
}

// checkContradictions rejects pairs of settings of which one requires what the other rules out. Such pairs arise when the
// configurations of two deployments are mixed.
func (s *Settings) checkContradictions() {
	mode := s.values[keyLoadReportMode]
	needsHealthChecks := mode == loadReportsOnHealthCheck || mode == loadReportsWithHealthCheck
	if needsHealthChecks && s.isSet(keyHealthChecks) && !s.boolean(keyHealthChecks) {
		s.recordError(keyLoadReportMode, "is %q, but %s%s is false: no load report would arrive; expected inline or off",
			mode, s.prefix, keyHealthChecks)
	}
	if s.hasLoadReports() && len(s.textList(keyLoadReportFields)) == 0 {
		s.recordError(keyLoadReportFields, "names no load report field, but %s%s is %q", s.prefix, keyLoadReportMode, mode)
	}
	if attempts := s.integer(keyMaxAttempts); s.boolean(keyHedging) && attempts < 2 {
		s.recordError(keyHedging, "is true, but %s%s is %d: hedging needs at least 2 attempts", s.prefix, keyMaxAttempts, attempts)
	}
	if s.values[keyVotingRule] == votingTimer && s.nonNegativeOrDefault(keyVotesToAdvance, 0) > 0 {
		s.recordError(keyVotesToAdvance, "is %v, but %s%s is timer: votes do not advance stages; expected 0",
			s.values[keyVotesToAdvance], s.prefix, keyVotingRule)
	}
}
