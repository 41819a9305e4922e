package proxy

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
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

// maxCostHint bounds the cost hints that are believed, in microseconds.
const maxCostHint = 1e9

// sessionKeyDigits is the length of a session key that is written as a 64-bit hexadecimal number.
const sessionKeyDigits = 16

// singleHeaders are the headers of which a second would leave open which one an endpoint goes by.
var singleHeaders = []string{requestIDHeader, classHeader, deadlineHeader, idempotencyKeyHeader}

// RequestClass is a class of requests as the configuration has it.
type RequestClass struct {
	Name        string // the first segment of the path
	Idempotency policy.Idempotency
	Timeout     time.Duration // of a request without a deadline of its own
}

// clientRequest is what a client's request says to the agent.
type clientRequest struct {
	class    int
	tenant   int
	key      uint64 // session key, 0 where it has none
	retryKey uint64 // what a retry has too: the hash of the idempotency key, or else the session key
	timeout  time.Duration
	costHint policy.Micros
	isRetry  bool
}

// requestReader decodes clients' requests.
type requestReader struct {
	classes []RequestClass
	tenants []string
}

// read decodes a request. Its errors are of type *requestError.
func (d *requestReader) read(r *http.Request, target string) (*clientRequest, error) {
	path, query, _ := strings.Cut(target, "?")
	if err := checkSingleHeaders(r.Header); err != nil {
		return nil, err
	}
	class, err := d.classOf(path)
	if err != nil {
		return nil, err
	}
	if err = d.classes[class].check(r); err != nil {
		return nil, err
	}
	timeout, err := timeoutOf(r.Header, d.classes[class].Timeout)
	if err != nil {
		return nil, err
	}
	key := sessionKey(query)
	return &clientRequest{
		class:    class,
		tenant:   d.tenantOf(r.Header),
		key:      key,
		retryKey: d.classes[class].retryKey(r.Header, key),
		timeout:  timeout,
		costHint: costHintOf(r.Header),
		isRetry:  r.Header.Get(retryHeader) == "1",
	}, nil
}

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func checkSingleHeaders(header http.Header) error {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return badRequest("more than one %s", name)
		}
	}
	return nil
}

// classOf finds the class that a path's first segment names.
func (d *requestReader) classOf(path string) (int, error) {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if class := d.indexOfClass(segment); class >= 0 {
		return class, nil
	}
	// A name may hold characters that a path has percent-encoded.
	if decoded, err := url.PathUnescape(segment); err == nil {
		if class := d.indexOfClass(decoded); class >= 0 {
			return class, nil
		}
		segment = decoded
	}
	return 0, &requestError{http.StatusNotFound, fmt.Sprintf("no product %.40q", segment)}
}

func (d *requestReader) indexOfClass(name string) int {
	return slices.IndexFunc(d.classes, func(class RequestClass) bool { return class.Name == name })
}

// check tells whether a request has the method and the headers that its class requires.
func (c RequestClass) check(r *http.Request) error {
	if name := r.Header.Get(classHeader); name != "" && name != c.Name {
		return badRequest("X-Class is %.40q under the path of %s", name, c.Name)
	}
	if r.Method != c.method() {
		return &requestError{http.StatusMethodNotAllowed, fmt.Sprintf("%.20q is not the method of %s", r.Method, c.Name)}
	}
	if c.Idempotency == policy.Keyed && r.Header.Get(idempotencyKeyHeader) == "" {
		return badRequest("no Idempotency-Key")
	}
	if r.Header.Get(requestIDHeader) == "" {
		return badRequest("no X-Request-Id")
	}
	return nil
}

// method returns the one HTTP method of the class's requests.
func (c RequestClass) method() string {
	if c.Idempotency == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// retryKey returns what the retries of a request have in common with it, 0 where nothing is known to be.
func (c RequestClass) retryKey(header http.Header, key uint64) uint64 {
	if c.Idempotency == policy.Idempotent {
		return key
	}
	if idempotencyKey := header.Get(idempotencyKeyHeader); idempotencyKey != "" {
		return protocol.Hash64(idempotencyKey)
	}
	return 0
}

// timeoutOf returns how long a client waits: by its header, or else as long as its class says.
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
		return 0, &requestError{http.StatusGatewayTimeout, "its time is over"}
	}
	return timeout, nil
}

// tenantOf returns the tenant's id. All tenants that are not configured share one.
func (d *requestReader) tenantOf(header http.Header) int {
	if tenant := slices.Index(d.tenants, header.Get(tenantHeader)); tenant >= 0 {
		return tenant
	}
	return len(d.tenants)
}

// costHintOf returns the client's estimate of the work, 0 where it has none that can be believed.
func costHintOf(header http.Header) policy.Micros {
	hint, err := strconv.ParseFloat(header.Get(costHintHeader), 64)
	if err != nil || !(hint > 0 && hint < maxCostHint) {
		return 0
	}
	return policy.Micros(hint)
}

// sessionKey returns the 64 bits of the query's sid, or a hash of what else it holds; 0 where there is none.
func sessionKey(query string) uint64 {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		sid, ok := strings.CutPrefix(pair, "sid=")
		if !ok || sid == "" {
			continue
		}
		if key, err := strconv.ParseUint(sid, 16, 64); err == nil && len(sid) == sessionKeyDigits && key != 0 {
			return key
		}
		return protocol.Hash64(sid)
	}
	return 0
}
