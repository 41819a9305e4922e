package tcpconn

import (
	"context"
	"net"
	"testing"
	"time"
)

// A connection that waits to be accepted when new connections are refused can still be accepted. No other connection is established.
func TestRefuseNew(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	tcp := listener.(*net.TCPListener)
	queued, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = queued.Close() }()
	RefuseNew(tcp)
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	if late, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String()); err == nil {
		_ = late.Close()
		t.Error("a connection was established after RefuseNew")
	}
	if n := AcceptBacklog(tcp); n != 1 {
		t.Errorf("%d connections wait to be accepted, want 1", n)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if _, err = queued.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := accepted.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the byte sent by the accepted connection's client did not arrive: %v", err)
	}
}
