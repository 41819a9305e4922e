package faulttest

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// Request classes of a scenario, as fakes.AgentConfig configures them.
const (
	classIdempotent    = "lookup"
	classKeyed         = "posting" // idempotent because of its idempotency key
	classNonIdempotent = "fee"     // must never run twice
)

// notRun is Arrival.RanAt of a request that did not run.
const notRun netfault.Micros = -1

// noAgent is Arrival.Agent of a request that came through no relay.
const noAgent = -1

// endpointRecorder observes all endpoints. It records the requests that they receive, and deduplicates keyed requests across all endpoints.
type endpointRecorder struct {
	now      netfault.Clock
	mu       sync.Mutex
	arrivals []*Arrival
	lastRun  map[string]netfault.Micros // time of the last run, by idempotency key
}

func newEndpointRecorder(now netfault.Clock) *endpointRecorder {
	return &endpointRecorder{now: now, lastRun: map[string]netfault.Micros{}}
}

// RequestArrived implements the observer of fakes.Endpoint.
func (r *endpointRecorder) RequestArrived(e *fakes.Endpoint, request *http.Request) any {
	number, _ := strconv.Atoi(strings.TrimPrefix(e.Name, endpointNamePrefix)) // the deployment names endpoints by their numbers
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	a := &Arrival{
		At: r.now(), Endpoint: number, Build: e.Build, Agent: noAgent, Class: class, RanAt: notRun,
		ID: request.Header.Get("X-Request-Id"), Key: request.Header.Get("Idempotency-Key"),
	}
	if conn := countedConnOf(request); conn != nil {
		a.Agent, a.conn, a.StreamOffset = conn.agent, conn, conn.requestStart.Load()
	}
	if class == classNonIdempotent {
		a.Key = request.URL.Query().Get("sid")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	return a
}

// RequestRuns implements the observer of fakes.Endpoint. It returns false to drop the request as a duplicate.
func (r *endpointRecorder) RequestRuns(_ *fakes.Endpoint, arrived any) bool {
	a, now := arrived.(*Arrival), r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Class == classKeyed {
		ranAt, hasRun := r.lastRun[a.Key]
		if hasRun && now-ranAt < fakes.DedupWindow.Microseconds() {
			a.WasDeduplicated = true
			return false
		}
		r.lastRun[a.Key] = now
	}
	a.RanAt = now
	return true
}

func (r *endpointRecorder) snapshot() (out []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		out = append(out, *a)
	}
	return out
}
