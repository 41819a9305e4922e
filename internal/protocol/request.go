package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

const BodyLimit = 64 << 10 // the protocol's

var ErrBodyTooLong = errors.New("body is over 64 KiB")

// EncodedRequest is a txn on its way to appliances, encoded but for the time that remains.
type EncodedRequest struct{ Head, Body []byte }

// EncodeRequest encodes a client's request; target is its path and query as they came.
func EncodeRequest(method, target, host string, header http.Header, body []byte) *EncodedRequest {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, target, host, len(body))
	header.Write(&b)
	return &EncodedRequest{b.Bytes(), body}
}

// Bytes is the whole request, with the time that the agent will wait.
func (p *EncodedRequest) Bytes(wait time.Duration) []byte {
	out := make([]byte, 0, len(p.Head)+len(p.Body)+32)
	out = append(out, p.Head...)
	out = append(out, "X-Deadline-Ms: "...)
	out = strconv.AppendInt(out, max(1, wait.Milliseconds()), 10)
	out = append(out, "\r\n\r\n"...)
	return append(out, p.Body...)
}

// HopHeaders are written by pack and bytes, or make no sense on an appliance's connection.
var HopHeaders = []string{"X-Deadline-Ms", "Content-Length", "Transfer-Encoding", "Host", "Connection", "Expect"}

func Hash64(s string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, s)
	return h.Sum64()
}

// ReadBody takes a body whole, or says that it is too long.
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

// HeadLimit holds any head of the protocol many times over; hundreds of endless ones must fit into the least memory.
const HeadLimit = 8 << 10
