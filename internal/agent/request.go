package agent

import (
	"sync/atomic"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// Reply is the final answer to a client: an endpoint's response, or the agent's own rejection or failure.
type Reply struct {
	Response   *protocol.Response // nil: rejected or failed
	Rejected   bool               // the request never ran, so the client may retry it
	RetryAfter policy.Micros      // how long the client should wait before it retries a rejected request
}

// Request is a client's request that is not answered yet or has an attempt in flight. One goroutine owns it at a time: first the goroutine
// that creates it, then a goroutine that it is handed to, such as the admission loop's. The owner may set the callbacks or deliver a
// rejection itself. Loop.Admit and Loop.Coalesce hand the request to the loop's goroutine, which stays its owner. The owner calls the
// callbacks. Any goroutine may read Encoded and Deadline, which do not change, and receive from Replies.
type Request struct {
	Encoded        *protocol.EncodedRequest
	Deadline       time.Time
	OnDone         func() // called once the request is answered and has no attempt in flight; nil: not called
	OnFirstAttempt func() // called before the first attempt is sent; nil: not called
	// HasClientLeft reports whether the client has closed its connection. It is called before an attempt is written, by any goroutine;
	// nil: the client never does.
	HasClientLeft func() bool
	// ReserveResponse reserves memory for the body of a response, and reports whether there was enough. It is called before the body is read,
	// by any goroutine; nil: there always is.
	ReserveResponse func(bodyBytes int64) bool

	replies    chan Reply     // buffers the one final reply
	retries    []*JoinedRetry // the retries that wait for the reply as well
	answered   bool           // the final reply is given, or the client has gone
	result     admission.Result
	mayHaveRun bool               // an attempt has run or may have run
	inFlight   int                // attempts that have not ended
	attempts   int                // attempts that were sent
	endpoint   *upstream.Endpoint // endpoint of the latest attempt
	// withdrawn is set with answered. An attempt that has not been written by then is not written. Endpoints read it.
	withdrawn atomic.Bool
	// clientLeft is set once HasClientLeft has returned true. Endpoints set it.
	clientLeft atomic.Bool
}

// NewRequest creates a request that has to be answered by deadline. onDone is called once the request is answered and none of its attempts
// is in flight.
func NewRequest(encoded *protocol.EncodedRequest, deadline time.Time, onDone func()) *Request {
	return &Request{Encoded: encoded, replies: make(chan Reply, 1), Deadline: deadline, OnDone: onDone}
}

// Replies returns the channel of the one final reply.
func (r *Request) Replies() <-chan Reply { return r.replies }

// Result returns how an answered request ended. OnDone may call it.
func (r *Request) Result() admission.Result { return r.result }

// MayHaveRun reports whether an attempt has run or may have run. OnDone may call it.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// Deliver gives the final reply to the client. Only the goroutine that owns the request may call it, once.
func (r *Request) Deliver(reply Reply) { r.replies <- reply }

// checkClient reports whether the client has left, and records it if so.
func (r *Request) checkClient() (hasLeft bool) {
	if r.HasClientLeft == nil || !r.HasClientLeft() {
		return false
	}
	r.clientLeft.Store(true)
	return true
}

// canBeJoined reports whether a retry may wait for the reply to this request: it is not answered yet, or its client has gone while an attempt
// is in flight, whose response nobody else waits for.
func (r *Request) canBeJoined() bool {
	return !r.answered || r.result == admission.ClientGone && r.inFlight > 0
}

// canAttempt reports whether an attempt may be sent: the request has no answer, and no other attempt of it is in flight.
func (r *Request) canAttempt() bool { return !r.answered && r.inFlight == 0 }
