package agent

import (
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
	RetryAfter policy.Micros      // after which a retry of a rejected request makes sense
}

// Request is a client's request that is not answered yet or has an attempt in flight. The loop's goroutine owns all fields but Encoded
// and Deadline, which do not change, and the reply channels.
type Request struct {
	Encoded        *protocol.EncodedRequest
	Deadline       time.Time
	OnDone         func() // called when it is answered and none of its attempts is in flight; nil: not called
	OnFirstAttempt func() // called before its first attempt is sent; nil: not called

	replies   chan Reply   // buffers the one final reply
	coalesced []chan Reply // those of its retries, which get the same reply
	answered  bool         // it has its final reply, or its client has gone
	result    admission.Result
	inFlight  int // attempts that have not ended
	attempts  int
	endpoint  *upstream.Endpoint // of the latest attempt
}

// NewRequest makes a request that has to be answered by a deadline. onDone is called when it is answered and none of its attempts is in
// flight.
func NewRequest(encoded *protocol.EncodedRequest, deadline time.Time, onDone func()) *Request {
	return &Request{Encoded: encoded, replies: make(chan Reply, 1), Deadline: deadline, OnDone: onDone}
}

// Replies is the channel of the one final reply.
func (r *Request) Replies() <-chan Reply { return r.replies }

// Result tells how an answered request ended.
func (r *Request) Result() admission.Result { return r.result }

// Deliver gives the final reply to the client and to those of its retries.
func (r *Request) Deliver(reply Reply) {
	r.replies <- reply
	for _, replies := range r.coalesced {
		replies <- reply
	}
	r.coalesced = nil
}
