package upstream

import (
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
)

const microsPerMilli = 1000

func (w *worker) startAttempt(attempt Attempt) {
	exchange := &httpExchange{Attempt: attempt}
	w.inFlight.attempts[attempt.RequestID] = exchange
	w.start(exchange)
}

func (w *worker) cancelAttempt(requestID uint64) {
	if exchange := w.inFlight.attempts[requestID]; exchange != nil {
		w.finish(exchange, protocol.Cancelled, nil)
	}
}

// start sends an exchange on the idle connection that was used last, or dials a new one. The exchange ends as not sent if its deadline has
// passed, if its request is withdrawn, if the endpoint has been removed, or if no descriptor is left. An attempt also ends as not sent if the endpoint is draining.
func (w *worker) start(exchange *httpExchange) {
	wait := time.Until(exchange.Deadline)
	isRefused := w.isRemoved || w.isDraining && !exchange.isHealthCheck
	if wait <= 0 || isRefused || exchange.isWithdrawn() {
		w.finish(exchange, protocol.NotSent, nil)
		return
	}
	if exchange.timer == nil {
		exchange.startTimers(wait, w.mailbox.Put)
	}
	if conn := w.idle.take(); conn != nil {
		w.write(conn, exchange)
		return
	}
	if !w.idle.acquireDescriptor() {
		ratelog.Warn("budget", "no descriptor left for a connection", "endpoint", w.name)
		w.events.ConnectionsExhausted()
		w.finish(exchange, protocol.NotSent, nil)
		return
	}
	w.dial(exchange)
}

// timeOut ends an exchange at its deadline.
func (w *worker) timeOut(exchange *httpExchange) {
	switch {
	case exchange.isFinished:
	case exchange.connection == nil:
		// Nothing has been written, and the dial has not timed out yet. This says nothing about the endpoint's health.
		w.finish(exchange, protocol.NotSent, nil)
	default:
		w.finish(exchange, protocol.TimedOut, nil)
	}
}

// expireUnconnected ends an exchange that still has no connection at its write deadline.
func (w *worker) expireUnconnected(exchange *httpExchange) {
	if !exchange.isFinished && exchange.connection == nil {
		w.finish(exchange, protocol.NotSent, nil)
	}
}

// finish ends an exchange and reports its result. The exchange's connection is made idle or closed before the report, so that a request
// never has two attempts at once.
func (w *worker) finish(exchange *httpExchange, result protocol.Result, response *protocol.Response) {
	exchange.isFinished = true
	exchange.stopTimer()
	if exchange.connection != nil {
		w.releaseConnection(exchange, response)
	}
	if suspectsIdleConnections(exchange, result) {
		w.idle.closeAll()
	}
	elapsed := time.Since(exchange.DecidedAt).Microseconds()
	if result != protocol.Succeeded {
		ratelog.Warn(w.name+result.String(), "attempt failed", "endpoint", w.name, "result", result.String(),
			"health_check", exchange.isHealthCheck, "elapsed_ms", elapsed/microsPerMilli)
	}
	if exchange.isHealthCheck {
		w.reportHealthCheck(result, response, elapsed)
		return
	}
	w.reportAttempt(exchange, result, response, elapsed)
}

// releaseConnection makes the connection of an exchange idle if it can carry another exchange, and closes it otherwise.
func (w *worker) releaseConnection(exchange *httpExchange, response *protocol.Response) {
	conn := exchange.connection
	conn.exchange = nil
	if response == nil || response.IsLast || !exchange.isWritten {
		w.idle.close(conn)
		return
	}
	conn.wasUsed = true
	w.makeIdle(conn)
}

// makeIdle keeps a connection for the next exchange. It closes a connection to a process that was replaced or removed.
func (w *worker) makeIdle(conn *connection) {
	if conn.isClosed || !w.isCurrent(conn) {
		w.idle.close(conn)
		return
	}
	w.idle.add(conn)
}

// keepUnused keeps a connection on which nothing was written for the next exchange.
func (w *worker) keepUnused(conn *connection) {
	if conn.idleSince.IsZero() { // it has just come up
		w.makeIdle(conn)
		return
	}
	w.idle.putBack(conn)
}

// isCurrent reports whether a connection leads to the process in the latest list entry and the endpoint has not been removed.
func (w *worker) isCurrent(conn *connection) bool { return !w.isRemoved && conn.process == w.process }

// suspectsIdleConnections reports whether a result indicates that the endpoint's process, or the network path to the process, is or was
// unavailable. Idle connections may then be dead without any sign on this side, and each dead connection would cost an attempt that may
// have run. If only the exchange's connection was lost, closing the idle connections costs one handshake for each of them.
func suspectsIdleConnections(exchange *httpExchange, result protocol.Result) bool {
	switch result {
	case protocol.LostAfterSent, protocol.LostBeforeSent, protocol.ConnectTimeout, protocol.ConnectionRefused:
		return true
	case protocol.TimedOut:
		return exchange.isHealthCheck
	case protocol.Succeeded, protocol.ServerError, protocol.ClientError, protocol.NotRun, protocol.Cancelled, protocol.Malformed,
		protocol.NotSent, protocol.Stale:
		return false
	}
	return false
}

func (w *worker) reportAttempt(exchange *httpExchange, result protocol.Result, response *protocol.Response, elapsed policy.Micros) {
	delete(w.inFlight.attempts, exchange.RequestID)
	finished := AttemptFinished{
		AttemptResult: policy.AttemptResult{
			RequestID:  exchange.RequestID,
			EndpointID: w.id,
			Outcome:    result.Outcome(),
			Elapsed:    elapsed,
		},
		Result:   result,
		Response: response,
	}
	if response != nil {
		finished.Load = response.Load
	}
	w.events.AttemptFinished(finished)
}
