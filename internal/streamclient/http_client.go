package streamclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"switchfork/internal/protocol"
	"switchfork/internal/tcpconn"
)

// NewHTTPClient returns a client for streams and for rare calls. Each stream or call has a connection of its own, which is never stale.
// The client follows no redirects and bounds the size of a response's head. A connection has to be established within dialTimeout. Unless
// unread is nil, unread tracks the connections while they are open.
func NewHTTPClient(dialTimeout time.Duration, unread *tcpconn.UnreadTracker) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return tcpconn.Dial(ctx, dialer, address, unread)
			},
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: protocol.HeadLimit,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
