package endtoend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agenttest"
)

// clientResponse is a response as a client received it.
type clientResponse struct {
	status  int
	body    string
	header  http.Header
	latency time.Duration
}

// lastRequestID is the ID of the latest request. It is incremented for each request, so that IDs are unique.
var lastRequestID atomic.Uint64

// request sends a request as a client does, and fails the test if there is no response. headers holds alternating names and values; an
// empty value removes the header.
func (a *runningAgent) request(t *testing.T, method, target, body string, headers ...string) clientResponse {
	t.Helper()
	response, err := a.tryRequest(context.Background(), method, target, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// tryRequest is like request, but returns an error if there is no response.
func (a *runningAgent) tryRequest(ctx context.Context, method, target, body string, headers ...string) (clientResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, a.url, strings.NewReader(body))
	if err != nil {
		return clientResponse{}, err
	}
	request.URL.Opaque = target
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	if method == http.MethodPost {
		request.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		name, value := headers[i], headers[i+1]
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	start := time.Now()
	response, err := a.client.Do(request)
	if err != nil {
		return clientResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return clientResponse{response.StatusCode, string(content), response.Header, time.Since(start)}, err
}

// dial opens a connection to the agent as a client does.
func (a *runningAgent) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads a complete response. It returns the status, and whether the response announces that the connection will be closed.
func readStatus(conn io.Reader) (status int, isLast bool, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely, or the connection has failed
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// parseDeadlineMillis returns the time in milliseconds that a request's X-Deadline-Ms header leaves the endpoint.
func parseDeadlineMillis(t *testing.T, header http.Header) int {
	t.Helper()
	milliseconds, err := strconv.Atoi(header.Get("X-Deadline-Ms"))
	if err != nil {
		t.Fatal(err)
	}
	return milliseconds
}

// exchangeRaw sends text on a new connection and returns everything that the agent sends until it closes the connection.
func (a *runningAgent) exchangeRaw(t *testing.T, text string) string {
	t.Helper()
	conn := a.dial(t)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text) // fails if the agent closes the connection before all of text is sent
	_ = conn.SetReadDeadline(time.Now().Add(agenttest.WaitTimeout))
	got, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("sent %.60q: the agent did not close the connection in time, got %q", text, got)
	}
	return string(got)
}
