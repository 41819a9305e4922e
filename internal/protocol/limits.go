package protocol

import (
	"errors"
	"io"
)

// BodyLimit is the longest body that the protocol allows, in bytes.
const BodyLimit = 64 << 10

// HeadLimit is the longest head of a request or response, in bytes. It holds any head of the protocol many times over; hundreds of endless ones
// have to fit into the smallest memory limit.
const HeadLimit = 8 << 10

// ErrBodyTooLong says that a body is longer than BodyLimit. Its text is the body of the response to such a request.
var ErrBodyTooLong = errors.New("body is over 64 KiB")

// ReadBody reads a complete body, or returns ErrBodyTooLong. The length is the announced one; -1 where it is not known.
func ReadBody(r io.Reader, length int64) ([]byte, error) {
	if r == nil || length == 0 {
		return nil, nil
	}
	if length > BodyLimit {
		return nil, ErrBodyTooLong
	}
	body, err := io.ReadAll(io.LimitReader(r, BodyLimit+1))
	if err == nil && len(body) > BodyLimit {
		err = ErrBodyTooLong
	}
	return body, err
}
