package policy

import "testing"

// TestStateStaysBounded checks that the router does not accumulate records of keys, requests and endpoints where each key is
// new and endpoints come and go.
func TestStateStaysBounded(t *testing.T) {
	r := New(Config{
		Instance:      Instance{Agents: 3, Seed: 7, KeyAffinity: true},
		Classes:       []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}},
		RolloutPlan:   RolloutPlan{Caps: []float64{1}},
		ExposureLimit: ExposureLimit{Window: second},
		RetryLimits:   RetryLimits{MaxAttempts: 3},
	}).(*router)
	most := 0
	for id := range uint64(20000) {
		now := Micros(id) * millisecond
		if id%10 == 0 {
			endpoint := Endpoint{ID: uint32(id), Build: 1, State: Ready, Weight: 1}
			r.Handle(now, EndpointUpdate{Full: true, Endpoints: []Endpoint{endpoint}})
		}
		arrived := RequestArrived{ID: id, Key: id + 1, CostHint: 10 * millisecond, Deadline: now + 3*second}
		for _, command := range r.Handle(now, arrived) {
			if attempt, isAttempt := command.(SendAttempt); isAttempt {
				r.Handle(now, AttemptResult{
					RequestID: id, EndpointID: attempt.EndpointID, Outcome: OK, Elapsed: 10 * millisecond, RequestDone: true,
				})
			}
		}
		r.Handle(now, TimerFired{})
		if id > 10000 {
			keys := len(r.dispatcher.placement.usages.recent) + len(r.dispatcher.placement.usages.previous)
			endpoints := len(r.endpoints.all) + len(r.endpoints.byID)
			most = max(most, keys+endpoints+len(r.dispatcher.requests))
		}
	}
	if most > 1000 {
		t.Errorf("records kept: got up to %d, want at most 1000", most)
	}
}
