package config

import "switchfork/internal/policy"

// slowStart reads how much load an endpoint can take while it warms up, and when an endpoint counts as overloaded.
func (s *Settings) slowStart() policy.SlowStart {
	return policy.SlowStart{
		InitialCapacity:  s.nonNegative(keyInitialCapacity),
		Duration:         s.micros(keySlowStartDuration),
		OverloadMultiple: s.nonNegative(keyOverloadMultiple),
		OverloadAfter:    s.micros(keyOverloadAfter),
	}
}

// retryLimits reads the limits on a request's attempts and on the Retry-After of a rejection. MaxRetryAfter is 0 if clients
// do not honor Retry-After.
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

// capabilities reads what the deployment lets an agent do.
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

// costWeights reads the costs of actions. Costs that are not configured are 0.
func (s *Settings) costWeights() policy.CostWeights {
	return policy.CostWeights{
		CrossZone:   s.nonNegativeOrDefault(keyCrossZoneCost, 0),
		Waste:       s.nonNegativeOrDefault(keyWasteCost, 0),
		HealthCheck: s.nonNegativeOrDefault(keyHealthCheckCost, 0),
		Gossip:      s.nonNegativeOrDefault(keyGossipCost, 0),
	}
}
