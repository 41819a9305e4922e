package tcpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// serveOne reads a request, responds if responds is true, and returns the error with which the connection ends, or nil at EOF.
func serveOne(conn net.Conn, responds bool) error {
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return err
	}
	if responds {
		if _, err := io.WriteString(conn, response); err != nil {
			return err
		}
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// Closing the connection of an unanswered request resets it, so that the kernel does not continue to send the request. The connection of an
// answered request is closed without a reset.
func TestUnansweredConnectionIsReset(t *testing.T) {
	ended := make(chan error, 8)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // no connection is accepted after the test
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { ended <- serveOne(conn, n == 0) }()
		}
	}()
	dialer := &net.Dialer{}
	for n, want := range []error{nil, syscall.ECONNRESET} {
		conn, err := Dial(t.Context(), dialer, listener.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET /lookup HTTP/1.1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			if _, err := io.ReadFull(conn, make([]byte, len(response))); err != nil {
				t.Fatal(err)
			}
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
		if err = <-ended; !errors.Is(err, want) {
			t.Errorf("connection %d ended with %v, want %v", n, err, want)
		}
	}
}
