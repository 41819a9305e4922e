package config

import "switchfork/internal/policy"

// NewRouter creates the policy's router for this deployment. Every key that the router needs is checked; the error
// names the first one at fault.
//
// The sections are read in a fixed order, since it decides which of several faults is reported.
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
		s.recordError(keyCallsPerSecond, "is %v, no rate of calls a second", callRate)
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
		s.recordError(keyAgentCount, "is %d; there is one agent at least, this one", instance.Agents)
	}
	if instance.Index >= instance.Agents {
		s.recordError(keyAgentIndex, "is %d of %d agents", instance.Index, instance.Agents)
	}
}

// checkContradictions rejects keys of which one promises what another one rules out. Such settings come from mixing
// the configurations of two deployments.
func (s *Settings) checkContradictions() {
	mode := s.values[keyLoadReportMode]
	needsHealthChecks := mode == loadReportsOnHealthCheck || mode == loadReportsWithHealthCheck
	if needsHealthChecks && s.isSet(keyHealthChecks) && !s.boolean(keyHealthChecks) {
		s.recordError(keyLoadReportMode, "is %q, but %s%s is false: no report would come; expected inline or off",
			mode, s.prefix, keyHealthChecks)
	}
	if s.hasLoadReports() && len(s.textList(keyLoadReportFields)) == 0 {
		s.recordError(keyLoadReportFields, "names no figure, but %s%s is %q", s.prefix, keyLoadReportMode, mode)
	}
	if attempts := s.integer(keyMaxAttempts); s.boolean(keyHedging) && attempts < 2 {
		s.recordError(keyHedging, "is true, but %s%s is %d: there is no hedged request", s.prefix, keyMaxAttempts, attempts)
	}
	if s.values[keyVotingRule] == votingTimer && s.figureOrDefault(keyVotesToAdvance, 0) > 0 {
		s.recordError(keyVotesToAdvance, "is %v, but %s%s is timer: no vote moves a stage on",
			s.values[keyVotesToAdvance], s.prefix, keyVotingRule)
	}
}
