package rollout

import (
	"errors"
	"net"
	"syscall"

	"switchfork/internal/protocol"
)

// wasWritten reports whether a resolved vote may have reached the controller. A vote for which no connection was established has not
// reached it. Counting such a vote as cast would hide from operators that the controller can't be reached.
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

// isResolved reports whether a vote with this result has been carried out or never will be. After any other result, the vote may still be
// carried out.
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

// resultOfError returns the result of a call that got no response.
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
	return protocol.TimedOut // the vote may have been accepted
}
