package upstream

import (
	"maps"
	"slices"
)

// inFlight tracks the attempts, health checks and dials that have to end before the goroutine of a removed endpoint ends. Only the worker's
// goroutine uses it.
type inFlight struct {
	attempts     map[uint64]*httpExchange // by request ID
	healthChecks int
	dials        int
}

func newInFlight() inFlight { return inFlight{attempts: map[uint64]*httpExchange{}} }

func (f *inFlight) isEmpty() bool { return len(f.attempts) == 0 && f.healthChecks == 0 && f.dials == 0 }

// unconnectedAttempts returns the attempts that wait for a connection, sorted by request ID.
func (f *inFlight) unconnectedAttempts() []*httpExchange {
	var unconnected []*httpExchange
	for _, id := range slices.Sorted(maps.Keys(f.attempts)) {
		if exchange := f.attempts[id]; exchange.connection == nil {
			unconnected = append(unconnected, exchange)
		}
	}
	return unconnected
}
