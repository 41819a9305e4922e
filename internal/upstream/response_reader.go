package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"switchfork/internal/protocol"
)

// maxResponseGap is the longest pause within a response that has begun. An endpoint writes a response in one piece, without other work in
// between. The bound guards against heads and bodies that do not end and against bodies that are shorter than their Content-Length. The
// reader would otherwise wait for the rest until the request's deadline. A response that arrives slowly, byte by byte, may take as long as
// its attempt.
const maxResponseGap = 300 * time.Millisecond

const readBufferBytes = 4 << 10

// Response headers that the protocol defines.
const (
	headerNotRun     = "X-Not-Run" // has the value notRun if the request was rejected before it ran
	headerLoadReport = "X-Load"

	notRun = "1"
)

var errNoMemory = errors.New("no memory left for the response")

var errNoLength = errors.New("response has neither a length nor a transfer encoding")

// responseReader reads the responses of one connection. It bounds the memory and the time that each of them may take.
type responseReader struct {
	conn     net.Conn
	limit    io.LimitedReader
	buffered *bufio.Reader
	hasBegun bool // the first byte of a response has arrived
}

func newResponseReader(conn net.Conn) *responseReader {
	r := &responseReader{conn: conn}
	r.limit.R = r
	r.buffered = bufio.NewReaderSize(&r.limit, readBufferBytes)
	return r
}

// Read waits for the first byte of a response as long as the attempt lasts, and for each further piece at most maxResponseGap.
func (r *responseReader) Read(b []byte) (int, error) {
	if r.hasBegun {
		_ = r.conn.SetReadDeadline(time.Now().Add(maxResponseGap)) // fails only on a closed connection, which Read reports
	}
	return r.conn.Read(b)
}

// next reads one response and skips interim responses before it. If more bytes follow the response, the response is marked as the
// connection's last, or rejected if it may not be whole. Memory for the body is reserved before it is read.
func (r *responseReader) next(loadReportFields []string, reserve reserveFunc) (*protocol.Response, error) {
	r.limit.N = protocol.HeadLimit + protocol.BodyLimit
	for {
		if _, err := r.buffered.Peek(1); err != nil {
			return nil, r.readError(err)
		}
		r.hasBegun = true
		response, err := readResponse(r.buffered, loadReportFields, reserve)
		if err != nil {
			return nil, r.readError(err)
		}
		r.hasBegun = false
		_ = r.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next Read reports
		if response != nil {
			return r.checkTrailing(response)
		}
	}
}

// readError returns ErrBodyTooLong if the response has exceeded the limit, and err otherwise.
func (r *responseReader) readError(err error) error {
	if r.limit.N <= 0 {
		return protocol.ErrBodyTooLong
	}
	return err
}

// readResponse reads one response. It returns nil for an interim response.
func readResponse(from *bufio.Reader, loadReportFields []string, reserve reserveFunc) (*protocol.Response, error) {
	if err := checkHTTP10(from); err != nil {
		return nil, err
	}
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		return nil, err
	}
	if r.StatusCode >= 100 && r.StatusCode < 200 {
		return nil, nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	response := &protocol.Response{
		Result:      responseResult(r),
		Status:      r.StatusCode,
		ContentType: r.Header.Get("Content-Type"),
		IsLast:      r.Close,
	}
	if reserve != nil && !reserve(bodyBytes(r.ContentLength)) {
		return nil, errNoMemory
	}
	if response.Body, err = protocol.ReadBody(r.Body, r.ContentLength); err != nil {
		return nil, err
	}
	_ = r.Body.Close() // the body has been read completely
	response.Load = protocol.ParseLoadReport([]byte(r.Header.Get(headerLoadReport)), loadReportFields)
	return response, nil
}

// growthFactor is how much more memory a body of unknown length may take while its buffer grows.
const growthFactor = 2

// bodyBytes returns how much memory the reading of a body may take whose Content-Length is given, or -1 if it is not known.
func bodyBytes(contentLength int64) int64 {
	if contentLength < 0 {
		return growthFactor * protocol.BodyLimit
	}
	return min(contentLength, protocol.BodyLimit)
}

// responseResult classifies a response by its status and headers.
func responseResult(r *http.Response) protocol.Result {
	isUnavailable := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout
	isClientError := r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusTooManyRequests
	switch {
	case r.StatusCode == http.StatusOK:
		return protocol.Succeeded
	case isUnavailable && r.Header.Get(headerNotRun) == notRun:
		return protocol.NotRun
	case isClientError:
		return protocol.ClientError
	default:
		return protocol.ServerError
	}
}
