package streamclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"switchfork/internal/backoff"
	"switchfork/internal/protocol"
	"switchfork/internal/tcpconn"
)

// NewHTTPClient returns a client for streams, and for calls so rare that a connection for each avoids stale ones. It follows no redirects
// and bounds the size of a response's head. A connection has to come up within dialTimeout; unless unread is nil, it keeps count of the
// connections while they are open.
func NewHTTPClient(dialTimeout time.Duration, unread *tcpconn.UnreadGauge) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return tcpconn.Dial(ctx, dialer, address, unread)
			},
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: protocol.HeadLimit,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, pause backoff.Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(pause) * time.Microsecond):
	}
}

// StatusError is the status of a response that is neither a list nor a stream.
type StatusError int

func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// isOverload tells whether the server reports that it has too much to do.
func (e StatusError) isOverload() bool {
	return e == http.StatusServiceUnavailable || e == http.StatusTooManyRequests
}

// BackoffReason tells a server that reports overload from one that can't be reached.
func BackoffReason(err error) backoff.Reason {
	if status := StatusError(0); errors.As(err, &status) && status.isOverload() {
		return backoff.Overloaded
	}
	return backoff.Unreachable
}
