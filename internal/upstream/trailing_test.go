package upstream_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
)

// jsonResponse returns a response with a JSON body and the given Content-Length.
func jsonResponse(body string, contentLength int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", contentLength, body)
}

// textResponse returns a response with a text body and the given Content-Length.
func textResponse(body string, contentLength int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", contentLength, body)
}

// Guards against serving a response that its Content-Length cuts off as if it were whole. The rest of the body may still be in the kernel,
// may look like a part of another message, or may be a line end.
func TestCutResponseIsNotServed(t *testing.T) {
	const object = `{"id":"c8-04","balance":10350}`
	long := strings.Repeat("0123456789abcdef", 3<<10)
	cut := func(body string, missing int) string { return textResponse(body, len(body)-missing) }
	for name, response := range map[string]string{
		"text":                         cut("balance 10350", 3),
		"JSON object":                  jsonResponse(object, len(object)-3),
		"JSON number":                  jsonResponse("10350", 3),
		"JSON and a line end":          jsonResponse(object+"\n", len(object)),
		"two JSON documents":           strings.Replace(jsonResponse(object+object, len(object)), "application/json", "application/x-ndjson", 1),
		"body longer than the buffer":  cut(long, 9),
		"no byte of the body":          cut("done", 4),
		"short rest like a status":     cut("HTTP", 4),
		"one byte":                     cut("done", 1),
		"text and noise":               fakes.OKResponse("done") + "\x00\xff noise", // can't be told from a cut body
		"status 503 that has not run":  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nfull",
		"announced end of connection":  strings.Replace(cut("balance 10350", 3), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
		"early end of chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n5\r\n10350\r\n0\r\n\r\n",
		"cut copy behind the cut body": cut("balance 10350", 3) + cut("balance 10350", 3),
	} {
		t.Run(name, func(t *testing.T) {
			server := agenttest.NewScriptedServer(t, fakes.Respond(response))
			r := agenttest.NewRig(t, agenttest.WaitTimeout)
			r.PublishOne(server.Addr())
			got := r.Send(t, 1, agenttest.KeyedRequest, agenttest.WaitTimeout)
			if got.Response != nil {
				t.Fatalf("got a response with the body %.40q, want none", got.Response.Body)
			}
			if results := agenttest.Events[policy.AttemptResult](r.Router); len(results) != 1 || results[0].Outcome != policy.Malformed {
				t.Errorf("got attempt results %+v, want one malformed response", results)
			}
		})
	}
}

// A response that is whole is served even if a second response or noise follows it.
func TestWholeResponseIsServedWithWhatFollows(t *testing.T) {
	const object = `{"id":"c8-04","balance":10350}`
	copied := jsonResponse(object, len(object))
	for name, response := range map[string]string{
		"copy of JSON":         copied + copied,
		"copy of text":         fakes.OKResponse("done") + fakes.OKResponse("done"),
		"other response":       fakes.OKResponse("done") + "HTTP/1.0 500 Sorry\r\n\r\n",
		"noise behind JSON":    copied + "\x00\xff noise",
		"brackets behind JSON": copied + "}}}",
	} {
		t.Run(name, func(t *testing.T) {
			server := agenttest.NewScriptedServer(t, fakes.Respond(response))
			r := agenttest.NewRig(t, agenttest.WaitTimeout)
			r.PublishOne(server.Addr())
			if got := r.Send(t, 1, agenttest.KeyedRequest, agenttest.WaitTimeout); got.Response == nil {
				t.Errorf("got reply %+v, want a response", got)
			}
			agenttest.Eventually(t, "the end of the connection", func() bool { return server.Closed() == 1 })
		})
	}
}

// A response after which the endpoint closes its side, without having announced it, is served.
func TestResponseBeforeEndOfConnectionIsServed(t *testing.T) {
	server := agenttest.NewScriptedServer(t, func(conn net.Conn, _ int) bool {
		_, _ = io.WriteString(conn, fakes.OKResponse("done")) // a failed write fails the test below
		return false
	})
	for range 20 {
		r := agenttest.NewRig(t, agenttest.WaitTimeout)
		r.PublishOne(server.Addr())
		if got := r.Send(t, 1, agenttest.KeyedRequest, agenttest.WaitTimeout); got.Response == nil {
			t.Fatalf("got reply %+v, want a response", got)
		}
	}
}
