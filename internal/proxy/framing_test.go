package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// ambiguousRequest encodes a request with the given request line and headers that has the text of another request in its body: by its
// Transfer-Encoding, or, if endsByChunks is set, by its Content-Length.
func ambiguousRequest(requestLine, headers string, endsByChunks bool) string {
	hidden := rawRequest("lookup?sid=hidden")
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	length := strings.Index(body, hidden)
	if endsByChunks {
		body = "0\r\n\r\n" + hidden
		length = len(body)
	}
	headers = strings.ReplaceAll(headers, "LENGTH", fmt.Sprint(length))
	return fmt.Sprintf("%s\r\nHost: x\r\nX-Request-Id: %08x\r\n%s\r\n%s", requestLine, lastTestID.Add(1), headers, body)
}

// expectNothingServed sends a request that is not valid, and waits for an error and the end of the connection. No request may be handed to the
// router, neither the one that is sent nor one in its body.
func expectNothingServed(t *testing.T, raw string) {
	t.Helper()
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send(raw)
	response, err := client.readResponse()
	if err != nil || response.status < http.StatusBadRequest || !response.isLast {
		t.Errorf("got response %+v, error %v; want an error status that closes the connection", response, err)
	}
	if response, err := client.readResponse(); err == nil {
		t.Errorf("got a second response, %+v", response)
	}
	server.Loop.Flush(t.Context())
	if n := len(agenttest.Events[policy.RequestArrived](server.Router)); n != 0 {
		t.Errorf("%d requests were handed to the router, want none", n)
	}
}

// A request in HTTP/1.0 whose Transfer-Encoding hides another request is rejected, and the hidden one never runs.
func TestHiddenRequestInHTTP10IsNotServed(t *testing.T) {
	const keepAlive = "Connection: keep-alive\r\n"
	for name, headers := range map[string]string{
		"both headers":              keepAlive + "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n",
		"both, the other way":       keepAlive + "Transfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n",
		"Transfer-Encoding alone":   keepAlive + "Transfer-Encoding: chunked\r\n",
		"an unknown encoding":       keepAlive + "Content-Length: LENGTH\r\nTransfer-Encoding: x, chunked\r\n",
		"two encodings":             keepAlive + "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"a folded encoding":         keepAlive + "Content-Length: LENGTH\r\nTransfer-Encoding:\r\n chunked\r\n",
		"an encoding in small type": keepAlive + "content-length: LENGTH\r\ntransfer-encoding: chunked\r\n",
		"a continuation":            keepAlive + "Expect: 100-continue\r\nContent-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n",
	} {
		for _, requestLine := range []string{"GET /lookup", "POST /posting", "GET /unknown"} {
			t.Run(name+" "+requestLine, func(t *testing.T) {
				expectNothingServed(t, ambiguousRequest(requestLine+" HTTP/1.0", headers, false))
			})
		}
	}
}

// A health check in HTTP/1.0 is answered, and nothing behind it is read as a request.
func TestHealthCheckInHTTP10EndsItsConnection(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	client.send("GET /_health HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + rawRequest("lookup"))
	client.expectResponse(http.StatusOK, true)
	client.expectEOF()
	server.Loop.Flush(t.Context())
	if n := len(agenttest.Events[policy.RequestArrived](server.Router)); n != 0 {
		t.Errorf("%d requests were handed to the router, want none", n)
	}
}

// A health check with a Transfer-Encoding does not get past the check of the framing, and no request in its body is served.
func TestHiddenRequestInHealthCheckIsNotServed(t *testing.T) {
	raw := ambiguousRequest("GET /_health HTTP/1.1", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n", true)
	expectNothingServed(t, strings.Replace(raw, "X-Request-Id", "X-Other", 1)) // a health check has no id
}

// OPTIONS * does not get past the check of the framing: net/http must not answer it by itself.
func TestHiddenRequestInServerOptionsIsNotServed(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			headers := "Connection: keep-alive\r\nContent-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n"
			expectNothingServed(t, ambiguousRequest("OPTIONS * "+version, headers, version == "HTTP/1.1"))
		})
	}
	t.Run("without a body", func(t *testing.T) {
		client := newTestServer(t, false).dial(t)
		client.send("OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
		client.expectResponse(http.StatusNotFound, false)
	})
}
