package streamclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"switchfork/internal/backoff"
)

// Sleep waits for a delay, or until the context ends.
func Sleep(ctx context.Context, delay backoff.Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(delay) * time.Microsecond):
	}
}

// StatusError is an error for a response with a status other than 200. BackoffReason uses the status to recognize an overloaded server.
type StatusError int

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("got status %d, want %d", int(e), http.StatusOK)
}

// isOverload reports whether the status says that the server is overloaded.
func (e StatusError) isOverload() bool {
	return e == http.StatusServiceUnavailable || e == http.StatusTooManyRequests
}

// BackoffReason returns Overloaded for a StatusError with which a server reports overload, and Unreachable for any other error or nil.
func BackoffReason(err error) backoff.Reason {
	if status := StatusError(0); errors.As(err, &status) && status.isOverload() {
		return backoff.Overloaded
	}
	return backoff.Unreachable
}
