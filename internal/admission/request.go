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
	stateWaiting    requestState = iota // in a queue
	stateFollowing                      // a retry that waits for its earlier attempt, which is in progress
	stateInProgress                     // admitted, not finished
)

// trackedRequest is the controller's record of one request, from its arrival until it is answered. The controller owns it
// all but the places, which belong to the parts that hold the request.
type trackedRequest struct {
	Arrival
	state        requestState
	retryKey     uint64  // equal for all attempts of one request
	cost         float64 // work, in microseconds
	firstArrival Micros  // arrival of the first attempt whose place in the queue this one holds
	waitDeadline Micros  // rejected if not admitted by then
	admittedAt   Micros
	isSent       bool // the dispatcher has sent it to an endpoint

	queuePlace queuePlace      // owned by fairQueues
	wheelPlace wheelPlace      // owned by timingWheel
	follower   *trackedRequest // the retry that waits for this one; owned by waitingRequests, as leader
	leader     *trackedRequest // the earlier attempt that this one waits for
}
