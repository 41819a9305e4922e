package admission

// requestTable holds the records of all requests that are not answered yet, and sums up the size of their bodies. It decides
// nothing. The controller adds a request on its arrival and releases it with its answer.
type requestTable struct {
	byID      map[uint64]*trackedRequest
	free      []*trackedRequest // records to reuse
	bodyBytes int64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*trackedRequest{}}
}

// get returns the record of a request; nil: it is not open.
func (t *requestTable) get(id uint64) *trackedRequest { return t.byID[id] }

// add creates the record of an arrival.
func (t *requestTable) add(arrival Arrival) *trackedRequest {
	request := t.newRecord()
	*request = trackedRequest{Arrival: arrival}
	t.byID[arrival.ID] = request
	t.bodyBytes += int64(arrival.Bytes)
	return request
}

// release forgets a request that no other part of the controller holds any more, and frees its record for reuse.
func (t *requestTable) release(request *trackedRequest) {
	t.bodyBytes -= int64(request.Bytes)
	delete(t.byID, request.ID)
	*request = trackedRequest{}
	t.free = append(t.free, request)
}

func (t *requestTable) newRecord() *trackedRequest {
	last := len(t.free) - 1
	if last < 0 {
		return new(trackedRequest)
	}
	record := t.free[last]
	t.free = t.free[:last]
	return record
}
