package rollout

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"switchfork/internal/tcpconn"
)

// errWriteDeadlinePassed reports that a call was not written because its write deadline had passed.
var errWriteDeadlinePassed = errors.New("write deadline has passed")

type writeDeadlineKey struct{}

// withWriteDeadline returns a context with a write deadline for calls made with a client from newTimedHTTPClient.
func withWriteDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, writeDeadlineKey{}, deadline)
}

// newTimedHTTPClient returns a client whose calls write nothing after the write deadline of their context. Each call has its own connection.
func newTimedHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := tcpconn.Dial(ctx, dialer, address, nil)
		if err != nil {
			return nil, err
		}
		deadline, _ := ctx.Value(writeDeadlineKey{}).(time.Time)
		return writeDeadlineConn{conn, deadline}, nil
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
}

// writeDeadlineConn is a connection that writes nothing after its deadline.
type writeDeadlineConn struct {
	net.Conn
	deadline time.Time
}

// Write checks the deadline immediately before the system call, because the process may have stalled since any earlier check.
func (c writeDeadlineConn) Write(b []byte) (int, error) {
	if !time.Now().Before(c.deadline) {
		return 0, errWriteDeadlinePassed
	}
	_ = c.SetWriteDeadline(c.deadline) // fails only on a closed connection, where the write fails too
	return c.Conn.Write(b)
}
