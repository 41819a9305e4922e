package faulttest

import (
	"slices"
	"sync"
	"sync/atomic"

	"switchfork/internal/faulttest/netfault"
)

// clientRecords holds what the clients of a run recorded. It may be used from several goroutines.
type clientRecords struct {
	now                 netfault.Clock
	connsWithExtraBytes atomic.Int64 // number of idle connections on which bytes arrived
	droppedRequests     atomic.Int64 // number of attempts not sent for lack of a connection slot; more than 0 means that the scenario's load is too high

	mu         sync.Mutex
	requests   []*Request
	closeRaces []CloseRace
}

// newRequest records a new request of a client to an agent.
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

// finish records the outcome of a request. The request meets the latency objective if it succeeded and its last attempt ended no
// later than latencyObjective after since.
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

// snapshotRequests returns copies of the requests recorded so far, including unfinished ones.
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
