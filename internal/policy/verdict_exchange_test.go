package policy

import "testing"

// newTestVerdictExchange returns an exchange for a release of build 2 in stage 1, in a fleet with evaluators.
func newTestVerdictExchange() *verdictExchange {
	shared := &sharedState{now: 100 * second}
	group := newEvaluatorGroup(shared, Config{
		Instance: Instance{Agents: 50}, Capabilities: Capabilities{Gossip: true},
	})
	state := newRolloutState(RolloutPlan{Caps: []float64{0.1, 0.5, 1}})
	state.build, state.stage = 2, 1
	return newVerdictExchange(&releaseState{sharedState: shared, rolloutState: state}, group)
}

func TestMajorityOfEvaluators(t *testing.T) {
	for _, c := range []struct {
		name        string
		verdict     peerVerdict
		count       int
		hasMajority bool
	}{
		{"three of five", peerVerdict{build: 2, stage: 1, verdict: Advance, receivedAt: 99 * second}, 3, true},
		{"two of five", peerVerdict{build: 2, stage: 1, verdict: Advance, receivedAt: 99 * second}, 2, false},
		{"too old", peerVerdict{build: 2, stage: 1, verdict: Advance, receivedAt: 97 * second}, 5, false},
		{"of another stage", peerVerdict{build: 2, stage: 0, verdict: Advance, receivedAt: 99 * second}, 5, false},
		{"rollback of another stage", peerVerdict{build: 2, stage: 0, verdict: Rollback, receivedAt: 99 * second}, 5, true},
		{"of another build", peerVerdict{build: 3, stage: 1, verdict: Rollback, receivedAt: 99 * second}, 5, false},
		{"unknown", peerVerdict{build: 2, stage: 1, verdict: Rollback + 1, receivedAt: 99 * second}, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			exchange := newTestVerdictExchange()
			for _, member := range exchange.evaluators.members[:c.count] {
				c.verdict.from = member
				exchange.receive(c.verdict)
			}
			got, hasMajority := exchange.majority()
			if hasMajority != c.hasMajority || hasMajority && got != c.verdict.verdict {
				t.Errorf("majority() = %v, %v; want %v, %v", got, hasMajority, c.verdict.verdict, c.hasMajority)
			}
		})
	}
}

func TestVerdictsOfOtherAgentsDoNotCount(t *testing.T) {
	exchange := newTestVerdictExchange()
	for agent := range exchange.evaluators.agentCount {
		if exchange.evaluators.isEvaluator(agent) {
			continue
		}
		exchange.receive(peerVerdict{from: agent, build: 2, stage: 1, verdict: Rollback, receivedAt: 99 * second})
	}
	if verdict, hasMajority := exchange.majority(); hasMajority {
		t.Errorf("agents that are not evaluators reach a majority for verdict %v, want none", verdict)
	}
}
