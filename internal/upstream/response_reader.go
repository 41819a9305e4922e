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

// responseReader reads the answers of one connection. Nothing an appliance sends takes more memory or time than an answer may.
type responseReader struct {
	conn  net.Conn
	limit io.LimitedReader
	br    *bufio.Reader
	begun bool // an answer's first byte has come
}

// Read waits as long as the submission does for an answer's first byte, and answerWait for each further piece.
func (a *responseReader) Read(b []byte) (int, error) {
	if a.begun {
		a.conn.SetReadDeadline(time.Now().Add(answerWait))
	}
	return a.conn.Read(b)
}

// answerWait is the longest that a begun answer may pause: it is written in one piece, with no work between. It guards against heads
// and bodies that do not end and lengths that are too long, which would else be waited for until the txn's time is over. One that
// comes slowly, byte by byte, has its submission's time.
const answerWait = 300 * time.Millisecond

var errNoEnd = errors.New("nothing but the connection's end says that the answer is whole")

func newResponseReader(conn net.Conn) *responseReader {
	a := &responseReader{conn: conn}
	a.limit.R = a
	a.br = bufio.NewReaderSize(&a.limit, 4<<10)
	return a
}

// next takes one answer, with the words in between that may come ahead of it. If more stands behind it, it is the
// connection's last.
func (a *responseReader) next(fields []string) (*protocol.Response, error) {
	a.limit.N = protocol.HeadLimit + protocol.BodyLimit
	for {
		_, err := a.br.Peek(1)
		if err != nil {
			return nil, a.over(err)
		}
		a.begun = true
		ans, err := readAnswer(a.br, fields)
		if err != nil {
			return nil, a.over(err)
		}
		a.begun = false
		a.conn.SetReadDeadline(time.Time{})
		if ans != nil {
			ans.IsLast = ans.IsLast || a.br.Buffered() > 0
			return ans, nil
		}
	}
}

// over tells an answer that is too long from the connection's end.
func (a *responseReader) over(err error) error {
	if a.limit.N <= 0 {
		return protocol.ErrBodyTooLong
	}
	return err
}

// readAnswer takes one answer off a connection; a word in between is none.
func readAnswer(from *bufio.Reader, fields []string) (*protocol.Response, error) {
	r, err := http.ReadResponse(from, nil)
	if err != nil {
		return nil, err
	}
	if r.StatusCode >= 100 && r.StatusCode < 200 {
		return nil, nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, errNoEnd
	}
	a := &protocol.Response{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), IsLast: r.Close}
	if a.Body, err = protocol.ReadBody(r.Body, r.ContentLength); err != nil {
		return nil, err
	}
	r.Body.Close()
	a.Result = protocol.ServerError
	switch {
	case r.StatusCode == http.StatusOK:
		a.Result = protocol.Succeeded
	case r.Header.Get("X-Not-Run") == "1" && (r.StatusCode == 503 || r.StatusCode == 504):
		a.Result = protocol.NotRun
	case r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusTooManyRequests:
		a.Result = protocol.ClientError
	}
	a.Load = protocol.ParseLoadReport([]byte(r.Header.Get("X-Load")), fields)
	return a, nil
}
