package netfault

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// Without a fault: bytes, half-closed streams, who connects, and what both sides count.
func TestStreamWithoutFault(t *testing.T) {
	listener := newRecordingListener(t)
	stream := newTestStream(t, listener)
	client := dial(t, stream)
	write(t, client, "there")
	server := listener.conn(t, 0)
	expectRead(t, server, "there")
	if party := PartyOf(server.RemoteAddr()); party != testParty {
		t.Errorf("the server takes the client for party %d", party)
	}
	write(t, server, "and back")
	expectRead(t, client, "and back")
	must(t, client.CloseWrite())
	if n, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the stream's end came as %d, %v", n, err)
	}
	write(t, server, "!")
	expectRead(t, client, "!")
	must(t, server.Close())
	trace := stream.Traces()[0]
	eventually(t, "the end of the connection", func() bool { return trace.ServerSide().HasEnded })
	side := trace.ServerSide()
	if side.Delivered != 5 || side.Received != 9 || side.WasReset {
		t.Errorf("the relay counts %+v", side)
	}
	if trace.SentAt(5) < 0 || trace.SentAt(6) >= 0 || trace.DeliveredAt(9) < trace.DeliveredAt(1) || trace.DeliveredAt(10) >= 0 {
		t.Errorf("the relay traces %+v", trace)
	}
}

// One direction dropped: what is sent that way waits and comes later, as the sender would retransmit it; the other direction goes on.
func TestStreamDropOneDirection(t *testing.T) {
	listener := newRecordingListener(t)
	stream := newTestStream(t, listener)
	client := dial(t, stream)
	write(t, client, "a")
	server := listener.conn(t, 0)
	expectRead(t, server, "a")
	stream.Forward.SetFault(Fault{Drop: true})
	write(t, client, "b")
	write(t, server, "x")
	expectRead(t, client, "x")
	readWithin(t, server, 200*time.Millisecond)
	if _, err := server.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("over the dropped direction came %v", err)
	}
	expectHandshakeBlocked(t, listener, stream)
	expectRead(t, server, "b")
	t.Run("closed", func(t *testing.T) { expectDeliveredAfterClose(t, listener, stream) })
	t.Run("reset", func(t *testing.T) { expectLostAfterReset(t, listener, stream) })
}

// expectHandshakeBlocked expects that no connection comes up while a direction drops everything, and that one that waits comes up once
// the fault is over.
func expectHandshakeBlocked(t *testing.T, listener *recordingListener, stream *Stream) {
	t.Helper()
	eventually(t, "a listener that does not answer", func() bool {
		c, err := dialWithin(t, stream, 300*time.Millisecond)
		if err == nil {
			must(t, c.Close())
		}
		return isTimeout(err)
	})
	waiting := make(chan net.Conn)
	go func() {
		c, err := dialWithin(t, stream, testTimeout)
		if err != nil {
			t.Errorf("a connection that waits for the link got %v when it is back", err)
			c = nil
		}
		waiting <- c
	}()
	stream.Forward.SetFault(Fault{})
	if c := <-waiting; c != nil {
		write(t, c, "w")
		expectRead(t, listener.conn(t, 1), "w")
		must(t, c.Close())
	}
}

// sendDuringDrop opens a connection, writes "vote" while the direction drops everything, and closes the connection.
func sendDuringDrop(t *testing.T, listener *recordingListener, stream *Stream, linger int) (server net.Conn) {
	t.Helper()
	n := listener.count()
	client := dial(t, stream)
	write(t, client, "a")
	server = listener.conn(t, n)
	expectRead(t, server, "a")
	stream.Forward.SetFault(Fault{Drop: true})
	before := stream.Forward.Counters().Received
	write(t, client, "vote")
	eventually(t, "the bytes at the relay", func() bool { return stream.Forward.Counters().Received > before })
	must(t, client.SetLinger(linger))
	must(t, client.Close())
	return server
}

// What was written on an established connection and then closed is delivered after the drop.
func expectDeliveredAfterClose(t *testing.T, listener *recordingListener, stream *Stream) {
	t.Helper()
	server := sendDuringDrop(t, listener, stream, -1)
	stream.Forward.SetFault(Fault{})
	readWithin(t, server, testTimeout)
	if all, err := io.ReadAll(server); string(all) != "vote" || err != nil {
		t.Errorf("after the drop came %q, %v", all, err)
	}
}

