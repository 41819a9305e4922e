package upstream

import (
	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// trailingPeekBytes is how many of the bytes behind a response are examined, enough for the start of a status line.
const trailingPeekBytes = 16

// checkTrailing logs the bytes that have arrived behind a response. If there are any, the response is the connection's last.
func (r *responseReader) checkTrailing(response *protocol.Response) (*protocol.Response, error) {
	trailing := r.peekTrailing()
	if len(trailing) == 0 {
		return response, nil
	}
	ratelog.Warn("trailing bytes", "bytes follow a response", "status", response.Status, "content_type", response.ContentType,
		"body_bytes", len(response.Body), "trailing", string(trailing))
	response.IsLast = true
	return response, nil
}

// peekTrailing returns up to trailingPeekBytes of the bytes that have arrived behind a response. They are in the read buffer, or in the
// kernel if the response was longer than the buffer.
func (r *responseReader) peekTrailing() []byte {
	trailing := make([]byte, trailingPeekBytes)
	buffered, _ := r.buffered.Peek(min(trailingPeekBytes, r.buffered.Buffered())) // does not read, so there is no error
	n := copy(trailing, buffered)
	n += tcpconn.PeekUnread(r.conn, trailing[n:])
	return trailing[:n]
}
