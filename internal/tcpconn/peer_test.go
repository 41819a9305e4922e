package tcpconn

import (
	"net"
	"testing"
	"time"
)

// connect returns both sides of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the connection stays
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() }) // the test may have closed them
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// A peer's close is known although input from before it is unread, and so is a reset.
func TestPeerOf(t *testing.T) {
	const unread = "unread"
	for name, test := range map[string]struct {
		leave func(client, server *net.TCPConn) error
		want  bool
	}{
		"stays":             {func(_, _ *net.TCPConn) error { return nil }, false},
		"closes":            {func(client, _ *net.TCPConn) error { return client.Close() }, true},
		"closes its side":   {func(client, _ *net.TCPConn) error { return client.CloseWrite() }, true},
		"resets":            {func(client, _ *net.TCPConn) error { _ = client.SetLinger(0); return client.Close() }, true},
		"closed by us":      {func(_, server *net.TCPConn) error { return server.Close() }, true},
		"half closed by us": {func(_, server *net.TCPConn) error { return server.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			raw, err := server.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if _, err = client.Write([]byte(unread)); err != nil {
				t.Fatal(err)
			}
			if err = test.leave(client, server); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond) // the close reaches the other side
			peer := PeerOf(raw)
			if peer.IsGone != test.want {
				t.Errorf("got gone %v, want %v", peer.IsGone, test.want)
			}
			if !test.want && (peer.UnreadBytes != len(unread) || peer.ReceiveBuffer <= 0) {
				t.Errorf("got %+v, want %d unread bytes and the buffer's size", peer, len(unread))
			}
		})
	}
}
