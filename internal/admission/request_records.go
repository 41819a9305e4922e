package admission

// requestRecords holds the records of all requests that are not answered yet, and sums up the size of their bodies. It decides
// nothing. The controller adds a request on its arrival and releases it with its answer.
type requestRecords struct {
	byID      map[uint64]*trackedRequest
	free      freeList[trackedRequest]
	bodyBytes int64
}

func newRequestRecords() requestRecords {
	return requestRecords{byID: map[uint64]*trackedRequest{}}
}

// get returns the record of a request; nil: it is not open.
func (r *requestRecords) get(id uint64) *trackedRequest { return r.byID[id] }

// add creates the record of an arrival.
func (r *requestRecords) add(arrival Arrival) *trackedRequest {
	request := r.free.take()
	*request = trackedRequest{Arrival: arrival}
	r.byID[arrival.ID] = request
	r.bodyBytes += int64(arrival.Bytes)
	return request
}

// release forgets a request that no other part of the controller holds any more, and frees its record for reuse.
func (r *requestRecords) release(request *trackedRequest) {
	r.bodyBytes -= int64(request.Bytes)
	delete(r.byID, request.ID)
	*request = trackedRequest{}
	r.free.put(request)
}
