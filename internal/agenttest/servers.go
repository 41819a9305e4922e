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
	t.Cleanup(func() { _ = listener.Close() }) // fails only if the test has closed it already
	return listener
}

// NewScriptedServer starts an endpoint that handles each connection's requests with respond.
func NewScriptedServer(t *testing.T, respond func(c net.Conn, nth int) bool) *fakes.ScriptedServer {
	t.Helper()
	return fakes.NewScriptedServer(Listen(t), respond)
}

// NewStreamServer starts a server of streams that is closed with the test. It answers each call with the text that answer returns for the
// call's target, and writes keepAlive to each stream on which it has written nothing for interval.
func NewStreamServer(t *testing.T, keepAlive string, interval time.Duration, answer func(target string) string) *fakes.StreamServer {
	t.Helper()
	server := fakes.NewStreamServer(Listen(t), keepAlive, interval, answer)
	t.Cleanup(server.Close)
	return server
}

const (
	// maxCaptureBytes is the highest number of bytes that Capture reads from a connection.
	maxCaptureBytes = 4096
	// maxCaptures is the number of connections whose bytes Capture keeps until next is called.
	maxCaptures = 64
)

// Capture accepts connections, keeps the first bytes of each, and closes it. next waits for the next connection and returns its first
// bytes, with HOST:PORT in place of the listener's address.
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
			n, _ := conn.Read(raw)                                // on an error, the bytes before it are kept
			captured <- string(raw[:n])
			_ = conn.Close() // the bytes have been read, so an error does not matter
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
