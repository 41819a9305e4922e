package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
)

// manyFields returns the lines of a head with n short fields.
func manyFields(n int) string {
	var fields strings.Builder
	for i := range n {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// rawPosting encodes a posting with a new id and further header lines, without its body.
func rawPosting(fields string, contentLength int) string {
	return fmt.Sprintf("POST /posting HTTP/1.1\r\nHost: x\r\nX-Request-Id: %08x\r\nIdempotency-Key: k\r\n%sContent-Length: %d\r\n\r\n",
		lastTestID.Add(1), fields, contentLength)
}

// fillMemory takes the memory that all but small requests may take together.
func fillMemory(t *testing.T, server *testServer) {
	t.Helper()
	const step = 1 << 10
	filling := server.memory.Reserve()
	for bytes := int64(step); filling.RaiseToFinish(bytes); bytes += step {
	}
	t.Cleanup(filling.Release)
}

// Guards against taking requests beyond the memory limit: what has no room is rejected at once, before its body or the rest of its head is
// read, and small requests are still served beside large ones.
func TestRequestsBeyondTheMemoryAreRejected(t *testing.T) {
	server := newTestServer(t, true)
	fillMemory(t, server)
	withBody := server.dial(t)
	withBody.send(rawPosting("", protocol.BodyLimit) + "b")
	withBody.expectResponse(http.StatusServiceUnavailable, true)
	withBody.expectEOF()
	withFields := server.dial(t)
	withFields.send("GET /lookup HTTP/1.1\r\n" + manyFields(1000))
	withFields.expectResponse(http.StatusServiceUnavailable, true)
	withFields.expectEOF()
	if n := len(agenttest.Events[policy.RequestArrived](server.Router)); n != 0 {
		t.Errorf("%d requests were accepted, want none", n)
	}
	small := server.dial(t)
	small.send(rawRequest("lookup"))
	server.waitForRequests(t, 1)
	server.rejectAll()
	small.expectResponse(http.StatusServiceUnavailable, false)
}

// Guards against losing count of requests whose clients have left: their memory stays reserved until their attempts have ended.
func TestMemoryOfAbandonedRequestStaysReserved(t *testing.T) {
	server := newRoutingServer(t, false)
	release := make(chan struct{})
	server.endpoint.SetHandler(func(conn net.Conn, nth int) bool {
		<-release
		return fakes.Respond(fakes.OKResponse("done"))(conn, nth)
	})
	client := server.dial(t)
	body := strings.Repeat("b", protocol.BodyLimit)
	client.send(rawPosting("", len(body)) + body)
	agenttest.Eventually(t, "the attempt", func() bool { return len(server.endpoint.Requests()) == 1 })
	_ = client.Close()
	agenttest.Eventually(t, "the end of the connection", server.hasNoConnection)
	if inUse := server.memory.InUse(); inUse < 2*protocol.BodyLimit {
		t.Errorf("got %d bytes reserved while an attempt of %d bytes is in flight, want twice as many", inUse, len(body))
	}
	close(release)
	agenttest.Eventually(t, "the end of the reservation", func() bool { return server.memory.InUse() == 0 })
}

// Guards against responses that take the agent beyond its memory limit: a response without room is not read, and the client gets a final answer.
func TestResponseBeyondTheMemoryIsNotRead(t *testing.T) {
	server := newRoutingServer(t, false)
	server.endpoint.SetHandler(fakes.Respond(fakes.OKResponse(strings.Repeat("r", protocol.BodyLimit))))
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusOK, false)
	agenttest.Eventually(t, "the end of the first request", func() bool { return server.memory.InUse() == 0 })
	fillMemory(t, server.testServer)
	client.send(rawRequest("lookup"))
	client.expectResponse(http.StatusGatewayTimeout, false)
	results := agenttest.Events[policy.AttemptResult](server.Router)
	if outcome := results[len(results)-1].Outcome; outcome != policy.Cancelled {
		t.Errorf("got outcome %v, want one that says nothing about the endpoint", outcome)
	}
}

// The lines of a head are counted up to its end, however it is cut into pieces.
func TestHeadMeter(t *testing.T) {
	const head = "\r\nGET / HTTP/1.1\r\nHost: x\n\r\n"
	whole := headMeter{}
	whole.add([]byte(head + "\n\n\n"))
	pieces := headMeter{}
	for _, c := range []byte(head) {
		pieces.add([]byte{c})
	}
	if whole != pieces || whole.bytes != len(head) || whole.lines != 4 || !whole.isComplete {
		t.Errorf("got %+v for the whole head and %+v for its bytes one by one, want 4 lines and %d bytes", whole, pieces, len(head))
	}
}
