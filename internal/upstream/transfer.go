package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"switchfork/internal/protocol"
)

// maxInlineWriteBytes is the longest request that the worker's goroutine writes itself. Such a request fits into the send buffer of a
// connection without other outstanding data, so the write does not block. A longer request is written by a separate goroutine.
const maxInlineWriteBytes = 8 << 10

// write sends an exchange's request on a connection, unless nobody waits for it any more. Every attempt comes this way, whatever it has
// waited for before.
func (w *worker) write(conn *connection, exchange *httpExchange) {
	if exchange.isAbandoned() {
		w.keepUnused(conn)
		w.finish(exchange, protocol.NotSent, nil)
		return
	}
	request := exchange.Encoded.Bytes(time.Until(exchange.Deadline))
	conn.readNext <- exchange.ReserveResponse // sent before the write, as the response may arrive before the request is written completely
	conn.exchange = exchange
	exchange.connection, exchange.isWritten, exchange.lostResult = conn, false, protocol.Succeeded
	if exchange.isOutdated(w.pool.dialer.Timeout) {
		w.finish(exchange, protocol.NotSent, nil)
		return
	}
	if len(request) <= maxInlineWriteBytes {
		_, err := conn.Write(request)
		w.writeFinished(writeResult{exchange, conn, err})
		return
	}
	go func() {
		// SetWriteDeadline fails only on a closed connection, which Write and the reader report.
		_ = conn.SetWriteDeadline(exchange.writeDeadline())
		_, err := conn.Write(request)
		_ = conn.SetWriteDeadline(time.Time{})
		w.mailbox.Put(writeResult{exchange, conn, err})
	}()
}

// writeFinished handles the result of a write. A request that was not written completely has not run. If the write to a reused connection
// fails, the endpoint may have closed the connection while the request was being written. That says nothing about the endpoint's health,
// and another connection is tried.
func (w *worker) writeFinished(r writeResult) {
	exchange := r.exchange
	switch {
	case exchange.isFinished:
	case r.err != nil:
		w.writeFailed(r)
	case exchange.lostResult != protocol.Succeeded:
		w.finish(exchange, exchange.lostResult, nil)
	default:
		exchange.isWritten = true
	}
}

func (w *worker) writeFailed(r writeResult) {
	exchange := r.exchange
	w.idle.close(r.connection)
	exchange.connection = nil
	if r.connection.wasUsed {
		w.start(exchange)
		return
	}
	w.finish(exchange, protocol.LostBeforeSent, nil)
}

func (w *worker) readFinished(r readResult) {
	conn, exchange := r.connection, r.connection.exchange
	if conn.isClosed || exchange == nil {
		return
	}
	switch {
	case r.err == nil:
		w.finish(exchange, exchange.resultOf(r.response), r.response)
	case exchange.isWritten:
		w.finish(exchange, readErrorResult(r.err), nil)
	default:
		exchange.lostResult = readErrorResult(r.err)
		w.idle.close(conn) // the exchange ends with the result of the write, which is still to come
	}
}

// readErrorResult distinguishes the end of a connection from a response that can't be read.
func readErrorResult(err error) protocol.Result {
	if errors.Is(err, errNoMemory) {
		return protocol.Cancelled // the endpoint is not to blame
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return protocol.Malformed // a response began and then paused for longer than maxResponseGap
	}
	var opError *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opError) {
		return protocol.LostAfterSent
	}
	return protocol.Malformed
}
