package config

import "switchfork/internal/policy"

// votingTimer is the rule under which stages advance by themselves.
const votingTimer = "timer"

// Voting is how votes on a rollout are counted, and by how many agents they are cast.
type Voting struct {
	Index           int // this agent's own
	Agents          int
	Rule            policy.VotingRule
	VotesToAdvance  int
	VotesToRollback int
	CallTimeout     policy.Micros
	VoteLifetime    policy.Micros
}

// Voting reads the rules of votes. Their faults are reported by NewRouter, which reads the same keys.
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
		CallsPerSecond:  s.figure(keyCallsPerSecond),
		VotesToAdvance:  s.integer(keyVotesToAdvance),
		VotesToRollback: s.integer(keyVotesToRollback),
		Rule:            s.votingRule(),
		MetricsInterval: s.metricsInterval(),
	}
}

// metricsInterval is how often the rollout controller sends its metrics reports; 0 where it sends none.
func (s *Settings) metricsInterval() policy.Micros {
	var interval policy.Micros
	if s.isSet(keyMetricsInterval) {
		interval = s.micros(keyMetricsInterval)
	}
	sample := s.figureOrDefault(keyMetricsSample, 0)
	if sample < 0 || sample > 1 {
		s.recordError(keyMetricsSample, "is %v, not a share from 0 to 1", sample)
	}
	if interval > 0 && sample == 0 {
		s.recordError(keyMetricsSample, "is 0, but %s%s is %v: counts of nothing", s.prefix, keyMetricsInterval, interval/microsPerMillis)
	}
	return interval
}
