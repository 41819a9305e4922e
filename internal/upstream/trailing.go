package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"mime"
	"regexp"

	"switchfork/internal/protocol"
	"switchfork/internal/ratelog"
	"switchfork/internal/tcpconn"
)

// trailingPeekBytes is how many of the bytes behind a response are examined, enough for the start of a status line.
const trailingPeekBytes = 16

const jsonMediaType = "application/json"

// jsonSpace holds the bytes that may stand around a JSON text.
const jsonSpace = " \t\r\n"

// statusLine matches the start of a response.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9][ \r\n]`)

var errTrailingBytes = errors.New("bytes follow the response that may belong to its body")

// checkTrailing examines the bytes that have arrived behind a response. If there are any, the response is the connection's last. They may
// be the rest of a body that is longer than its Content-Length, and the response is then rejected: its client would take the cut body for
// whole. It is accepted only if the bytes can't belong to its body.
func (r *responseReader) checkTrailing(response *protocol.Response) (*protocol.Response, error) {
	trailing := r.peekTrailing()
	if len(trailing) == 0 {
		return response, nil
	}
	isWhole := isWholeBefore(response, trailing)
	ratelog.Warn("trailing bytes", "bytes follow a response", "status", response.Status, "content_type", response.ContentType,
		"body_bytes", len(response.Body), "trailing", string(trailing), "accepted", isWhole)
	if !isWhole {
		return nil, errTrailingBytes
	}
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

// isWholeBefore reports whether a response is whole although bytes follow it. That is so if they are the start of another response, or if
// the body is a JSON text that can't go on with them.
func isWholeBefore(response *protocol.Response, trailing []byte) bool {
	return statusLine.Match(trailing) || isJSONTextBefore(response, trailing)
}

// isJSONTextBefore reports whether a response's body is a JSON text that ends by a bracket or a quotation mark, and is not followed by
// space, which might belong to the body.
func isJSONTextBefore(response *protocol.Response, trailing []byte) bool {
	mediaType, _, err := mime.ParseMediaType(response.ContentType)
	if err != nil || mediaType != jsonMediaType || bytes.IndexByte([]byte(jsonSpace), trailing[0]) >= 0 {
		return false
	}
	text := bytes.Trim(response.Body, jsonSpace)
	hasOwnEnd := len(text) > 0 && bytes.IndexByte([]byte(`{["`), text[0]) >= 0
	return hasOwnEnd && json.Valid(text)
}
