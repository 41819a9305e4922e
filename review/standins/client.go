package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// try is one try of a client's request.
type try struct {
	method, target, id, idempotencyKey string
	isRetry                            bool
	deadline                           time.Duration // how long the client waits, as it tells the agent
	body                               string
}

// reply is an agent's answer.
type reply struct {
	status     int
	body       string
	retryAfter string
}

// sendTry writes a try to a connection.
func sendTry(conn net.Conn, t try) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Tenant: crew\r\nX-Deadline-Ms: %d\r\n",
		t.method, t.target, t.id, t.deadline.Milliseconds())
	if t.idempotencyKey != "" {
		head += "Idempotency-Key: " + t.idempotencyKey + "\r\n"
	}
	if t.isRetry {
		head += "X-Retry: 1\r\n"
	}
	if t.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(t.body))
	}
	_, err := io.WriteString(conn, head+"\r\n"+t.body)
	return err
}

// errNoAnswer means that no answer came in time.
var errNoAnswer = errors.New("no answer")

// readReply reads the answer to the try that was sent last, until the time limit.
func readReply(conn net.Conn, until time.Time) (reply, error) {
	_ = conn.SetReadDeadline(until)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, fmt.Errorf("%w: cut off: %w", errNoAnswer, err)
	}
	return reply{status: response.StatusCode, body: string(body), retryAfter: response.Header.Get("Retry-After")}, nil
}
