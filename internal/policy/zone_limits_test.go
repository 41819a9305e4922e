package policy

import "testing"

func TestZoneLimitFollowsLateResults(t *testing.T) {
	const minLimit = 5
	zone := &zoneState{limit: unlimitedAttempts, inFlight: 100}
	for range 1000 {
		zone.adjustLimit(true, minLimit)
	}
	if zone.limit != minLimit {
		t.Errorf("after late results alone the limit is %v, want %v", zone.limit, minLimit)
	}
	if zone.isOpen() {
		t.Error("a zone with 100 attempts in flight is open at its lowest limit")
	}
	for range 1000 {
		zone.adjustLimit(false, minLimit)
	}
	if zone.limit != unlimitedAttempts {
		t.Errorf("after timely results alone the limit is %v, want none", zone.limit)
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
		t.Errorf("the share of late results is %v, want 0", got)
	}
}
