package upstream

import (
	"sync/atomic"
	"time"

	"switchfork/internal/protocol"
)

// Attempt is one attempt to have a request served by one endpoint.
type Attempt struct {
	RequestID   uint64
	Encoded     *protocol.EncodedRequest
	DecidedAt   time.Time // when the policy chose the endpoint
	Deadline    time.Time
	WriteBefore time.Time // the request's last byte must be sent before this time; zero: no limit
	// Withdrawn is set when nobody waits for the request any more. A request that has not been written by then must not be written. The
	// owner of the request may set it at any time; nil: it is never withdrawn.
	Withdrawn *atomic.Bool
	// HasClientLeft reports whether the request's client has closed its connection. Nothing of the request may be written from then on.
	// nil: it never does.
	HasClientLeft func() bool
	// ReserveResponse reserves memory for a response's body, and reports whether there was enough. nil: there always is.
	ReserveResponse func(bodyBytes int64) bool
}

// isWithdrawn reports whether nobody waits for the request any more.
func (a *Attempt) isWithdrawn() bool { return a.Withdrawn != nil && a.Withdrawn.Load() }

// isAbandoned reports whether nobody waits for the request any more, or its client has left without having been noticed yet.
func (a *Attempt) isAbandoned() bool {
	return a.isWithdrawn() || a.HasClientLeft != nil && a.HasClientLeft()
}

// writeDeadline returns the time after which no part of the request may be written.
func (a *Attempt) writeDeadline() time.Time {
	if !a.WriteBefore.IsZero() && a.WriteBefore.Before(a.Deadline) {
		return a.WriteBefore
	}
	return a.Deadline
}

// isOutdated reports whether it is too late to write the request. The agent's process may have stalled since the policy chose this
// endpoint, and the endpoint list may have changed. An attempt is therefore outdated once its age exceeds dialTimeout plus StallThreshold,
// because a dial and an undetected stall together can't take longer. The policy then chooses an endpoint again. If the agent is short of
// CPU time, this may also happen to a request that has only waited for the CPU.
func (a *Attempt) isOutdated(dialTimeout time.Duration) bool {
	now := time.Now()
	if now.Sub(a.DecidedAt) > dialTimeout+StallThreshold {
		return true
	}
	return !a.WriteBefore.IsZero() && !now.Before(a.WriteBefore)
}

// httpExchange is an attempt or a health check: a request and its response on one connection.
type httpExchange struct {
	Attempt
	isHealthCheck bool
	connection    *connection     // nil while the exchange waits for a connection
	isWritten     bool            // the request is written completely
	lostResult    protocol.Result // result for a read error that occurred before the write ended; Succeeded: no such error
	isFinished    bool
	timer         *time.Timer // fires at the deadline
}

// startTimers starts the deadline timer, which fires after wait. If the request has to be written before the deadline, startTimers also
// starts a timer for the write deadline. Each timer passes its message to put.
func (x *httpExchange) startTimers(wait time.Duration, put func(message)) {
	x.timer = time.AfterFunc(wait, func() { put(deadlineTimer{x}) })
	if writeDeadline := x.writeDeadline(); writeDeadline.Before(x.Deadline) {
		time.AfterFunc(time.Until(writeDeadline), func() { put(writeTimer{x}) })
	}
}

// stopTimer stops the deadline timer if it was started.
func (x *httpExchange) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// resultOf returns the result of the exchange for a response. A client error in response to a health check counts as a server error: the
// endpoint is up but does not support the check.
func (x *httpExchange) resultOf(response *protocol.Response) protocol.Result {
	if x.isHealthCheck && response.Result == protocol.ClientError {
		return protocol.ServerError
	}
	return response.Result
}
