package upstream

import (
	"net"
	"time"

	"switchfork/internal/tcpconn"
)

// connection carries one exchange at a time. Its reader's goroutine lives as long as it does, and touches nothing but Conn and readNext.
type connection struct {
	net.Conn
	process   process       // that it was dialed to
	exchange  *httpExchange // nil while it is idle
	wasUsed   bool          // an exchange ended well on it
	isClosed  bool
	idleSince time.Time
	readNext  chan struct{} // each token lets the reader take one response; closed with the connection
}

// hasNothingUnread tells whether nothing has arrived on an idle connection: neither its end nor anything after the last response, which
// would be taken for the response to the next request.
func (conn *connection) hasNothingUnread() bool { return tcpconn.IsOpenWithoutInput(conn.Conn) }

// read reports one response, or the connection's end, for each exchange. Between exchanges it reads nothing: what an endpoint sends
// after a response never becomes the response to the next request.
func (conn *connection) read(loadReportFields []string, report func(message)) {
	reader := newResponseReader(conn.Conn)
	for range conn.readNext {
		response, err := reader.next(loadReportFields)
		report(readResult{conn, response, err})
		if err != nil || response.IsLast {
			return
		}
	}
}
