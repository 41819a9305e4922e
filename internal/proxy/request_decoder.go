package proxy

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// RequestClass is a configured class of requests.
type RequestClass struct {
	Name        string // the first segment of the path
	Idempotency policy.Idempotency
	MayRepeat   bool          // a request that may have run may be sent again with the same id
	Timeout     time.Duration // timeout of a request without X-Deadline-Ms
}

// clientRequest holds the properties of a client's request that the agent uses.
type clientRequest struct {
	class    int
	tenant   int
	key      uint64 // session key; 0: none
	retryKey uint64 // shared by a request and its retries; see RequestClass.retryKey
	timeout  time.Duration
	costHint policy.Micros
	isRetry  bool
}

// requestDecoder decodes clients' requests. It has no state beyond its configuration.
type requestDecoder struct {
	classes []RequestClass
	tenants []string
}

// decode decodes a request. Its errors are of type *requestError.
func (d *requestDecoder) decode(r *http.Request, target string) (*clientRequest, error) {
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
	return &requestError{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

// classOf finds the class that a path's first segment names.
func (d *requestDecoder) classOf(path string) (int, error) {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if class := d.indexOfClass(segment); class >= 0 {
		return class, nil
	}
	// A class name may contain characters that are percent-encoded in a path.
	if decoded, err := url.PathUnescape(segment); err == nil {
		if class := d.indexOfClass(decoded); class >= 0 {
			return class, nil
		}
		segment = decoded
	}
	return 0, &requestError{status: http.StatusNotFound, reason: fmt.Sprintf("no product %.40q", segment)}
}

func (d *requestDecoder) indexOfClass(name string) int {
	return slices.IndexFunc(d.classes, func(class RequestClass) bool { return class.Name == name })
}

// check returns an error unless a request has the method and the headers that its class requires.
func (c RequestClass) check(r *http.Request) error {
	if name := r.Header.Get(classHeader); name != "" && name != c.Name {
		return badRequest("X-Class is %.40q under the path of %s", name, c.Name)
	}
	if r.Method != c.method() {
		return &requestError{
			status: http.StatusMethodNotAllowed,
			reason: fmt.Sprintf("%.20q is not the method of %s", r.Method, c.Name),
		}
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

// retryKey returns the key that a request shares with its retries: the session key of an idempotent request, or else the hash of the
// idempotency key. It returns 0 if there is none.
func (c RequestClass) retryKey(header http.Header, key uint64) uint64 {
	if c.Idempotency == policy.Idempotent {
		return key
	}
	if idempotencyKey := header.Get(idempotencyKeyHeader); idempotencyKey != "" {
		return protocol.Hash64(idempotencyKey)
	}
	return 0
}

// tenantOf returns the tenant's id. All tenants that are not configured share one id.
func (d *requestDecoder) tenantOf(header http.Header) int {
	if tenant := slices.Index(d.tenants, header.Get(tenantHeader)); tenant >= 0 {
		return tenant
	}
	return len(d.tenants)
}
