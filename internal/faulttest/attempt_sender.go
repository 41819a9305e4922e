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
	// latencyObjective is the latency objective of every class in a scenario.
	latencyObjective = 800 * time.Millisecond
	// requestTimeout is the request timeout of every class in a scenario.
	requestTimeout = 2 * time.Second
	// lateAnswerWait is how long a client still waits for the answer after requestTimeout, so that a late answer is recorded.
	lateAnswerWait = time.Second
	// defaultRetryAfter is how long a client waits after a rejection without a valid Retry-After header.
	defaultRetryAfter = 200 * time.Millisecond
	requestBody       = "beam=1"
)

// requestStyle describes how a client sends a request. The zero value is a plain request.
type requestStyle struct {
	isSplit         bool          // the request is sent in two pieces
	timeout         time.Duration // timeout that the client gives the agent; 0: requestTimeout
	disconnectAfter time.Duration // time after sending at which the client closes its connection; 0: it waits for the answer
}

// attemptSpec describes an attempt that a client makes at a request.
type attemptSpec struct {
	agent  int
	class  string
	serial int64 // serial number of the request in the run, from 1
	number int   // index of the attempt at this request, from 0
	style  requestStyle
}

// newAttempt returns the record of an attempt that has not been sent yet.
func (s attemptSpec) newAttempt() Attempt {
	a := Attempt{
		Agent: s.agent, ID: fmt.Sprintf("%x-%d", s.serial, s.number), Class: s.class, SentAt: -1, Timeout: s.style.timeout.Microseconds(),
	}
	if s.class == classKeyed {
		a.Key = fmt.Sprintf("%032x", s.serial)
	}
	return a
}

// attemptSender sends requests to agents. It writes and reads HTTP messages on the connections itself, without an http.Client, so that it
// notices every byte that an agent sends. Any goroutine may use it.
type attemptSender struct {
	now       netfault.Clock
	processes processStates
	records   *clientRecords
}

// processStates tells clients which agent processes are running.
type processStates interface {
	// running returns the agents whose processes are running and have not been asked to terminate.
	running() []int
	// wasKilled reports whether one of these holds: the agent's newest process has ended, or the process that was running at the time at
	// has since ended without being asked to. Such a process may have read a request before the connection ended.
	wasKilled(agent int, at netfault.Micros) bool
}

// send makes an attempt. If the agent closed a reused connection while the request was sent on it, send records this close race and sends the
// request again on another connection, unless the process was killed or the timeout has passed.
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

// exchange writes the request and reads the answer into the attempt. It reports whether the connection may be used again.
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
	_ = response.Body.Close() // the whole body was read, or err says why not
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

// encodeRequest returns the HTTP request of an attempt as it is written to the agent.
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

// retryAfter returns how long the client waits after a rejection. The Body of a rejected attempt holds the value of its Retry-After header.
func (a *Attempt) retryAfter() time.Duration {
	named, err := strconv.ParseFloat(a.Body, 64)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(min(named, requestTimeout.Seconds()) * float64(time.Second))
}

// mayRunElsewhere reports whether an attempt without an answer can be sent to another agent. That is so if the attempt never reached its
// agent, or if requests of its class may run twice and the attempt ended within requestTimeout.
func (a *Attempt) mayRunElsewhere() bool {
	if a.WasUnreachable {
		return true
	}
	waited := a.EndedAt - max(a.SentAt, 0)
	return a.Status == 0 && a.Class != classNonIdempotent && waited < requestTimeout.Microseconds()
}
