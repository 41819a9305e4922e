package rollout

import (
	"errors"
	"net"
	"syscall"

	"switchfork/internal/protocol"
)

// wasWritten tells whether a resolved vote can have reached the controller: without a connection nobody has it, and counted as cast it
// would hide from operators that the controller is out of reach.
func wasWritten(result protocol.Result) bool {
	switch result {
	case protocol.NotSent, protocol.ConnectionRefused, protocol.ConnectTimeout:
		return false
	case protocol.Succeeded, protocol.ServerError, protocol.ClientError, protocol.NotRun, protocol.LostBeforeSent,
		protocol.LostAfterSent, protocol.TimedOut, protocol.Cancelled, protocol.Malformed, protocol.Stale:
		return true
	}
	return true
}

// isResolved tells whether a vote with this result has been carried out or never will be. After any other result it may yet be.
func isResolved(result protocol.Result) bool {
	switch result {
	case protocol.Succeeded, protocol.NotRun, protocol.Stale, protocol.ConnectionRefused, protocol.ConnectTimeout, protocol.NotSent:
		return true
	case protocol.ServerError, protocol.ClientError, protocol.LostBeforeSent, protocol.LostAfterSent, protocol.TimedOut,
		protocol.Cancelled, protocol.Malformed:
		return false
	}
	return false
}

// resultOfError is the result of a call without a response.
func resultOfError(err error) protocol.Result {
	var operation *net.OpError
	switch {
	case errors.Is(err, errWriteDeadlinePassed):
		return protocol.NotSent
	case errors.Is(err, syscall.ECONNREFUSED):
		return protocol.ConnectionRefused
	case errors.As(err, &operation) && operation.Op == "dial":
		return protocol.ConnectTimeout
	}
	return protocol.TimedOut // the vote may count
}
