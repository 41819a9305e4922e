package streamclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"switchfork/internal/backoff"
)

// Only the statuses 503 and 429 count as overload, also if the StatusError is wrapped.
func TestBackoffReason(t *testing.T) {
	for _, c := range []struct {
		err  error
		want backoff.Reason
	}{
		{nil, backoff.Unreachable},
		{errors.New("connection refused"), backoff.Unreachable},
		{StatusError(http.StatusInternalServerError), backoff.Unreachable},
		{StatusError(http.StatusServiceUnavailable), backoff.Overloaded},
		{fmt.Errorf("opening the watch: %w", StatusError(http.StatusTooManyRequests)), backoff.Overloaded},
	} {
		if got := BackoffReason(c.err); got != c.want {
			t.Errorf("error %v: got reason %v, want %v", c.err, got, c.want)
		}
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start := time.Now()
	Sleep(ctx, time.Hour.Microseconds())
	if took := time.Since(start); took > time.Minute {
		t.Errorf("Sleep took %v after its context had ended, want at most a minute", took)
	}
}
