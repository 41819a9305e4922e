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

// NewHTTPClient is for discovery and the launcher: streams, and calls so rare that a connection each leaves none to go
// stale. It follows no one elsewhere, and takes no more of a head than it should.
func NewHTTPClient(dial time.Duration, among *tcpconn.UnreadGauge) *http.Client {
	dialer := &net.Dialer{Timeout: dial}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return tcpconn.Dial(ctx, dialer, address, among)
			},
			DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: protocol.HeadLimit,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Sleep is a pause that the end cuts short.
func Sleep(ctx context.Context, span backoff.Micros) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(span) * time.Microsecond):
	}
}

// StatusError is an answer that is no list and no stream.
type StatusError int

func (r StatusError) Error() string { return fmt.Sprintf("status %d", int(r)) }

// BackoffReason tells a party that has too much to do from one that is not there.
func BackoffReason(err error) backoff.Reason {
	if r := StatusError(0); errors.As(err, &r) && (r == http.StatusServiceUnavailable || r == http.StatusTooManyRequests) {
		return backoff.Overloaded
	}
	return backoff.Unreachable
}
