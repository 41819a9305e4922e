package policy

import "slices"

// request is a client's request that has no final answer yet, or whose last attempt has no result yet.
type request struct {
	RequestArrived
	acceptedAt      Micros  // when the client first sent the request
	sentAt          Micros  // when the last attempt was sent
	trafficFraction float64 // hash of the key or ID, 0 to 1; below the newest build's share, the request tries the newest build first
	ringPosition    uint64
	clientHash      uint64          // hash of the key or ID, the class and the tenant
	attemptEndpoint *endpointRecord // endpoint of the attempt in flight
	attempts        int
	serverErrors    int
	isClosed        bool      // answered or abandoned; an attempt may still be in flight
	mayHaveRunOn    *Endpoint // first endpoint at which the request may have run; nil: none
	dedupUntil      Micros    // until when endpoints drop repeats of the first attempt that may have run; 0: no repeats are dropped
	triedEndpoints  []*endpointRecord
}

func (r *request) hasTried(e *endpointRecord) bool { return slices.Contains(r.triedEndpoints, e) }

// markMayHaveRun records the first endpoint at which the request may have run.
func (r *request) markMayHaveRun(e *endpointRecord, class *RequestClass) {
	if r.mayHaveRunOn == nil {
		ranOn := e.Endpoint
		r.mayHaveRunOn = &ranOn
		r.dedupUntil = class.dedupUntil(r.sentAt)
	}
}

// requestTable holds the requests of an agent by their IDs.
type requestTable map[uint64]*request

// isOpen reports whether a request still needs an answer. A request that was replaced by another one with the same ID does not.
func (t requestTable) isOpen(r *request) bool { return !r.isClosed && t[r.ID] == r }

// close marks a request as closed and forgets it. A request with an attempt in flight is kept in the table, because the answer
// may still bind its key to a build.
func (t requestTable) close(r *request) {
	r.isClosed = true
	if r.attemptEndpoint == nil {
		delete(t, r.ID)
	}
}
