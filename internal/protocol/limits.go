package protocol

import (
	"errors"
	"io"
)

// BodyLimit is the maximum length of a request's or response's body, in bytes.
const BodyLimit = 64 << 10

// HeadLimit is the maximum length of a request's or response's head, in bytes. It is many times the length of any valid head. It is no
// higher because hundreds of connections that send an endless head at once have to fit into the smallest memory limit.
const HeadLimit = 8 << 10

// ErrBodyTooLong reports that a body is longer than BodyLimit. If a request's body is too long, the error's text is the body of the
// response to the client.
var ErrBodyTooLong = errors.New("body is over 64 KiB")

// ReadBody reads a complete body. It returns ErrBodyTooLong if the body is longer than BodyLimit. length is the value of the
// Content-Length header, or -1 if it is not known.
func ReadBody(r io.Reader, length int64) ([]byte, error) {
	if r == nil || length == 0 {
		return nil, nil
	}
	if length > BodyLimit {
		return nil, ErrBodyTooLong
	}
	if length > 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, BodyLimit+1))
	if err == nil && len(body) > BodyLimit {
		err = ErrBodyTooLong
	}
	return body, err
}
