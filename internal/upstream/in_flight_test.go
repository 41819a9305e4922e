package upstream

import "testing"

// Attempts that wait for a connection are found in the order of their requests, and each kind keeps the endpoint's goroutine.
func TestInFlight(t *testing.T) {
	flight := newInFlight()
	if !flight.isEmpty() {
		t.Error("a new one is not empty")
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
			t.Errorf("empty with %s", name)
		}
	}
}
