package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// Headers of the protocol with clients.
const (
	requestIDHeader      = "X-Request-Id"
	classHeader          = "X-Class"
	deadlineHeader       = "X-Deadline-Ms"
	idempotencyKeyHeader = "Idempotency-Key"
	tenantHeader         = "X-Tenant"
	costHintHeader       = "X-Cost-Hint"
	retryHeader          = "X-Retry"
)

// maxCostHintMicros is the exclusive upper limit of a cost hint. A hint that reaches the limit is ignored.
const maxCostHintMicros = 1e9

// sessionKeyDigits is the length of a session key that is written as a 64-bit hexadecimal number.
const sessionKeyDigits = 16

// singleHeaders are the headers that may occur only once in a request. With two values, it would be ambiguous which of them an endpoint uses.
var singleHeaders = []string{requestIDHeader, classHeader, deadlineHeader, idempotencyKeyHeader}

func checkSingleHeaders(header http.Header) error {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return badRequest("more than one %s", name)
		}
	}
	return nil
}

// timeoutOf returns how long a client waits: the time in its X-Deadline-Ms header, or else the timeout of the request's class.
func timeoutOf(header http.Header, classTimeout time.Duration) (time.Duration, error) {
	timeout := classTimeout
	if text := header.Get(deadlineHeader); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds > math.MaxInt32 {
			return 0, badRequest("X-Deadline-Ms is %.20q", text)
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	if timeout <= 0 {
		return 0, &requestError{status: http.StatusGatewayTimeout, reason: "its time is over"}
	}
	return timeout, nil
}

// costHintOf returns the client's estimate of the cost of its request, or 0 if it sent no credible one.
func costHintOf(header http.Header) policy.Micros {
	hint, err := strconv.ParseFloat(header.Get(costHintHeader), 64)
	isCredible := err == nil && hint > 0 && hint < maxCostHintMicros
	if !isCredible {
		return 0
	}
	return policy.Micros(hint)
}

// sessionKey returns the session key of a query. The key is the value of sid if that is a 64-bit number other than 0 in 16 hexadecimal
// digits, or else a hash of the value. sessionKey returns 0 if the query has no sid.
func sessionKey(query string) uint64 {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		sid, ok := strings.CutPrefix(pair, "sid=")
		if !ok || sid == "" {
			continue
		}
		key, err := strconv.ParseUint(sid, 16, 64)
		isSessionKey := err == nil && len(sid) == sessionKeyDigits && key != 0
		if isSessionKey {
			return key
		}
		return protocol.Hash64(sid)
	}
	return 0
}
