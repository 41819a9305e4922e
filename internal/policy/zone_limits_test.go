package policy

import "testing"

func TestZoneLimitFollowsLateResults(t *testing.T) {
	const minLimit = 5
	zone := &zoneState{limit: unlimitedAttempts, inFlight: 100}
	for range 1000 {
		zone.adjustLimit(true, minLimit)
	}
	if zone.limit != minLimit {
		t.Errorf("limit after late results only: got %v, want %v", zone.limit, minLimit)
	}
	if zone.isOpen() {
		t.Error("isOpen is true with 100 attempts in flight at the lowest limit, want false")
	}
	for range 1000 {
		zone.adjustLimit(false, minLimit)
	}
	if zone.limit != unlimitedAttempts {
		t.Errorf("limit after timely results only: got %v, want unlimitedAttempts", zone.limit)
	}
}

func TestZoneLimitIgnoresWhatTellsNothingOfLoad(t *testing.T) {
	limits := &zoneLimits{endpoints: &endpointSet{warmConcurrency: 1}, agents: 1}
	for _, outcome := range []Outcome{ServerError, NotAttempted, Malformed} {
		for range 100 {
			limits.update(0, attemptOutcome{AttemptResult: AttemptResult{Outcome: outcome}, latencyObjective: second})
		}
	}
	if got := limits.get(0).slowShare; got != 0 {
		t.Errorf("share of late results: got %v, want 0", got)
	}
}
