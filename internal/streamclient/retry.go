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

// StatusError is the status of a response that is neither a list nor a stream. Callers tell overload by it: see BackoffReason.
type StatusError int

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("got status %d, want %d", int(e), http.StatusOK)
}

// isOverload tells whether the server reports that it has too much to do.
func (e StatusError) isOverload() bool {
	return e == http.StatusServiceUnavailable || e == http.StatusTooManyRequests
}

// BackoffReason tells a server that reports overload, with a StatusError, from one that can't be reached: any other error, or none.
func BackoffReason(err error) backoff.Reason {
	if status := StatusError(0); errors.As(err, &status) && status.isOverload() {
		return backoff.Overloaded
	}
	return backoff.Unreachable
}
