package upstream

import (
	"time"

	"switchfork/internal/protocol"
)

// Attempt is one sending of a request to one endpoint.
type Attempt struct {
	RequestID   uint64
	Encoded     *protocol.EncodedRequest
	DecidedAt   time.Time // when the policy chose the endpoint
	Deadline    time.Time
	WriteBefore time.Time // the request's last byte must not leave later; zero: no such time
}

// writeDeadline is the time after which nothing of the request may be written.
func (a *Attempt) writeDeadline() time.Time {
	if !a.WriteBefore.IsZero() && a.WriteBefore.Before(a.Deadline) {
		return a.WriteBefore
	}
	return a.Deadline
}

// isOutdated tells whether it is too late to write the request. The process may have stalled since the policy chose this
// endpoint, and the list may have changed by now: what is older than the time in which a connection comes up, and a stall that is no
// longer noticed, is chosen again. It may cost a request that waited on a starved core another turn.
func (a *Attempt) isOutdated(dialTimeout time.Duration) bool {
	now := time.Now()
	if now.Sub(a.DecidedAt) > dialTimeout+StallThreshold {
		return true
	}
	return !a.WriteBefore.IsZero() && !now.Before(a.WriteBefore)
}

// httpExchange is an attempt or a health check that has not ended: a request and its response on one connection.
type httpExchange struct {
	Attempt
	isHealthCheck bool
	connection    *connection     // nil while it waits for one
	isWritten     bool            // the request's last byte is written
	lostResult    protocol.Result // how the connection ended before the write's result came; Succeeded: it has not
	isFinished    bool
	timer         *time.Timer // fires at the deadline
}

// startTimers starts the timer of the deadline, which is to fire after a wait, and, where the request has to be written earlier, the one
// of that time. They put their messages with put.
func (x *httpExchange) startTimers(wait time.Duration, put func(message)) {
	x.timer = time.AfterFunc(wait, func() { put(deadlineTimer{x}) })
	if writeDeadline := x.writeDeadline(); writeDeadline.Before(x.Deadline) {
		time.AfterFunc(time.Until(writeDeadline), func() { put(writeTimer{x}) })
	}
}

// stopTimer stops the timer of the deadline, where it was started.
func (x *httpExchange) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// resultOf is what a response says of the exchange. A health check's client error is the endpoint's: it is up, but does not know the check.
func (x *httpExchange) resultOf(response *protocol.Response) protocol.Result {
	if x.isHealthCheck && response.Result == protocol.ClientError {
		return protocol.ServerError
	}
	return response.Result
}
