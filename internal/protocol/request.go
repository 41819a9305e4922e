package protocol

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// headerDeadline has the milliseconds for which the agent will wait for the response.
const headerDeadline = "X-Deadline-Ms"

// deadlineBytes is room for the deadline's header, and the empty line after it.
const deadlineBytes = 32

// HopHeaders are those of a client's request that are not forwarded: they are written anew for each attempt, or have no meaning on an
// endpoint's connection.
var HopHeaders = []string{headerDeadline, "Content-Length", "Transfer-Encoding", "Host", "Connection", "Expect"}

// EncodedRequest is a request as it is sent to endpoints, but for the deadline, which each attempt has for itself.
type EncodedRequest struct{ Head, Body []byte }

// EncodeRequest encodes a request; target is its path and query as they came.
func EncodeRequest(method, target, host string, header http.Header, body []byte) *EncodedRequest {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, target, host, len(body))
	_ = header.Write(&head) // a buffer's Write returns no error
	return &EncodedRequest{head.Bytes(), body}
}

// Bytes is the complete request, with the time for which the agent will wait for the response.
func (r *EncodedRequest) Bytes(wait time.Duration) []byte {
	out := make([]byte, 0, len(r.Head)+len(r.Body)+deadlineBytes)
	out = append(out, r.Head...)
	out = append(out, headerDeadline+": "...)
	out = strconv.AppendInt(out, max(1, wait.Milliseconds()), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, r.Body...)
}
