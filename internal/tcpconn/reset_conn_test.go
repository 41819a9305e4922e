package tcpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// A submission or a vote that was given up is taken back from the system too: its connection ends with a reset, so that nothing of it
// is still sent. One that was answered ends as usual.
func TestGivenUpIsReset(t *testing.T) {
	ended := make(chan error, 8)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 4096)
				if _, err := c.Read(b); err != nil {
					ended <- err
					return
				}
				if n == 0 {
					io.WriteString(c, response)
				}
				_, err := io.Copy(io.Discard, c)
				ended <- err
			}()
		}
	}()
	dialer := &net.Dialer{}
	for n, want := range []error{nil, syscall.ECONNRESET} {
		c, err := Dial(t.Context(), dialer, l.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "GET /lookup HTTP/1.1\r\n\r\n")
		if n == 0 {
			io.ReadFull(c, make([]byte, len(response)))
		}
		c.Close()
		if err = <-ended; !errors.Is(err, want) {
			t.Errorf("connection %d ended with %v, want %v", n, err, want)
		}
	}
}
