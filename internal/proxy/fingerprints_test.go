package proxy

import (
	"net/http"
	"testing"
)

// Attempts of one request have equal fingerprints. Requests to which an endpoint may give different answers have not.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	type question struct {
		method, target, host, body string
		header                     http.Header
	}
	base := func() question {
		return question{"POST", "/posting?sid=1", "host", "body", http.Header{requestIDHeader: {"1"}, tenantHeader: {"koro"}, "Accept": {"a", "b"}}}
	}
	for _, test := range []struct {
		name        string
		change      func(*question)
		sameContent bool
		sameHeaders bool
	}{
		{"another attempt", func(q *question) { q.header.Set(requestIDHeader, "2"); q.header.Set(retryHeader, "1") }, true, true},
		{"another method", func(q *question) { q.method = "GET" }, false, true},
		{"another path", func(q *question) { q.target = "/posting/a?sid=1" }, false, true},
		{"another parameter", func(q *question) { q.target = "/posting?sid=1&copies=2" }, false, true},
		{"another body", func(q *question) { q.body = "bodY" }, false, true},
		{"another border between target and body", func(q *question) { q.target, q.body = q.target+"\nbo", "dy" }, false, true},
		{"another host", func(q *question) { q.host = "other" }, true, false},
		{"another header", func(q *question) { q.header.Set("Authorization", "x") }, true, false},
		{"another value", func(q *question) { q.header["Accept"][1] = "c" }, true, false},
		{"another order of values", func(q *question) { q.header["Accept"] = []string{"b", "a"} }, true, false},
	} {
		first, other := base(), base()
		test.change(&other)
		sameContent := contentFingerprint(first.method, first.target, []byte(first.body)) == contentFingerprint(other.method, other.target, []byte(other.body))
		sameHeaders := headersFingerprint(first.host, first.header) == headersFingerprint(other.host, other.header)
		if sameContent != test.sameContent || sameHeaders != test.sameHeaders {
			t.Errorf("%s: got same content %t and same headers %t, want %t and %t", test.name, sameContent, sameHeaders, test.sameContent, test.sameHeaders)
		}
	}
}
