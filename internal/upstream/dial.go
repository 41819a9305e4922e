package upstream

import (
	"context"
	"errors"
	"syscall"

	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// dial opens a connection for an exchange, in a goroutine that then becomes the connection's reader. The caller has acquired a descriptor.
func (w *worker) dial(exchange *httpExchange) {
	w.inFlight.dials++
	w.events.DialStarted()
	target := w.process
	go func() {
		raw, err := tcpconn.Dial(context.Background(), &w.pool.dialer, target.address, nil)
		if err != nil {
			w.pool.config.Budget.ReleaseUpstream()
			w.mailbox.Put(dialResult{exchange: exchange, err: err})
			return
		}
		conn := &connection{Conn: raw, process: target, readNext: make(chan reserveFunc, 1)}
		w.mailbox.Put(dialResult{exchange: exchange, connection: conn})
		conn.read(w.pool.config.LoadReportFields, w.mailbox.Put)
	}()
}

func (w *worker) dialFinished(r dialResult) {
	w.inFlight.dials--
	exchange := r.exchange
	if r.err == nil {
		w.connected(r.connection, exchange)
		return
	}
	if exchange.isFinished {
		return
	}
	result := dialErrorResult(r.err)
	if result == protocol.NotSent {
		ratelog.Warn("dial", "connection not opened", "endpoint", w.name, "err", r.err)
	}
	w.finish(exchange, result, nil)
}

// dialErrorResult distinguishes an endpoint that refuses the connection, an endpoint that does not answer, and an agent that can't open
// any connection.
func dialErrorResult(err error) protocol.Result {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return protocol.ConnectionRefused
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return protocol.NotSent
	default:
		return protocol.ConnectTimeout
	}
}

// connected writes an exchange's request on its new connection, or makes the connection idle if the exchange has finished meanwhile. It closes a connection to a process that has been replaced or removed meanwhile.
func (w *worker) connected(conn *connection, exchange *httpExchange) {
	switch {
	case !w.isCurrent(conn):
		w.idle.close(conn)
		if !exchange.isFinished {
			w.finish(exchange, protocol.NotSent, nil)
		}
	case exchange.isFinished:
		w.makeIdle(conn) // for the next exchange
	default:
		w.write(conn, exchange)
	}
}
