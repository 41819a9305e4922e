package tcpconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// Who waits to be accepted when new connections are refused is accepted, and nobody else comes up meanwhile.
func TestRefuseNew(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	tcp := listener.(*net.TCPListener)
	waits, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = waits.Close() }()
	RefuseNew(tcp)
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	if late, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String()); err == nil {
		_ = late.Close()
		t.Error("a connection came up")
	}
	if n := AcceptBacklog(tcp); n != 1 {
		t.Errorf("%d connections wait", n)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if _, err = waits.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := accepted.Read(make([]byte, 1)); n != 1 {
		t.Errorf("what it sends does not arrive: %v", err)
	}
}
