package proxy

import (
	"net/http"

	"switchfork/internal/ratelog"
)

// requestFraming is what net/http knew of a request when it determined where the request ends.
type requestFraming struct {
	protocol         string
	contentLength    int64
	transferEncoding []string
}

// logIfPipelined logs a request that arrived before the response to the previous request on its connection was written. Clients of the
// protocol send one request at a time. A request that arrives early may be the part of the previous request's body that net/http did not take
// for the body, so the log line describes the framing of the previous request.
func (p *Proxy) logIfPipelined(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return
	}
	previous, isPipelined := conn.replaceFraming(requestFraming{r.Proto, r.ContentLength, r.TransferEncoding})
	if !isPipelined {
		return
	}
	ratelog.Warn("pipelined request", "request arrived before the response to the previous one", "previous_protocol", previous.protocol,
		"previous_content_length", previous.contentLength, "previous_transfer_encoding", previous.transferEncoding, "total", p.pipelined.Add(1))
}

// replaceFraming records the framing of a request whose head has been read. It returns the framing of the previous request on the
// connection, and whether the request arrived before the response to the previous one was written.
func (c *clientConn) replaceFraming(framing requestFraming) (previous requestFraming, isPipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, isPipelined = c.lastFraming, c.isPipelined
	c.lastFraming, c.isPipelined = framing, false
	return previous, isPipelined
}
