package proxy

import (
	"io"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// statusLine matches the start of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] (\d)\d\d`)

// drawAmbiguousRequest draws a request whose end is ambiguous: it has a Transfer-Encoding in some form, or is not in HTTP/1.1. Text of another
// request is in its body, by one of the two lengths.
func drawAmbiguousRequest(rt *rapid.T) string {
	encodings := []string{
		"Transfer-Encoding: chunked", "transfer-encoding:chunked", "TRANSFER-ENCODING: Chunked", "Transfer-Encoding: identity",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding:\r\n chunked",
		"Transfer-Encoding:\r\n\tchunked", "Transfer-Encoding : chunked", "Transfer-Encoding: \x0bchunked", "Transfer-Encoding: chunked \t",
		"Transfer-Encoding:", "Transfer-Encoding: chunked;a=b",
	}
	others := []string{
		"Content-Length: LENGTH", "content-length:LENGTH", "Content-Length: LENGTH\r\nContent-Length: LENGTH", "Content-Length: 0",
		"Content-Length: LENGTH\r\nContent-Length: 0", "Connection: keep-alive", "Connection: Transfer-Encoding", "Connection: Content-Length",
		"Expect: 100-continue", "Expect: nothing", "Upgrade: h2c", "Connection: Upgrade", "Trailer: Content-Length", "X-Folded: a\r\n b",
	}
	version := rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.2", "HTTP/0.9", "HTTP/2.0"}).Draw(rt, "version")
	lines := rapid.SliceOfN(rapid.SampledFrom(others), 0, 4).Draw(rt, "headers")
	if strings.HasPrefix(version, "HTTP/1.") && version != "HTTP/1.0" || rapid.Bool().Draw(rt, "encoded") {
		lines = append(lines, rapid.SampledFrom(encodings).Draw(rt, "encoding"))
	}
	lines = rapid.Permutation(lines).Draw(rt, "order")
	target := rapid.SampledFrom([]string{
		"GET /lookup", "POST /posting", "GET /_health", "HEAD /_health", "OPTIONS *", "OPTIONS /lookup", "CONNECT x:80", "GET http://x/lookup", "PRI *", "GET /unknown",
	}).Draw(rt, "target")
	raw := ambiguousRequest(target+" "+version, strings.Join(lines, "\r\n")+"\r\n", rapid.Bool().Draw(rt, "ends by chunks"))
	if rapid.Bool().Draw(rt, "no id") {
		raw = strings.Replace(raw, "X-Request-Id", "X-Other", 1)
	}
	if rapid.Bool().Draw(rt, "line feeds") {
		raw = strings.ReplaceAll(raw, "\r\n", "\n")
	}
	return raw
}

// A request whose end is ambiguous gets one response at most and the end of its connection, whatever its head looks like. Neither it nor a
// request in its body is served.
func TestRandomAmbiguousRequestsAreNotServed(t *testing.T) {
	server := newTestServer(t, false)
	rapid.Check(t, func(rt *rapid.T) {
		raw := drawAmbiguousRequest(rt)
		client := server.dial(t)
		client.send(raw)
		got, err := io.ReadAll(client)
		_ = client.Close()
		responses := statusLine.FindAllSubmatch(got, -1)
		switch {
		case err != nil:
			rt.Fatalf("sent %q: got %q, then %v", raw, got, err)
		case len(responses) > 1:
			rt.Fatalf("sent %q: got %d responses: %q", raw, len(responses), got)
		case len(responses) == 1 && responses[0][1][0] < '4' && !strings.Contains(raw, "/_health"):
			rt.Fatalf("sent %q: got %q, want an error", raw, got)
		}
		server.Loop.Flush(t.Context())
		if n := len(agenttest.Events[policy.RequestArrived](server.Router)); n != 0 {
			rt.Fatalf("sent %q: %d requests were handed to the router, want none", raw, n)
		}
	})
}
