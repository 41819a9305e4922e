package endtoend

import (
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// A request that breaks the rules of its class is answered with an error and reaches no endpoint.
func TestInvalidRequests(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	for _, test := range []struct {
		method, target, body string
		headers              []string
		want                 int
	}{
		{"GET", "/nothing", "", nil, 404},
		{"GET", "/posting", "", nil, 405},
		{"DELETE", "/lookup", "", nil, 405},
		{"POST", "/posting", "", []string{"Idempotency-Key", ""}, 400},
		{"GET", "/lookup", "", []string{"X-Request-Id", ""}, 400},
		{"GET", "/lookup", "", []string{"X-Deadline-Ms", "soon"}, 400},
		{"GET", "/lookup", "", []string{"X-Deadline-Ms", "0"}, 504},
		{"POST", "/posting", strings.Repeat("x", 65537), nil, 413},
		{"GET", "/other", "", []string{"X-Class", "lookup"}, 404},
		{"GET", "/lookup", "", []string{"X-Class", "posting"}, 400},
		{"GET", "/lookup", "", []string{"X-Class", "lookup"}, 200},
	} {
		if got := agent.request(t, test.method, test.target, test.body, test.headers...); got.status != test.want {
			t.Errorf("%s %s %v: got %d %q, want %d", test.method, test.target, test.headers, got.status, got.body, test.want)
		}
	}
	if n := len(endpoint.Requests()); n != 1 {
		t.Errorf("got %d attempts at the endpoint, want 1, that of the last request", n)
	}
}

// Input that is not a complete, valid request gets an error response or has its connection closed, in either case within 3 s. No such
// input reaches an endpoint.
func TestMalformedInput(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	head := "POST /posting HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\n"
	smuggled := "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\n\r\n"
	var pending sync.WaitGroup
	for _, test := range []struct{ text, want string }{
		{head + "Content-Length: 64\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "411"},
		{head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + smuggled, "411"},
		{head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody" + smuggled, "400"},
		{head + "Content-Length: -4\r\n\r\nbody" + smuggled, "400"},
		{head + "Content-Length: 99999999999\r\n\r\nbody", "413"},
		{head + "X-Request-Id: 3\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", "400"},
		{"GET /lookup HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), ""},
		{"\x16\x03\x01 noise\r\n\r\n", "400"},
		{head + "Content-Length: 9\r\n\r\nhalf", "400"},
		{"GET /lookup HTTP/1.1\r\nHost: x\r\n", ""},
		{"", ""},
	} {
		pending.Go(func() {
			start := time.Now()
			got := agent.exchangeRaw(t, test.text)
			if got != "" && !strings.HasPrefix(got, "HTTP/1.1 "+test.want) || strings.Count(got, "HTTP/1.1") > 1 {
				t.Errorf("sent %.90q: got %.90q, want at most one response, with a status that begins with %q", test.text, got, test.want)
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("sent %.60q: the connection was open for %v, want at most 3 s", test.text, took)
			}
		})
	}
	pending.Wait()
	if n := len(endpoint.Requests()); n != 0 {
		t.Errorf("got %d attempts at the endpoint, want none: %+v", n, endpoint.Requests())
	}
}

// A request that HTTP/1.0's Transfer-Encoding hides in the body of another reaches no endpoint, and neither does the other.
func TestRequestHiddenInHTTP10ReachesNoEndpoint(t *testing.T) {
	endpoint := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("done")))
	agent := startReadyAgent(t, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	got := agent.exchangeRaw(t, "POST /posting HTTP/1.0\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\nConnection: keep-alive\r\n"+
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2f\r\nGET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: 2\r\n\r\n\r\n0\r\n\r\n")
	if !strings.HasPrefix(got, "HTTP/1.0 505") || strings.Count(got, "\r\n\r\n") != 1 {
		t.Errorf("got %q, want one response with status 505", got)
	}
	if n := len(endpoint.Requests()); n != 0 {
		t.Errorf("got %d attempts at the endpoint, want none: %+v", n, endpoint.Requests())
	}
}
