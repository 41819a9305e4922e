package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"
)

// A message is read in full or not at all, and is never longer than allowed.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte{0, 3, 1, 2, 3})
	f.Add([]byte{0xff, 0xff, 1})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		message, err := readMessage(bytes.NewReader(b))
		if err != nil {
			return
		}
		size := len(message)
		if size == 0 || size > maxMessageBytes || size != int(binary.BigEndian.Uint16(b)) || !bytes.Equal(message, b[2:2+size]) {
			t.Errorf("%x was read as message %x, which does not match its length prefix", b, message)
		}
	})
}

// recorder records the messages that arrive.
type recorder struct {
	mu       sync.Mutex
	messages [][]byte
}

func (r *recorder) receive(message []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, message)
}

// last returns the newest message, or nil if none has arrived.
func (r *recorder) last() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.messages) == 0 {
		return nil
	}
	return r.messages[len(r.messages)-1]
}

func ignore([]byte) {}

func listenForTest(ctx context.Context, t *testing.T, receive func([]byte)) *TCP {
	t.Helper()
	tcp, err := Listen(ctx, "127.0.0.1:0", receive)
	if err != nil {
		t.Fatal(err)
	}
	return tcp
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// After a peer has stopped and returned at the same address, messages sent to it arrive on a new connection. In the meantime the queue
// stays within its bound, and Send does not block.
func TestReconnects(t *testing.T) {
	ctx := t.Context()
	sender := listenForTest(ctx, t, ignore)
	for range 2 {
		received := &recorder{}
		peerCtx, stopPeer := context.WithCancel(ctx)
		peer := listenForTest(peerCtx, t, received.receive)
		sender.SetPeers(map[int]string{1: peer.Addr()})
		n := byte(0)
		eventually(t, "a message", func() bool {
			n++
			sender.Send(1, []byte{n})
			return received.last() != nil
		})
		stopPeer()
		eventually(t, "the end of the peer", func() bool {
			conn, err := dial(ctx, peer.Addr())
			if err == nil {
				discard(conn)
			}
			return err != nil
		})
		for range 10 * maxQueuedMessages {
			sender.Send(1, []byte{9})
		}
		sender.mu.Lock()
		if queued := len(sender.links[1].queue); queued > maxQueuedMessages {
			t.Errorf("%d messages are queued, more than the queue may hold", queued)
		}
		sender.mu.Unlock()
		returned, err := Listen(ctx, peer.Addr(), received.receive)
		if err != nil {
			t.Skip("the address was taken meanwhile: ", err)
		}
		eventually(t, "a message after the peer's return", func() bool {
			sender.Send(1, []byte("new"))
			return string(received.last()) == "new"
		})
		if err = returned.listener.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Connections that have been opened and closed again leave no goroutine behind, and no longer count as inbound connections.
func TestConnectionsAreReleased(t *testing.T) {
	tcp := listenForTest(t.Context(), t, ignore)
	before := runtime.NumGoroutine()
	for range 100 {
		conn, err := dial(t.Context(), tcp.Addr())
		if err != nil {
			t.Fatal(err)
		}
		discard(conn)
	}
	eventually(t, "no inbound connections and fewer than 20 goroutines more than before", func() bool { return runtime.NumGoroutine() < before+20 && len(tcp.inbound) == 0 })
}

// A message that is too long ends its connection, and no part of it is passed on.
func TestOversizedMessageEndsConnection(t *testing.T) {
	received := &recorder{}
	tcp := listenForTest(t.Context(), t, received.receive)
	conn, err := dial(t.Context(), tcp.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer discard(conn)
	if _, err = conn.Write([]byte{0, 2, 'o', 'k', 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(make([]byte, 2000)) // fails if the connection has ended already
	if err = conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err = conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("reading after an oversized message: got error %v, want the end of the connection", err)
	}
	received.mu.Lock()
	defer received.mu.Unlock()
	if len(received.messages) != 1 || string(received.messages[0]) != "ok" {
		t.Errorf("received %q, want only the message \"ok\"", received.messages)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// A message that is longer than readers accept is not sent. The test guards against truncating the length to 16 bits: a message over 64 KiB
// would have been read as a short message, and the rest of it as further messages; a message between 1 KiB and 64 KiB ended the connection
// at the reader. A message now has 85 bytes for any number of members. With an encoding that grows with the number of members, the fault
// would first have shown in a large fleet.
func TestLongMessageIsNotSent(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	received := make(chan int, 1)
	go func() {
		n, _ := io.Copy(io.Discard, far)
		received <- int(n)
	}()
	for _, size := range []int{maxMessageBytes + 1, 1<<16 + 3} {
		var wrongSize *messageSizeError
		if err := writeMessage(near, make([]byte, size)); !errors.As(err, &wrongSize) || wrongSize.size != size {
			t.Errorf("writing a message of %d bytes: got error %v, want a messageSizeError with its size", size, err)
		}
	}
	_ = far.Close()
	if n := <-received; n != 0 {
		t.Errorf("%d bytes were sent, want none", n)
	}
}

// When the context of Listen ends, so do the listener and the links; SetPeers and Send return at once after that.
func TestContextEndsTransport(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, stop := context.WithCancel(t.Context())
	received := &recorder{}
	peer := listenForTest(ctx, t, received.receive)
	sender := listenForTest(ctx, t, ignore)
	sender.SetPeers(map[int]string{1: peer.Addr()})
	eventually(t, "a message", func() bool {
		sender.Send(1, []byte("sent"))
		return received.last() != nil
	})
	stop()
	eventually(t, "the goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
	if conn, err := dial(t.Context(), sender.Addr()); err == nil {
		discard(conn)
		t.Error("the listener is open after the context has ended")
	}
	sender.SetPeers(map[int]string{2: peer.Addr()})
	sender.Send(1, []byte("late"))
	sender.Send(2, []byte("late"))
}

// A link to an address that is no longer among the peers ends, and so does its connection. The other links stay.
func TestSetPeersEndsLinks(t *testing.T) {
	ctx := t.Context()
	sender := listenForTest(ctx, t, ignore)
	kept, removed := &recorder{}, &recorder{}
	keptPeer, removedPeer := listenForTest(ctx, t, kept.receive), listenForTest(ctx, t, removed.receive)
	sender.SetPeers(map[int]string{1: keptPeer.Addr(), 2: removedPeer.Addr()})
	eventually(t, "a message to each", func() bool {
		sender.Send(1, []byte("first"))
		sender.Send(2, []byte("first"))
		return kept.last() != nil && removed.last() != nil
	})
	keptLink := sender.links[1]
	sender.SetPeers(map[int]string{1: keptPeer.Addr()})
	sender.mu.Lock()
	if len(sender.links) != 1 || sender.links[1] != keptLink {
		t.Errorf("links are %v, want only the unchanged link to peer 1", sender.links)
	}
	sender.mu.Unlock()
	eventually(t, "the end of the connection to the peer that was removed", func() bool { return len(removedPeer.inbound) == 0 })
	if len(keptPeer.inbound) != 1 {
		t.Errorf("%d connections to the peer that stayed, want 1", len(keptPeer.inbound))
	}
}
