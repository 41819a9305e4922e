package netfault

import (
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds the waits for events that should happen at once.
const testTimeout = 20 * time.Second

func newTestClock() Clock {
	start := time.Now()
	return func() Micros { return time.Since(start).Microseconds() }
}

func expectNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: got %.4g, want %.4g", what, got, want)
	}
}

// eventually waits until a condition is met. It fails the test after 30 seconds.
func eventually(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// must fails the test on an error of a call that is not under test.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must(t, err)
}

// readWithin sets a time limit on all further reads of a connection.
func readWithin(t *testing.T, c net.Conn, timeout time.Duration) {
	t.Helper()
	must(t, c.SetReadDeadline(time.Now().Add(timeout)))
}

func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	readWithin(t, c, testTimeout)
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q with error %v, want %q", b, err, want)
	}
}

// closeAtEnd closes c at the end of the test. The test may have closed it before.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// recordingListener keeps the connections that it accepts.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newRecordingListener(t *testing.T) *recordingListener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must(t, err)
	closeAtEnd(t, l)
	r := &recordingListener{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
		}
	}()
	return r
}

// conn waits until the listener has accepted the connection with the index number, from 0, and returns the connection.
func (l *recordingListener) conn(t *testing.T, number int) (c net.Conn) {
	t.Helper()
	eventually(t, "a connection", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if number < len(l.conns) {
			c = l.conns[number]
		}
		return c != nil
	})
	return c
}

func (l *recordingListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// testParty is the party of the relays that tests start.
const testParty = 3

func newTestStream(t *testing.T, l *recordingListener) *Stream {
	t.Helper()
	s, err := NewStream(t.Context(), testParty, l.Addr().String(), 5, newTestClock())
	must(t, err)
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Stream) *net.TCPConn {
	t.Helper()
	c, err := dialWithin(t, s, testTimeout)
	must(t, err)
	closeAtEnd(t, c)
	return c.(*net.TCPConn)
}

func dialWithin(t *testing.T, s *Stream, timeout time.Duration) (net.Conn, error) {
	t.Helper()
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(t.Context(), "tcp", s.Addr())
}

// newTestMesh starts a mesh between two datagram sockets.
func newTestMesh(t *testing.T, now Clock) (*Mesh, [2]*net.UDPConn) {
	t.Helper()
	var sockets [2]*net.UDPConn
	var addresses []string
	for i := range sockets {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		must(t, err)
		closeAtEnd(t, c)
		must(t, c.SetReadBuffer(4<<20))
		sockets[i] = c
		addresses = append(addresses, c.LocalAddr().String())
	}
	m, err := NewMesh(t.Context(), addresses, 7, now)
	must(t, err)
	t.Cleanup(m.Close)
	return m, sockets
}
