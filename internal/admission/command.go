package admission

// CommandKind says what the caller has to do with a request.
type CommandKind int

const (
	// Admit hands the request to the dispatcher.
	Admit CommandKind = iota
	// Reject rejects the request. The client may retry after RetryAfter.
	Reject
	// Coalesce answers the request with the answer to the request LeaderID, which is in progress.
	Coalesce
)

// Reason says why a request was rejected.
type Reason int

const (
	// NoReason is the reason in a Command that is not a rejection.
	NoReason Reason = iota
	// TooLate means that the request was not, or is not expected to be, admitted before its wait deadline.
	TooLate
	// NoCapacity means that a limit is exceeded and that the request's tenant has the highest waiting cost relative to its weight.
	NoCapacity
	// Replaced means that a later attempt has replaced the request.
	Replaced
	// Draining means that the process is shutting down.
	Draining
	reasonCount
)

func (r Reason) String() string {
	return [...]string{"none", "too late", "no capacity", "replaced", "draining"}[r]
}

// Command tells the caller what to do with one request.
type Command struct {
	Kind       CommandKind
	ID         uint64
	LeaderID   uint64 // for Coalesce: the request whose answer is shared
	RetryAfter Micros // for Reject: the time until the client may retry; 0 if the client is sent no Retry-After
	Reason     Reason // for Reject
}