// What was written on an established connection and then reset is not delivered any more.
func expectLostAfterReset(t *testing.T, listener *recordingListener, stream *Stream) {
	t.Helper()
	server := sendDuringDrop(t, listener, stream, 0)
	traces := stream.Traces()
	eventually(t, "the reset", func() bool { return traces[len(traces)-1].ServerSide().HasEnded })
	stream.Forward.SetFault(Fault{})
	expectReset(t, "after the drop", server, 0)
}

// expectReset expects that a connection is reset after at most so many bytes.
func expectReset(t *testing.T, what string, c net.Conn, maxBytes int) {
	t.Helper()
	readWithin(t, c, testTimeout)
	if all, err := io.ReadAll(c); len(all) > maxBytes || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%s: read %q, %v", what, all, err)
	}
}

// establish opens a connection on which one byte has passed.
func establish(t *testing.T, listener *recordingListener, stream *Stream) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	n := listener.count()
	client = dial(t, stream)
	write(t, client, "a")
	server = listener.conn(t, n)
	expectRead(t, server, "a")
	return client, server
}

func TestStreamFaults(t *testing.T) {
	listener := newRecordingListener(t)
	stream := newTestStream(t, listener)

	client, server := establish(t, listener, stream)
	stream.Forward.SetFault(Fault{Blackhole: true})
	write(t, client, "swallowed")
	readWithin(t, server, 100*time.Millisecond)
	if _, err := server.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("black hole: %v", err)
	}
	eventually(t, "the bytes' loss", func() bool { return stream.Forward.Counters().Dropped == 1 })
	stream.Forward.SetFault(Fault{})
	expectReset(t, "after the black hole, client", client, 0)
	expectReset(t, "after the black hole, server", server, 0)

	client, server = establish(t, listener, stream)
	stream.Reverse.SetFault(Fault{Refuse: true})
	expectReset(t, "refused, client", client, 0)
	expectReset(t, "refused, server", server, 0)
	n := listener.count()
	if c, err := dialWithin(t, stream, testTimeout); err == nil { // or else it was reset during the handshake
		expectReset(t, "refused anew", c, 0)
		must(t, c.Close())
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("refused anew: %v", err)
	}
	if listener.count() != n {
		t.Error("a refused connection reached the server")
	}
	stream.Reverse.SetFault(Fault{})

	client, server = establish(t, listener, stream)
	stream.Forward.SetFault(Fault{ResetAfterBytes: 4})
	write(t, client, "message")
	expectReset(t, "reset in mid-message", server, 4)
	traces := stream.Traces()
	if side := traces[len(traces)-1].ServerSide(); side.Delivered != 5 || !side.WasReset {
		t.Errorf("reset in mid-message: the relay counts %+v", side)
	}
	stream.Forward.SetFault(Fault{})

	client, server = establish(t, listener, stream)
	stream.Forward.SetFault(Fault{Delay: 200_000})
	began := time.Now()
	write(t, client, "b")
	expectRead(t, server, "b")
	expectNear(t, "delay of a stream, ms", float64(time.Since(began).Milliseconds()), 200, 0.1)

	const rate = 20_000
	stream.Forward.SetFault(Fault{BytesPerSecond: rate})
	began = time.Now()
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, rate))
		written <- err
	}()
	_, err := io.ReadFull(server, make([]byte, rate))
	must(t, errors.Join(err, <-written))
	expectNear(t, "a second's bytes, ms", float64(time.Since(began).Milliseconds()), 1000, 0.1)
}

// A relay that ends takes along all that it started, also connections that are in use, stopped by a fault or not up yet.
func TestCloseEndsAllGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	listener := newRecordingListener(t)
	stream := newTestStream(t, listener)
	mesh, _ := newTestMesh(t, newTestClock())
	stopped := dial(t, stream)
	stream.Forward.SetFault(Fault{Drop: true})
	write(t, stopped, "stopped")
	// While the direction drops everything a connection comes up or not, as it began before the listener was blocked or after.
	ctx, cancel := context.WithCancel(t.Context())
	pending := make(chan struct{})
	go func() {
		defer close(pending)
		if c, err := new(net.Dialer).DialContext(ctx, "tcp", stream.Addr()); err == nil {
			_ = c.Close() // nothing was sent on it
		}
	}()
	stream.Reverse.SetFault(Fault{Delay: 1e9})
	stream.Forward.SetFault(Fault{})
	client := dial(t, stream)
	write(t, client, "a")
	server := listener.conn(t, 0)
	write(t, server, "never")
	stream.Close()
	mesh.Close()
	must(t, listener.Close())
	cancel()
	<-pending
	eventually(t, "as few goroutines as before", func() bool { return runtime.NumGoroutine() <= before })
}
