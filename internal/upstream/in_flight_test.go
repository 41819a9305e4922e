package upstream

import "testing"

// Attempts that wait for a connection are returned sorted by request ID. An attempt, a health check or a dial alone counts as in flight.
func TestInFlight(t *testing.T) {
	flight := newInFlight()
	if !flight.isEmpty() {
		t.Error("a new inFlight is not empty")
	}
	for _, id := range []uint64{9, 3, 7, 5} {
		flight.attempts[id] = &httpExchange{Attempt: Attempt{RequestID: id}}
	}
	flight.attempts[7].connection = &connection{}
	var ids []uint64
	for _, exchange := range flight.unconnectedAttempts() {
		ids = append(ids, exchange.RequestID)
	}
	if len(ids) != 3 || ids[0] != 3 || ids[1] != 5 || ids[2] != 9 {
		t.Errorf("unconnected: %v, want 3, 5 and 9", ids)
	}
	for name, flight := range map[string]inFlight{
		"an attempt":     {attempts: map[uint64]*httpExchange{1: {}}},
		"a health check": {healthChecks: 1},
		"a dial":         {dials: 1},
	} {
		if flight.isEmpty() {
			t.Errorf("reported as empty with %s in flight", name)
		}
	}
}
