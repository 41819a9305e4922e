package policy

import "slices"

// request is a client's request that has no final answer yet, or whose last attempt has no result yet.
type request struct {
	RequestArrived
	acceptedAt      Micros  // when the client first sent it
	sentAt          Micros  // the last attempt
	trafficFraction float64 // by its key, 0 to 1: below the newest build's share the request goes there
	ringPosition    uint64
	clientHash      uint64          // of its key, class and tenant
	attemptAt       *endpointRecord // where an attempt is in flight
	attempts        int
	serverErrors    int
	isClosed        bool      // answered or abandoned, with an attempt in flight
	mayHaveRunAt    *Endpoint // where it may have run first
	dedupUntil      Micros    // when the deduplication of what may have run ends; 0: there is none
	triedEndpoints  []*endpointRecord
}

func (r *request) hasTried(e *endpointRecord) bool { return slices.Contains(r.triedEndpoints, e) }

// markMayHaveRun records the first endpoint at which the request may have run.
func (r *request) markMayHaveRun(e *endpointRecord, class *RequestClass) {
	if r.mayHaveRunAt == nil {
		ranAt := e.Endpoint
		r.mayHaveRunAt = &ranAt
		r.dedupUntil = class.dedupUntil(r.sentAt)
	}
}

// requestTable holds the requests of an agent by their ids.
type requestTable map[uint64]*request

// isOpen reports whether a request still needs an answer. One that another request with its id has replaced does not.
func (t requestTable) isOpen(r *request) bool { return !r.isClosed && t[r.ID] == r }

// close forgets a request. One with an attempt in flight is kept: its answer may still bind its key to a build.
func (t requestTable) close(r *request) {
	r.isClosed = true
	if r.attemptAt == nil {
		delete(t, r.ID)
	}
}
