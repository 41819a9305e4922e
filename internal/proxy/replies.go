package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"switchfork/internal/agent"
	"switchfork/internal/policy"
	"switchfork/internal/ratelog"
)

const (
	plainText       = "text/plain; charset=utf-8"
	microsPerSecond = float64(1e6)

	// The bodies of the agent's own replies are part of the protocol with clients.
	rejectedBody = "declined; a repeat does no harm\n"
	failedBody   = "voided\n"
)

// requestError describes a request that is answered with an error status and not handed to the event loop.
type requestError struct {
	status int
	reason string
}

// Error returns the reason, which is also the body of the response.
func (e *requestError) Error() string { return e.reason }

// log writes a warning, at most one a second for each status.
func (e *requestError) log() {
	ratelog.Warn("request"+strconv.Itoa(e.status), "request rejected", "status", e.status, "reason", e.reason)
}

// errorResponse returns the response to a request that was not accepted because of a requestError. It returns any other error as it is: the
// client disconnected or took too long.
func errorResponse(r *http.Request, err error) (*http.Response, error) {
	var invalid *requestError
	if !errors.As(err, &invalid) {
		return nil, err
	}
	invalid.log()
	return newResponse(r, invalid.status, plainText, []byte(invalid.reason+"\n")), nil
}

// replyResponse encodes a final reply.
func replyResponse(reply agent.Reply, r *http.Request) *http.Response {
	switch {
	case reply.Response != nil:
		return newResponse(r, reply.Response.Status, reply.Response.ContentType, reply.Response.Body)
	case reply.Rejected:
		response := newResponse(r, http.StatusServiceUnavailable, plainText, []byte(rejectedBody))
		if reply.RetryAfter > 0 {
			response.Header.Set("Retry-After", formatSeconds(reply.RetryAfter))
		}
		return response
	}
	return newResponse(r, http.StatusGatewayTimeout, plainText, []byte(failedBody))
}

// formatSeconds formats t as seconds with three decimals, the form of Retry-After in the protocol.
func formatSeconds(t policy.Micros) string {
	return strconv.FormatFloat(float64(t)/microsPerSecond, 'f', 3, 64)
}

func newResponse(r *http.Request, status int, contentType string, body []byte) *http.Response {
	header := http.Header{"Content-Length": {strconv.Itoa(len(body))}}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return &http.Response{
		StatusCode:    status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Request:       r,
	}
}
