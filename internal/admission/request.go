package admission

// Arrival describes a request that has just arrived.
type Arrival struct {
	ID       uint64
	Tenant   int    // index of the tenant; any index that was not configured counts as the one unknown tenant
	Client   uint64 // hash of the client's identity
	Class    int    // index of the request class
	Key      uint64 // hash of the idempotency key, or of the object that the request concerns; 0: none
	IsRetry  bool   // the client marked it as a retry
	CostHint Micros // the client's estimate of the work; 0: none
	Deadline Micros
	Bytes    int // size of the body
}

// Result says how an admitted request ended.
type Result int

const (
	// Succeeded means that the client got an answer.
	Succeeded Result = iota
	// Rejected means that the dispatcher found no endpoint that would take the request.
	Rejected
	// Failed means that the request was attempted and no answer came.
	Failed
	// ClientGone means that the client has left.
	ClientGone
	resultCount
)

// requestState is the state of a tracked request.
type requestState int8

const (
	stateWaiting    requestState = iota
	stateFollowing               // a retry that waits for its earlier attempt, which is in progress
	stateInProgress              // admitted, not finished
)

// trackedRequest is the controller's record of one request, from its arrival until it is answered.
type trackedRequest struct {
	Arrival
	state        requestState
	retryKey     uint64 // equal for all attempts of one request
	cost         float64
	firstArrival Micros // arrival of the first attempt whose place in the queue this one holds
	waitDeadline Micros // rejected if not admitted by then
	admittedAt   Micros
	isSent       bool // the dispatcher has sent it to an endpoint

	// Place in its tenant's queues.
	tenant   *tenantState
	queue    *clientQueue
	priority int
	previous *trackedRequest
	next     *trackedRequest // also links the records that are free for reuse

	// Place in the timing wheel.
	deadlineTick int64 // tick at which it expires; -1: it is not in the wheel
	slotPrevious *trackedRequest
	slotNext     *trackedRequest

	follower *trackedRequest // the retry that waits for this one
	leader   *trackedRequest // the earlier attempt that this one waits for
}

// track creates the record of an arrival.
func (c *Controller) track(arrival Arrival) *trackedRequest {
	request := c.freeRequests
	if request != nil {
		c.freeRequests = request.next
	} else {
		request = new(trackedRequest)
	}
	*request = trackedRequest{
		Arrival:      arrival,
		firstArrival: c.now,
		deadlineTick: -1,
		tenant:       c.tenants[arrival.Tenant],
		priority:     c.classPriorities[arrival.Class],
	}
	request.retryKey = c.retryKeyOf(&arrival)
	request.cost = c.estimatedCost(request)
	request.waitDeadline = min(request.firstArrival+c.maxWait(arrival.Class), arrival.Deadline)
	if c.drainDeadline > 0 {
		request.waitDeadline = min(request.waitDeadline, max(c.drainDeadline, c.now))
	}
	c.requests[arrival.ID] = request
	c.heldBytes += int64(arrival.Bytes)
	return request
}

// discard forgets a request that is in no queue any more, and its retry key.
func (c *Controller) discard(request *trackedRequest) {
	if request.Key != 0 && c.byRetryKey[request.retryKey] == request {
		delete(c.byRetryKey, request.retryKey)
	}
	c.release(request)
}

// release forgets a request whose retry key, if it has one, belongs to another attempt, and frees its record for reuse.
func (c *Controller) release(request *trackedRequest) {
	c.heldBytes -= int64(request.Bytes)
	delete(c.requests, request.ID)
	*request = trackedRequest{next: c.freeRequests}
	c.freeRequests = request
}
