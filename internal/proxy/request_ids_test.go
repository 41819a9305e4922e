package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// Guards against running a request twice whose client has left and comes again with the same id. Only requests that may run again, and those
// that have not run, are sent a second time.
func TestIDOfRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	ok := fakes.OKResponse("done")
	for _, test := range []struct {
		method, class, first string // first is the response to the first attempt
		wantAgain            int
	}{
		{http.MethodPost, "closing", ok, http.StatusConflict},
		{http.MethodPost, "zone-posting", ok, http.StatusConflict},
		{http.MethodPost, "closing", "HTTP/1.1 500 Sorry\r\nContent-Length: 0\r\n\r\n", http.StatusConflict},
		{http.MethodPost, "closing", "", http.StatusConflict}, // the connection ends
		{http.MethodPost, "closing", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		{http.MethodPost, "posting", ok, http.StatusOK},
		{http.MethodGet, "lookup", ok, http.StatusOK},
	} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s after %.15q, client leaves %v", test.class, test.first, leaves), func(t *testing.T) {
				server := newRoutingServer(t, false)
				answer := make(chan struct{})
				server.endpoint.SetHandler(func(conn net.Conn, nth int) bool {
					if nth > 1 {
						return fakes.Respond(ok)(conn, nth)
					}
					<-answer
					return test.first != "" && fakes.Respond(test.first)(conn, nth)
				})
				raw := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: again-%d\r\nIdempotency-Key: k\r\n\r\n", test.method, test.class, lastTestID.Add(1))
				first := server.dial(t)
				first.send(raw)
				agenttest.Eventually(t, "the attempt", func() bool { return len(server.endpoint.Requests()) == 1 })
				if leaves {
					_ = first.Close()
					agenttest.Eventually(t, "the end of the connection", server.hasNoConnection)
				}
				close(answer)
				agenttest.Eventually(t, "the end of the attempt", func() bool { return server.hasNoOpenID() })
				again := server.dial(t)
				again.send(raw)
				again.expectResponse(test.wantAgain, false)
			})
		}
	}
}

// hasNoOpenID reports whether no request has been read that has not ended.
func (s *testServer) hasNoOpenID() bool {
	s.proxy.requestIDs.mu.Lock()
	defer s.proxy.requestIDs.mu.Unlock()
	return len(s.proxy.requestIDs.reserved) == 0
}

// Ids are remembered for a minute at least, for two at most, and in bounded numbers.
func TestIDMemoryIsBounded(t *testing.T) {
	memory, start := newIDMemory(), time.Now()
	memory.add("a", start)
	memory.add("b", start.Add(minIDMemory))
	if !memory.contains("a") || !memory.contains("b") {
		t.Error("an id was forgotten within a minute")
	}
	memory.add("c", start.Add(2*minIDMemory))
	if memory.contains("a") || !memory.contains("b") {
		t.Error("an id was remembered for more than two minutes, or forgotten within one")
	}
	for i := range 3 * maxRememberedIDs {
		memory.add(fmt.Sprint(i), start.Add(2*minIDMemory))
	}
	if n := len(memory.newer) + len(memory.older); n > 2*maxRememberedIDs {
		t.Errorf("got %d ids remembered, want at most %d", n, 2*maxRememberedIDs)
	}
	if last := fmt.Sprint(3*maxRememberedIDs - 1); !memory.contains(last) {
		t.Error("the last id was forgotten")
	}
}
