package faulttest

import (
	"slices"
	"sync"
	"sync/atomic"

	"switchfork/internal/faulttest/netfault"
)

// clientRecords are what the clients of a run recorded. Any goroutine may use it.
type clientRecords struct {
	now                 netfault.Clock
	connsWithExtraBytes atomic.Int64 // on which bytes came behind a complete answer, while they were idle
	droppedRequests     atomic.Int64 // without a free connection slot: the scenario's own fault

	mu         sync.Mutex
	requests   []*Request
	closeRaces []CloseRace
}

// newRequest records that a client wants something of an agent.
func (r *clientRecords) newRequest(agent int) *Request {
	request := &Request{ArrivedAt: r.now(), Agent: agent}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	return request
}

func (r *clientRecords) addAttempt(request *Request, attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Attempts = append(request.Attempts, attempt)
}

// finish records the outcome of a request. It counts as in time if it succeeded within the latency objective since a time.
func (r *clientRecords) finish(request *Request, outcome string, since netfault.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Outcome = outcome
	request.MetObjective = outcome == outcomeSucceeded && request.lastAttempt().EndedAt-since <= latencyObjective.Microseconds()
}

func (r *clientRecords) addCloseRace(race CloseRace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeRaces = append(r.closeRaces, race)
}

func (r *clientRecords) snapshotCloseRaces() []CloseRace {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.closeRaces)
}

// snapshotRequests are the requests so far, as they stand.
func (r *clientRecords) snapshotRequests() (out []Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		copied := *request
		copied.Attempts = append([]Attempt(nil), request.Attempts...)
		out = append(out, copied)
	}
	return out
}
