package policy

import "testing"

// BenchmarkRequest measures a request from its arrival to its answer: the choice among 75 warm endpoints and the processing of
// the result.
func BenchmarkRequest(b *testing.B) {
	const (
		endpointCount = 75
		interval      = 2 * millisecond
		work          = 10 * millisecond
	)
	router := New(Config{
		Instance:      Instance{Agents: 3, Seed: 7, KeyAffinity: true, HasWeights: true},
		Classes:       []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}},
		RolloutPlan:   RolloutPlan{Caps: []float64{0.1, 1}},
		VotingRules:   VotingRules{CallsPerSecond: 1, VoteLifetime: 4 * second},
		ExposureLimit: ExposureLimit{Window: 4 * second, Allowance: 3},
		SlowStart:     SlowStart{InitialCapacity: 0.3, Duration: 5 * second, OverloadMultiple: 2, OverloadAfter: second},
		RetryLimits:   RetryLimits{MaxAttempts: 3},
	})
	var endpoints []Endpoint
	for id := range uint32(endpointCount) {
		endpoints = append(endpoints, Endpoint{ID: id + 1, Build: 1, State: Ready, Weight: 1})
	}
	router.Handle(0, EndpointUpdate{Full: true, Endpoints: endpoints})
	router.Handle(0, RolloutUpdate{Build: 1, Stage: 1, Phase: Released, Cap: 1, Age: 100 * second})
	id := uint64(0)
	for b.Loop() {
		id++
		now := Micros(id) * interval
		arrived := RequestArrived{ID: id, Key: id % 1000, CostHint: work, Deadline: now + 3*second}
		for _, command := range router.Handle(now, arrived) {
			if attempt, isAttempt := command.(SendAttempt); isAttempt {
				router.Handle(now+work, AttemptResult{
					RequestID: id, EndpointID: attempt.EndpointID, Outcome: OK, Elapsed: work, RequestDone: true,
				})
			}
		}
	}
}
