package config

import "switchfork/internal/policy"

// slowStart is how much an endpoint takes while it warms up, and when it counts as overloaded.
func (s *Settings) slowStart() policy.SlowStart {
	return policy.SlowStart{
		InitialCapacity:  s.figure(keyInitialCapacity),
		Duration:         s.micros(keySlowStartDuration),
		OverloadMultiple: s.figure(keyOverloadMultiple),
		OverloadAfter:    s.micros(keyOverloadAfter),
	}
}

// retryLimits bound a request's attempts and the Retry-After of their rejections.
func (s *Settings) retryLimits() policy.RetryLimits {
	limits := policy.RetryLimits{
		DrainGrace:  s.micros(keyDrainGrace),
		AnswerGrace: s.micros(keyAnswerGrace),
		MaxAttempts: s.integer(keyMaxAttempts),
	}
	if s.boolean(keyRetryAfter) {
		limits.MaxRetryAfter = s.micros(keyMaxRetryAfter)
	}
	return limits
}

// capabilities are what the deployment lets an agent do.
func (s *Settings) capabilities() policy.Capabilities {
	return policy.Capabilities{
		HealthChecks: s.boolean(keyHealthChecks),
		Cancellation: s.boolean(keyCancellation),
		Gossip:       s.boolean(keyGossip),
		PollsEndpoints: enum(s.keyValues, keyDiscoveryMode, map[string]bool{
			discoverySubscribe: true,
			discoveryAutomatic: false,
		}),
	}
}

// costWeights are the costs of actions, 0 where none is configured.
func (s *Settings) costWeights() policy.CostWeights {
	return policy.CostWeights{
		CrossZone:   s.figureOrDefault(keyCrossZoneCost, 0),
		Waste:       s.figureOrDefault(keyWasteCost, 0),
		HealthCheck: s.figureOrDefault(keyHealthCheckCost, 0),
		Gossip:      s.figureOrDefault(keyGossipCost, 0),
	}
}
