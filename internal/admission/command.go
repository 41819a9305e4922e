package admission

// CommandKind says what a Command asks of its caller.
type CommandKind int

const (
	// Admit hands the request to the dispatcher.
	Admit CommandKind = iota
	// Reject answers the client with RetryAfter as the time after which it may try again.
	Reject
	// Coalesce gives the request the same answer as the request in progress that LeaderID names.
	Coalesce
)

// Reason says why a request was rejected.
type Reason int

const (
	// NoReason stands in a Command that rejects nothing.
	NoReason Reason = iota
	// TooLate means that the request would not be admitted before its wait deadline.
	TooLate
	// NoCapacity means that a limit is reached and the request's tenant is the one furthest over its share.
	NoCapacity
	// Replaced means that a retry of the request has taken its place.
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
	LeaderID   uint64 // of a Coalesce
	RetryAfter Micros // of a Reject; 0: the client is given no time
	Reason     Reason // of a Reject
}
