package admission

// requestRecords holds the records of all open requests, and the total size of their bodies. The controller adds a request on its
// arrival and releases it when it has been answered.
type requestRecords struct {
	byID      map[uint64]*trackedRequest
	free      freeList[trackedRequest]
	bodyBytes int64
}

func newRequestRecords() requestRecords {
	return requestRecords{byID: map[uint64]*trackedRequest{}}
}

// get returns the record of a request, or nil if the request is not open.
func (r *requestRecords) get(id uint64) *trackedRequest { return r.byID[id] }

// add creates the record of an arriving request.
func (r *requestRecords) add(arrival Arrival) *trackedRequest {
	request := r.free.take()
	*request = trackedRequest{Arrival: arrival}
	r.byID[arrival.ID] = request
	r.bodyBytes += int64(arrival.Bytes)
	return request
}

// release removes the record of a request and frees it for reuse. No other component may still hold the record.
func (r *requestRecords) release(request *trackedRequest) {
	r.bodyBytes -= int64(request.Bytes)
	delete(r.byID, request.ID)
	*request = trackedRequest{}
	r.free.put(request)
}
