package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"switchfork/internal/faulttest/netfault"
)

const (
	// latencyObjective of every class in a scenario.
	latencyObjective = 800 * time.Millisecond
	// requestTimeout of every class in a scenario.
	requestTimeout = 2 * time.Second
	// lateAnswerWait is how long over its timeout a client still listens, so that a late answer is seen as such.
	lateAnswerWait = time.Second
	// defaultRetryAfter is how long a rejected client waits where the rejection names no time.
	defaultRetryAfter = 200 * time.Millisecond
	requestBody       = "beam=1"
)

// requestStyle is how a client sends a request; the zero value is a plain one.
type requestStyle struct {
	isSplit         bool
	timeout         time.Duration // that the client gives the agent; 0: requestTimeout
	disconnectAfter time.Duration // the client closes its connection so long after it has sent the request; 0: it waits
}

// attemptSpec is one attempt at a request, as its client makes it.
type attemptSpec struct {
	agent  int
	class  string
	serial int64 // of the request
	number int   // of the attempt, from 0 on
	style  requestStyle
}

// newAttempt is the record of an attempt that was not sent yet.
func (s attemptSpec) newAttempt() Attempt {
	a := Attempt{
		Agent: s.agent, ID: fmt.Sprintf("%x-%d", s.serial, s.number), Class: s.class, SentAt: -1, Timeout: s.style.timeout.Microseconds(),
	}
	if s.class == classKeyed {
		a.Key = fmt.Sprintf("%032x", s.serial)
	}
	return a
}

// attemptSender sends requests to agents. Its HTTP is written and read by hand, so that nothing that an agent sends goes unseen. Any
// goroutine may use it.
type attemptSender struct {
	now       netfault.Clock
	processes processStates
	records   *clientRecords
}

// processStates tell clients which processes run.
type processStates interface {
	// running are the agents whose processes run and weren't asked to end.
	running() []int
	// wasKilled tells that an agent's process that lived at a time is over: what ended on a connection to it may have been read.
	wasKilled(agent int, at netfault.Micros) bool
}

// send makes an attempt. Where the connection ended as the request was sent on it, the request goes on another connection.
func (s *attemptSender) send(ctx context.Context, source connSource, spec attemptSpec) Attempt {
	a := spec.newAttempt()
	began := time.Now()
	for {
		conn, err := source.takeConn(ctx, spec.agent)
		if err != nil {
			a.EndedAt, a.Err, a.WasUnreachable = s.now(), err.Error(), true
			return a
		}
		a.DialedAt = conn.dialedAt
		isReusable, err := s.exchange(conn, &a, spec, began)
		if isReusable {
			source.putConn(spec.agent, conn)
			return a
		}
		conn.discard()
		if err == nil {
			return a
		}
		canRetry := time.Since(began) < requestTimeout && !s.processes.wasKilled(spec.agent, conn.dialedAt)
		if conn.closedWhileIdle(err) && canRetry {
			s.records.addCloseRace(CloseRace{Agent: spec.agent, At: s.now(), ID: a.ID, Err: err.Error(), IsReset: !isCleanEnd(err)})
			a.SentAt = -1
			continue
		}
		a.EndedAt, a.Err = s.now(), err.Error()
		return a
	}
}

// exchange writes the request and reads the answer into the attempt. It tells whether the connection may be used again.
func (s *attemptSender) exchange(conn *clientConn, a *Attempt, spec attemptSpec, began time.Time) (isReusable bool, err error) {
	if err := conn.SetDeadline(began.Add(requestTimeout + lateAnswerWait)); err != nil {
		return false, err
	}
	if err := conn.write(encodeRequest(a, spec, a.timeout()-time.Since(began)), spec.style); err != nil {
		return false, err
	}
	a.SentAt = s.now()
	if spec.style.disconnectAfter > 0 {
		time.Sleep(spec.style.disconnectAfter)
		a.HasDisconnected, a.EndedAt = true, s.now()
		return false, nil
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // all of it was read, or err says why not
	a.EndedAt = s.now()
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

// encodeRequest is the request of an attempt as it is written to the agent.
func encodeRequest(a *Attempt, spec attemptSpec, remaining time.Duration) []byte {
	method := http.MethodPost
	if a.Class == classIdempotent {
		method = http.MethodGet
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		method, a.Class, spec.serial, a.ID, a.Class, tenant, max(1, remaining.Milliseconds()))
	if spec.number > 0 {
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

func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (a *Attempt) outcome() string {
	switch {
	case a.Status == http.StatusOK:
		return outcomeSucceeded
	case isRejection(a.Status):
		return outcomeRejected
	default:
		return outcomeFailed
	}
}

// retryAfter is how long the client waits after a rejection; the body of such an attempt holds the Retry-After header.
func (a *Attempt) retryAfter() time.Duration {
	named, err := strconv.ParseFloat(a.Body, 64)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(min(named, requestTimeout.Seconds()) * float64(time.Second))
}

// mayRunElsewhere tells whether an attempt without an answer can be sent to another agent: it never reached its agent, or its class may
// run twice and its timeout has not passed.
func (a *Attempt) mayRunElsewhere() bool {
	if a.WasUnreachable {
		return true
	}
	waited := a.EndedAt - max(a.SentAt, 0)
	return a.Status == 0 && a.Class != classNonIdempotent && waited < requestTimeout.Microseconds()
}
