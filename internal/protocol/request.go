package protocol

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// headerDeadline is the request header that tells the endpoint how long the agent waits for the response, in milliseconds.
const headerDeadline = "X-Deadline-Ms"

// deadlineBytes is the buffer space for the deadline header and the empty line that ends the head.
const deadlineBytes = 32

// HopHeaders are the headers of a client's request that are not forwarded to endpoints. The agent sets them for each attempt, or they
// apply only to the client's connection.
var HopHeaders = []string{headerDeadline, "Content-Length", "Transfer-Encoding", "Host", "Connection", "Expect"}

// EncodedRequest is a request encoded for endpoints, without the deadline header, which differs between attempts.
type EncodedRequest struct{ Head, Body []byte }

// EncodeRequest encodes a request. target is the path and query exactly as the client sent them.
func EncodeRequest(method, target, host string, header http.Header, body []byte) *EncodedRequest {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, target, host, len(body))
	_ = header.Write(&head) // a buffer's Write never returns an error
	return &EncodedRequest{head.Bytes(), body}
}

// Bytes returns the complete request with its deadline header. wait is how long the agent waits for the response; at least 1 ms is sent.
func (r *EncodedRequest) Bytes(wait time.Duration) []byte {
	out := make([]byte, 0, len(r.Head)+len(r.Body)+deadlineBytes)
	out = append(out, r.Head...)
	out = append(out, headerDeadline+": "...)
	out = strconv.AppendInt(out, max(1, wait.Milliseconds()), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, r.Body...)
}
