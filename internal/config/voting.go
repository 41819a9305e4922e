package config

import "switchfork/internal/policy"

// votingTimer is the rule under which a timer advances the stages, without votes.
const votingTimer = "timer"

// Voting holds the number of agents that vote on rollouts, and the rules by which their votes are counted.
type Voting struct {
	Index           int // this agent's index
	Agents          int
	Rule            policy.VotingRule
	VotesToAdvance  int
	VotesToRollback int
	CallTimeout     policy.Micros
	VoteLifetime    policy.Micros
}

// Voting reads the voting rules. NewRouter reads the same keys and returns their errors.
func (s *Settings) Voting() Voting {
	return Voting{
		Index:           s.integer(keyAgentIndex),
		Agents:          s.integer(keyAgentCount),
		VotesToAdvance:  s.integer(keyVotesToAdvance),
		VotesToRollback: s.integer(keyVotesToRollback),
		CallTimeout:     s.micros(keyCallTimeout),
		VoteLifetime:    s.micros(keyVoteLifetime),
		Rule:            s.votingRule(),
	}
}

func (s *Settings) votingRule() policy.VotingRule {
	return enum(s.keyValues, keyVotingRule, map[string]policy.VotingRule{
		"any":       policy.AnyVote,
		"share":     policy.VoteShare,
		votingTimer: policy.TimedStages,
	})
}

func (s *Settings) votingRules() policy.VotingRules {
	return policy.VotingRules{
		VoteLifetime:    s.micros(keyVoteLifetime),
		CallTimeout:     s.micros(keyCallTimeout),
		CallsPerSecond:  s.nonNegative(keyCallsPerSecond),
		VotesToAdvance:  s.integer(keyVotesToAdvance),
		VotesToRollback: s.integer(keyVotesToRollback),
		Rule:            s.votingRule(),
		MetricsInterval: s.metricsInterval(),
	}
}

// metricsInterval reads how often the rollout controller sends its metrics reports. It returns 0 if none are sent.
func (s *Settings) metricsInterval() policy.Micros {
	var interval policy.Micros
	if s.isSet(keyMetricsInterval) {
		interval = s.micros(keyMetricsInterval)
	}
	sample := s.nonNegativeOrDefault(keyMetricsSample, 0)
	if sample < 0 || sample > 1 {
		s.recordError(keyMetricsSample, "is %v, expected a share from 0 to 1", sample)
	}
	if interval > 0 && sample == 0 {
		s.recordError(keyMetricsSample, "is 0, but %s%s is %v: the metrics reports would count nothing; expected more than 0", s.prefix, keyMetricsInterval, interval/microsPerMillis)
	}
	return interval
}
