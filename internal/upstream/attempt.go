package upstream

import (
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
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

func (e *Endpoint) startAttempt(attempt Attempt) {
	exchange := &httpExchange{Attempt: attempt}
	e.attempts[attempt.RequestID] = exchange
	e.start(exchange)
}

// start gives an exchange a connection: the idle one that was used last, or a new one.
func (e *Endpoint) start(exchange *httpExchange) {
	wait := time.Until(exchange.Deadline)
	isRefused := e.isRemoved || e.isDraining && !exchange.isHealthCheck
	if wait <= 0 || isRefused {
		e.finish(exchange, protocol.NotSent, nil)
		return
	}
	if exchange.timer == nil {
		e.startTimers(exchange, wait)
	}
	if conn := e.takeIdle(); conn != nil {
		e.write(conn, exchange)
		return
	}
	if !e.acquireDescriptor() {
		ratelog.Warn("budget", "no descriptor left for a connection", "endpoint", e.name)
		e.events.ConnectionsExhausted()
		e.finish(exchange, protocol.NotSent, nil)
		return
	}
	e.dial(exchange)
}

// startTimers starts the timer of the deadline and, where the request has to be written earlier, the one of that time.
func (e *Endpoint) startTimers(exchange *httpExchange, wait time.Duration) {
	exchange.timer = time.AfterFunc(wait, func() { e.mailbox.Put(deadlineTimer{exchange}) })
	if writeDeadline := exchange.writeDeadline(); writeDeadline.Before(exchange.Deadline) {
		time.AfterFunc(time.Until(writeDeadline), func() { e.mailbox.Put(writeTimer{exchange}) })
	}
}

// timeOut ends an exchange at its deadline.
func (e *Endpoint) timeOut(exchange *httpExchange) {
	switch {
	case exchange.isFinished:
	case exchange.connection == nil:
		// Nothing has been written, and the dial is still within its own timeout: no evidence about the endpoint's health.
		e.finish(exchange, protocol.NotSent, nil)
	default:
		e.finish(exchange, protocol.TimedOut, nil)
	}
}

// isOutdated tells whether it is too late to write an exchange's request. The process may have stalled since the policy chose this
// endpoint, and the list may have changed by now: what is older than the time in which a connection comes up, and a stall that is no
// longer noticed, is chosen again. It may cost a request that waited on a starved core another turn.
func (e *Endpoint) isOutdated(exchange *httpExchange) bool {
	now := time.Now()
	if now.Sub(exchange.DecidedAt) > e.pool.dialer.Timeout+StallThreshold {
		return true
	}
	return !exchange.WriteBefore.IsZero() && !now.Before(exchange.WriteBefore)
}

// finish reports how an exchange ended, after its connection is idle or closed: so there are never two attempts at once.
func (e *Endpoint) finish(exchange *httpExchange, result protocol.Result, response *protocol.Response) {
	exchange.isFinished = true
	if exchange.timer != nil {
		exchange.timer.Stop()
	}
	if exchange.connection != nil {
		e.releaseConnection(exchange, response)
	}
	if suspectsIdleConnections(exchange, result) {
		e.closeIdle(0)
	}
	elapsed := time.Since(exchange.DecidedAt).Microseconds()
	if result != protocol.Succeeded {
		ratelog.Warn(e.name+result.String(), "attempt failed", "endpoint", e.name, "result", result.String(),
			"health_check", exchange.isHealthCheck, "elapsed_ms", elapsed/1000)
	}
	if exchange.isHealthCheck {
		e.reportHealthCheck(result, response, elapsed)
		return
	}
	e.reportAttempt(exchange, result, response, elapsed)
}

// releaseConnection makes the connection of an exchange idle where it can carry another one, and closes it elsewhere.
func (e *Endpoint) releaseConnection(exchange *httpExchange, response *protocol.Response) {
	conn := exchange.connection
	conn.exchange = nil
	if response == nil || response.IsLast || !exchange.isWritten {
		e.closeConnection(conn)
		return
	}
	conn.wasUsed = true
	e.makeIdle(conn)
}

// suspectsIdleConnections tells whether a result says that the process or the path to it is or was gone. Idle connections may then be
// dead unnoticed, and each would cost an attempt that may have run. Closing them costs a handshake each where only the one
// connection had ended.
func suspectsIdleConnections(exchange *httpExchange, result protocol.Result) bool {
	switch result {
	case protocol.LostAfterSent, protocol.LostBeforeSent, protocol.ConnectTimeout, protocol.ConnectionRefused:
		return true
	case protocol.TimedOut:
		return exchange.isHealthCheck
	default:
		return false
	}
}

func (e *Endpoint) reportAttempt(exchange *httpExchange, result protocol.Result, response *protocol.Response, elapsed policy.Micros) {
	delete(e.attempts, exchange.RequestID)
	finished := AttemptFinished{
		AttemptResult: policy.AttemptResult{
			RequestID:  exchange.RequestID,
			EndpointID: e.id,
			Outcome:    result.Outcome(),
			Elapsed:    elapsed,
		},
		Result:   result,
		Response: response,
	}
	if response != nil {
		finished.Load = response.Load
	}
	e.events.AttemptFinished(finished)
}
