package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// maxInlineWrite is the longest request that the endpoint's goroutine writes itself: it fits into the send buffer of a connection that
// has nothing else outstanding, so that the write does not block. A longer one gets a goroutine.
const maxInlineWrite = 8 << 10

// connection carries one exchange at a time. Its reader's goroutine lives as long as it does.
type connection struct {
	net.Conn
	process   process       // that it was dialed to
	exchange  *httpExchange // nil while it is idle
	wasUsed   bool          // an exchange ended well on it
	isClosed  bool
	idleSince time.Time
	readNext  chan struct{} // each token lets the reader take one response; closed with the connection
}

// hasNothingUnread tells whether nothing has arrived on an idle connection: neither its end nor anything after the last response, which would be
// taken for the response to the next request.
func (conn *connection) hasNothingUnread() bool { return tcpconn.IsOpenWithoutInput(conn.Conn) }

// isCurrent tells whether a connection leads to the process that the list has.
func (e *Endpoint) isCurrent(conn *connection) bool { return !e.isRemoved && conn.process == e.process }

// dial opens a connection for an exchange, in a goroutine that goes on as the connection's reader. A descriptor has been acquired.
func (e *Endpoint) dial(exchange *httpExchange) {
	e.pending++
	e.events.DialStarted()
	target := e.process
	go func() {
		raw, err := tcpconn.Dial(context.Background(), &e.pool.dialer, target.address, nil)
		if err != nil {
			e.pool.config.Budget.ReleaseUpstream()
			e.mailbox.Put(dialResult{exchange: exchange, err: err})
			return
		}
		conn := &connection{Conn: raw, process: target, readNext: make(chan struct{}, 1)}
		e.mailbox.Put(dialResult{exchange: exchange, connection: conn})
		e.read(conn)
	}()
}

func (e *Endpoint) dialFinished(r dialResult) {
	e.pending--
	exchange := r.exchange
	if r.err == nil {
		e.connected(r.connection, exchange)
		return
	}
	switch {
	case exchange.isFinished:
	case errors.Is(r.err, syscall.ECONNREFUSED), errors.Is(r.err, syscall.ECONNRESET):
		e.finish(exchange, protocol.ConnectionRefused, nil)
	case errors.Is(r.err, syscall.EMFILE), errors.Is(r.err, syscall.ENFILE), errors.Is(r.err, syscall.EADDRNOTAVAIL):
		ratelog.Warn("dial", "connection not opened", "endpoint", e.name, "err", r.err)
		e.finish(exchange, protocol.NotSent, nil)
	default:
		e.finish(exchange, protocol.ConnectTimeout, nil)
	}
}

// connected uses a new connection. One to a process that has been replaced or removed meanwhile is closed.
func (e *Endpoint) connected(conn *connection, exchange *httpExchange) {
	switch {
	case !e.isCurrent(conn):
		e.closeConnection(conn)
		if !exchange.isFinished {
			e.finish(exchange, protocol.NotSent, nil)
		}
	case exchange.isFinished:
		e.makeIdle(conn) // the next exchange finds it ready
	default:
		e.write(conn, exchange)
	}
}

// write sends an exchange's request on a connection.
func (e *Endpoint) write(conn *connection, exchange *httpExchange) {
	request := exchange.Encoded.Bytes(time.Until(exchange.Deadline))
	conn.readNext <- struct{}{} // a response that comes before the last byte is written is read too
	conn.exchange = exchange
	exchange.connection, exchange.isWritten, exchange.lostResult = conn, false, protocol.Succeeded
	if e.isOutdated(exchange) {
		e.finish(exchange, protocol.NotSent, nil)
		return
	}
	if len(request) <= maxInlineWrite {
		_, err := conn.Write(request)
		e.writeFinished(writeResult{exchange, conn, err})
		return
	}
	go func() {
		// Both fail only on a closed connection, which Write and the reader report.
		_ = conn.SetWriteDeadline(exchange.writeDeadline())
		_, err := conn.Write(request)
		_ = conn.SetWriteDeadline(time.Time{})
		e.mailbox.Put(writeResult{exchange, conn, err})
	}()
}

// writeFinished handles the end of a write. A request that was not written completely has not run. Where a reused connection fails, the
// endpoint may have closed it while the request was being written: that is no evidence about its health, and another connection is tried.
func (e *Endpoint) writeFinished(r writeResult) {
	exchange := r.exchange
	switch {
	case exchange.isFinished:
	case r.err != nil:
		e.closeConnection(r.connection)
		exchange.connection = nil
		if r.connection.wasUsed {
			e.start(exchange)
		} else {
			e.finish(exchange, protocol.LostBeforeSent, nil)
		}
	case exchange.lostResult != protocol.Succeeded:
		e.finish(exchange, exchange.lostResult, nil)
	default:
		exchange.isWritten = true
	}
}

// read reports one response, or the connection's end, for each exchange. Between exchanges it reads nothing: what an endpoint sends
// after a response never becomes the response to the next request.
func (e *Endpoint) read(conn *connection) {
	reader := newResponseReader(conn.Conn)
	for range conn.readNext {
		response, err := reader.next(e.pool.config.LoadReportFields)
		e.mailbox.Put(readResult{conn, response, err})
		if err != nil || response.IsLast {
			return
		}
	}
}

func (e *Endpoint) readFinished(r readResult) {
	conn, exchange := r.connection, r.connection.exchange
	switch {
	case conn.isClosed, exchange == nil:
	case r.err == nil && exchange.isHealthCheck && r.response.Result == protocol.ClientError:
		e.finish(exchange, protocol.ServerError, r.response) // it is up, but does not know this health check
	case r.err == nil:
		e.finish(exchange, r.response.Result, r.response)
	case exchange.isWritten:
		e.finish(exchange, readErrorResult(r.err), nil)
	default:
		exchange.lostResult = readErrorResult(r.err)
		e.closeConnection(conn) // the result of the write is still to come
	}
}

// readErrorResult tells a connection's end from a response that can't be read.
func readErrorResult(err error) protocol.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return protocol.Malformed // a response has begun, and then no more of it came
	}
	var opError *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opError) {
		return protocol.LostAfterSent
	}
	return protocol.Malformed
}
