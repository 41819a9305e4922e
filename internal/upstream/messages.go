package upstream

import "switchfork/internal/protocol"

// message is an entry of an endpoint's mailbox. The worker handles messages in the order in which they were put.
type message interface{ isMessage() }

type (
	// listUpdate has the endpoint's latest entry in the endpoint list.
	listUpdate struct{ entry protocol.ListEntry }

	// removalRequest reports that the endpoint has left the list.
	removalRequest struct{}

	attemptRequest     struct{ attempt Attempt }
	cancelRequest      struct{ requestID uint64 }
	healthCheckRequest struct{}

	// trimRequest asks to close the connections that have been idle for at least TrimIdleAfter.
	trimRequest struct{}

	// sweepTimer fires when the idle connections have to be checked for expiry.
	sweepTimer struct{}

	// deadlineTimer fires at an exchange's deadline.
	deadlineTimer struct{ exchange *httpExchange }

	// writeTimer fires at an exchange's write deadline if that is before the exchange's deadline.
	writeTimer struct{ exchange *httpExchange }

	// dialResult has a new connection, or the error of the dial.
	dialResult struct {
		exchange   *httpExchange
		connection *connection
		err        error
	}

	// writeResult reports that a request has been written, or the error that ended the write.
	writeResult struct {
		exchange   *httpExchange
		connection *connection
		err        error
	}

	// readResult has a response, or the error that ended reading from the connection.
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
