package upstream

import (
	"net"
	"time"

	"switchfork/internal/tcpconn"
)

// connection carries one exchange at a time. The goroutine that runs read ends with the connection and uses only Conn and readNext.
type connection struct {
	net.Conn
	process   process       // the process that was dialed
	exchange  *httpExchange // nil while the connection is idle
	wasUsed   bool          // an exchange on the connection has ended with a complete response
	isClosed  bool
	idleSince time.Time
	readNext  chan reserveFunc // each value lets read take one response; closed with the connection
}

// isOpenWithoutInput reports whether an idle connection is open and nothing has arrived on it after the last response. Such input would
// be taken for the response to the next request.
func (conn *connection) isOpenWithoutInput() bool { return tcpconn.IsOpenWithoutInput(conn.Conn) }

// reserveFunc reserves memory for a response's body, and reports whether there was enough. nil: there always is.
type reserveFunc func(bodyBytes int64) bool

// read reports one response, or the error that ended reading, for each exchange. Between exchanges it reads nothing, so what an endpoint
// sends after a response never becomes the response to the next request.
func (conn *connection) read(loadReportFields []string, report func(message)) {
	reader := newResponseReader(conn.Conn)
	for reserve := range conn.readNext {
		response, err := reader.next(loadReportFields, reserve)
		report(readResult{conn, response, err})
		if err != nil || response.IsLast {
			return
		}
	}
}
