package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"switchfork/internal/faulttest/netfault"

	"golang.org/x/sys/unix"
)

const (
	// lateAnswerWait is how long over its timeout a client still listens, so that a late answer is seen as such.
	lateAnswerWait    = time.Second
	clientDialTimeout = time.Second
	requestBody       = "beam=1"
	// pieceInterval lies between the two pieces of a request that is sent in pieces.
	pieceInterval = 20 * time.Millisecond
)

// connSource is where an attempt takes its connection from, and keeps it for the next one.
type connSource interface {
	takeConn(agent int) (*clientConn, error)
	putConn(agent int, conn *clientConn)
}

// requestStyle is how a client sends a request; the zero value is a plain one.
type requestStyle struct {
	inPieces   bool
	timeout    time.Duration // that the client gives the agent; 0: requestTimeout
	leaveAfter time.Duration // the client closes its connection so long after it has sent the request; 0: it waits
}

// clientConn is a client's connection to an agent. One that is idle belongs to its load, one that is in use to its attempt.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	dialedAt netfault.Micros
	wasUsed  bool
}

// discard closes a connection that is of no use any more; what closing it reports can't matter.
func (c *clientConn) discard() { _ = c.Close() }

// runAttempt sends a request to an agent once. Where the connection's end crossed the request, it is sent on another connection.
func (c *clientLoad) runAttempt(agent int, class string, serial int64, n int, style requestStyle) Attempt {
	select {
	case c.connSlots[agent] <- struct{}{}:
		defer func() { <-c.connSlots[agent] }()
	default:
		c.droppedRequests.Add(1)
		a := newAttempt(agent, class, serial, n, style)
		a.EndedAt, a.Err, a.WasUnreachable = c.now(), "no place", true
		return a
	}
	return c.runAttemptOn(c, agent, class, serial, n, style)
}

func newAttempt(agent int, class string, serial int64, n int, style requestStyle) Attempt {
	a := Attempt{Agent: agent, ID: fmt.Sprintf("%x-%d", serial, n), Class: class, SentAt: -1, Timeout: style.timeout.Microseconds()}
	if class == classKeyed {
		a.Key = fmt.Sprintf("%032x", serial)
	}
	return a
}

// runAttemptOn is runAttempt with connections of a source.
func (c *clientLoad) runAttemptOn(source connSource, agent int, class string, serial int64, n int, style requestStyle) Attempt {
	a := newAttempt(agent, class, serial, n, style)
	began := time.Now()
	for {
		conn, err := source.takeConn(agent)
		if err != nil {
			a.EndedAt, a.Err, a.WasUnreachable = c.now(), err.Error(), true
			return a
		}
		a.DialedAt = conn.dialedAt
		isKept, err := c.exchange(conn, &a, serial, n, began, style)
		if isKept {
			source.putConn(agent, conn)
			return a
		}
		conn.discard()
		if err == nil {
			return a
		}
		crossed := conn.closedWhileIdle(err)
		if crossed && time.Since(began) < requestTimeout && !c.wasKilled(agent, conn.dialedAt) {
			c.recordCrossing(Crossing{Agent: agent, At: c.now(), ID: a.ID, Err: err.Error(), IsReset: !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)})
			a.SentAt = -1
			continue
		}
		a.EndedAt, a.Err = c.now(), err.Error()
		return a
	}
}

// write sends a request, in two pieces where its style says so.
func (c *clientConn) write(request []byte, style requestStyle) error {
	if style.inPieces {
		half := len(request) / 2
		if _, err := c.Write(request[:half]); err != nil {
			return err
		}
		time.Sleep(pieceInterval)
		request = request[half:]
	}
	_, err := c.Write(request)
	return err
}

// exchange writes the request and reads the answer into the attempt. It tells whether the connection may be used again.
func (c *clientLoad) exchange(conn *clientConn, a *Attempt, serial int64, n int, began time.Time, style requestStyle) (isKept bool, err error) {
	if err := conn.SetDeadline(began.Add(requestTimeout + lateAnswerWait)); err != nil {
		return false, err
	}
	if err := conn.write(encodeRequest(a, serial, n, a.timeout()-time.Since(began)), style); err != nil {
		return false, err
	}
	a.SentAt = c.now()
	if style.leaveAfter > 0 {
		time.Sleep(style.leaveAfter)
		a.HasLeft, a.EndedAt = true, c.now()
		return false, nil
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // all of it was read, or err says why not
	a.EndedAt = c.now()
	if err != nil {
		return false, err
	}
	a.Status, a.Body = response.StatusCode, string(body)
	if isRejection(a.Status) {
		a.Body = response.Header.Get("Retry-After")
	}
	a.HasExtraBytes = conn.reader.Buffered() > 0
	conn.wasUsed = true
	return !response.Close && !a.HasExtraBytes, nil
}

// closedWhileIdle tells whether an error means that the agent closed a connection that it had served before, with nothing of an answer.
func (c *clientConn) closedWhileIdle(err error) bool {
	if !c.wasUsed || c.reader.Buffered() > 0 {
		return false
	}
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// takeConn is an idle connection that is still open, or a new one.
func (c *clientLoad) takeConn(agent int) (*clientConn, error) {
	for {
		conn := c.popIdle(agent)
		if conn == nil {
			return c.dial(agent)
		}
		if c.isStillOpen(conn) {
			return conn, nil
		}
	}
}

// isStillOpen looks whether an idle connection can be used, and discards it where it can't.
func (c *clientLoad) isStillOpen(conn *clientConn) bool {
	n, err := conn.peek()
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	if n > 0 {
		c.extraBytes.Add(1)
	}
	conn.discard()
	return false
}

func (c *clientLoad) dial(agent int) (*clientConn, error) {
	at := c.now()
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.addresses[agent])
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), dialedAt: at}, nil
}

// popIdle is the connection that was used last; nil without one.
func (c *clientLoad) popIdle(agent int) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idleConns[agent])
	if n == 0 {
		return nil
	}
	conn := c.idleConns[agent][n-1]
	c.idleConns[agent] = c.idleConns[agent][:n-1]
	return conn
}

func (c *clientLoad) putConn(agent int, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[agent] = append(c.idleConns[agent], conn)
}

// peek looks at what has come on an idle connection, without waiting.
func (c *clientConn) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, controlErr)
}

// encodeRequest is the request of an attempt as it is written to the agent.
func encodeRequest(a *Attempt, serial int64, n int, left time.Duration) []byte {
	method := http.MethodPost
	if a.Class == classIdempotent {
		method = http.MethodGet
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		method, a.Class, serial, a.ID, a.Class, tenant, max(1, left.Milliseconds()))
	if n > 0 {
		b.WriteString("X-Retry: 1\r\n")
	}
	if a.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	} else {
		b.WriteString("\r\n")
	}
	return b.Bytes()
}
