package upstream

import "switchfork/internal/protocol"

// message is what an endpoint's mailbox holds. Its worker handles messages in the order in which they were put.
type message interface{ isMessage() }

type (
	// listUpdate is the latest entry of the endpoint list.
	listUpdate struct{ entry protocol.ListEntry }

	// removalRequest says that the endpoint has left the list.
	removalRequest struct{}

	attemptRequest     struct{ attempt Attempt }
	cancelRequest      struct{ requestID uint64 }
	healthCheckRequest struct{}

	// trimRequest asks for connections that present traffic does not need.
	trimRequest struct{}

	// sweepTimer fires when idle connections have to be looked at.
	sweepTimer struct{}

	// deadlineTimer fires at an exchange's deadline.
	deadlineTimer struct{ exchange *httpExchange }

	// writeTimer fires at the time after which an exchange's request must not be written any more.
	writeTimer struct{ exchange *httpExchange }

	// dialResult has a new connection, or the error of its dial.
	dialResult struct {
		exchange   *httpExchange
		connection *connection
		err        error
	}

	// writeResult says that a request is written, or the error that ended its writing.
	writeResult struct {
		exchange   *httpExchange
		connection *connection
		err        error
	}

	// readResult has a connection's response, or the error that ended its reading.
	readResult struct {
		connection *connection
		response   *protocol.Response
		err        error
	}
)

func (listUpdate) isMessage()         {}
func (removalRequest) isMessage()     {}
func (attemptRequest) isMessage()     {}
func (cancelRequest) isMessage()      {}
func (healthCheckRequest) isMessage() {}
func (trimRequest) isMessage()        {}
func (sweepTimer) isMessage()         {}
func (deadlineTimer) isMessage()      {}
func (writeTimer) isMessage()         {}
func (dialResult) isMessage()         {}
func (writeResult) isMessage()        {}
func (readResult) isMessage()         {}
