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

// singleHeaders are the headers of which a second would leave open which one an appliance goes by.
var singleHeaders = []string{"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"}

// clientRequest is what a client's request says.
type clientRequest struct {
	class, tenant int
	key           uint64
	retryKey      uint64 // what its next try will carry too: its reference, or else its key
	timeout       time.Duration
	costHint      policy.Micros
	isRetry       bool
}

// requestReader reads clients' requests by the names that were told at the start.
type requestReader struct {
	names   []string
	effects []policy.Idempotency
	expiry  []time.Duration
	tenants []string
}

// requestError is a request that is answered without the module.
type requestError struct {
	status int
	reason string
}

func (f *requestError) Error() string { return f.reason }

// read decodes a request; a nil order comes with a fault.
func (c *requestReader) read(r *http.Request, target string) (*clientRequest, *requestError) {
	bad := func(status int, format string, with ...any) (*clientRequest, *requestError) {
		return nil, &requestError{status, fmt.Sprintf(format, with...)}
	}
	path, query, _ := strings.Cut(target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, h := range singleHeaders {
		if len(r.Header[h]) > 1 {
			return bad(http.StatusBadRequest, "more than one %s", h)
		}
	}
	o := &clientRequest{class: slices.Index(c.names, first)}
	if plain, err := url.PathUnescape(first); o.class < 0 && err == nil { // a name may hold what a path writes with percent signs
		first, o.class = plain, slices.Index(c.names, plain)
	}
	if o.class < 0 {
		return bad(http.StatusNotFound, "no product %.40q", first)
	}
	if class := r.Header.Get("X-Class"); class != "" && class != first {
		return bad(http.StatusBadRequest, "X-Class is %.40q under the path of %s", class, first)
	}
	inquiry := c.effects[o.class] == policy.Idempotent
	if inquiry != (r.Method == http.MethodGet) || !inquiry && r.Method != http.MethodPost {
		return bad(http.StatusMethodNotAllowed, "%.20q is not the method of %s", r.Method, first)
	}
	if c.effects[o.class] == policy.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	}
	if r.Header.Get("X-Request-Id") == "" {
		return bad(http.StatusBadRequest, "no X-Request-Id")
	}
	wait := r.Header.Get("X-Deadline-Ms")
	if o.timeout = c.expiry[o.class]; wait != "" {
		ms, err := strconv.ParseInt(wait, 10, 64)
		if err != nil || ms > math.MaxInt32 {
			return bad(http.StatusBadRequest, "X-Deadline-Ms is %.20q", wait)
		}
		o.timeout = time.Duration(ms) * time.Millisecond
	}
	if o.timeout <= 0 {
		return bad(http.StatusGatewayTimeout, "its time is over")
	}
	// A customer that was not told shares one number with all others of that sort.
	if o.tenant = slices.Index(c.tenants, r.Header.Get("X-Tenant")); o.tenant < 0 {
		o.tenant = len(c.tenants)
	}
	if o.key = sessionKey(query); inquiry {
		o.retryKey = o.key
	} else if ref := r.Header.Get("Idempotency-Key"); ref != "" {
		o.retryKey = protocol.Hash64(ref)
	}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && us > 0 && us < 1e9 {
		o.costHint = policy.Micros(us)
	}
	o.isRetry = r.Header.Get("X-Retry") == "1"
	return o, nil
}

// sessionKey is the 64 bits of sid, or a hash of what else it holds; 0 where there is none.
func sessionKey(query string) uint64 {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		sid, ok := strings.CutPrefix(pair, "sid=")
		if !ok || sid == "" {
			continue
		}
		if v, err := strconv.ParseUint(sid, 16, 64); err == nil && len(sid) == 16 && v != 0 {
			return v
		}
		return protocol.Hash64(sid)
	}
	return 0
}
