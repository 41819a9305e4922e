package upstream

import (
	"maps"
	"slices"
)

// inFlight counts what has to end before a removed endpoint's goroutine may: attempts, health checks and dials. It belongs to the worker's
// goroutine.
type inFlight struct {
	attempts     map[uint64]*httpExchange // by request
	healthChecks int
	dials        int
}

func newInFlight() inFlight { return inFlight{attempts: map[uint64]*httpExchange{}} }

func (f *inFlight) isEmpty() bool { return len(f.attempts) == 0 && f.healthChecks == 0 && f.dials == 0 }

// unconnectedAttempts returns the attempts that wait for a connection, in the order of their requests.
func (f *inFlight) unconnectedAttempts() []*httpExchange {
	var unconnected []*httpExchange
	for _, id := range slices.Sorted(maps.Keys(f.attempts)) {
		if exchange := f.attempts[id]; exchange.connection == nil {
			unconnected = append(unconnected, exchange)
		}
	}
	return unconnected
}
