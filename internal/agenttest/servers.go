package agenttest

import (
	"net"
	"strings"
	"testing"
	"time"

	"switchfork/internal/fakes"
)

// Listen opens a listener on loopback that is closed with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := fakes.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // closed twice where the test has closed it
	return listener
}

// NewScriptedServer starts an endpoint that handles each connection's requests with respond.
func NewScriptedServer(t *testing.T, respond func(c net.Conn, nth int) bool) *fakes.ScriptedServer {
	t.Helper()
	return fakes.NewScriptedServer(Listen(t), respond)
}

// NewStreamServer starts a server of streams that writes keepAlive every so often, and to each call what first returns before.
func NewStreamServer(t *testing.T, keepAlive string, every time.Duration, first func(target string) string) *fakes.StreamServer {
	t.Helper()
	server := fakes.NewStreamServer(Listen(t), keepAlive, every, first)
	t.Cleanup(server.Close)
	return server
}

const (
	// maxCaptureBytes is how much of a connection Capture reads.
	maxCaptureBytes = 4096
	// maxCaptures is how many connections Capture keeps for next.
	maxCaptures = 64
)

// Capture accepts connections, keeps the first bytes of each, and closes it. next waits for those of the next connection.
func Capture(t *testing.T) (address string, next func() string) {
	t.Helper()
	listener := Listen(t)
	captured := make(chan string, maxCaptures)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			raw := make([]byte, maxCaptureBytes)
			_ = conn.SetReadDeadline(time.Now().Add(WaitTimeout)) // fails only on a closed connection, which Read reports
			n, _ := conn.Read(raw)                                // what came before an error is what counts
			captured <- string(raw[:n])
			_ = conn.Close() // it is not used any more
		}
	}()
	return listener.Addr().String(), func() string {
		select {
		case text := <-captured:
			return strings.ReplaceAll(text, listener.Addr().String(), "HOST:PORT")
		case <-time.After(WaitTimeout):
			t.Fatalf("no connection was captured within %v", WaitTimeout)
			return ""
		}
	}
}
