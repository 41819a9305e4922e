package agent

import (
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// Reply is what the client gets in the end: an appliance's answer, or the module's own no.
type Reply struct {
	Response   *protocol.Response
	Rejected   bool // a repeat does no harm
	RetryAfter policy.Micros
}

// Request is a txn that the module has, or that has a submission out.
type Request struct {
	Encoded        *protocol.EncodedRequest
	replies        chan Reply // holds one
	Deadline       time.Time
	answered       bool // it has its final answer, or nobody waits for one
	inFlight       int  // submissions that have not ended
	attempts       int
	endpoint       *upstream.Endpoint
	OnDone         func() // when it is over and nothing of it is out; nil where nobody asks
	OnFirstAttempt func() // when it is first sent; nil where nobody asks
	result         admission.Result
	coalesced      []chan Reply // its next tries, which get its answer
}

// NewRequest makes a request that has to be answered by a deadline. onDone is called when it is answered and nothing of it is in flight.
func NewRequest(encoded *protocol.EncodedRequest, deadline time.Time, onDone func()) *Request {
	return &Request{Encoded: encoded, replies: make(chan Reply, 1), Deadline: deadline, OnDone: onDone}
}

// Replies gives the one final answer.
func (t *Request) Replies() <-chan Reply { return t.replies }

// Result tells how an answered request ended.
func (t *Request) Result() admission.Result { return t.result }

// Deliver gives a final answer to all who wait for it.
func (t *Request) Deliver(r Reply) {
	t.replies <- r
	for _, also := range t.coalesced {
		also <- r
	}
	t.coalesced = nil
}
