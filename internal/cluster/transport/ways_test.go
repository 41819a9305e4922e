package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"switchfork/internal/cluster/election"

	"pgregory.net/rapid"
)

func anyMessage(t *rapid.T) election.Message {
	verdict := func(name string) election.Verdict { return election.Verdict(rapid.IntRange(0, 3).Draw(t, name)) }
	number := rapid.Int32()
	return election.Message{
		Kind:   election.Kind(rapid.IntRange(int(election.Prepare), int(election.MembersCommitted)).Draw(t, "kind")),
		Ballot: rapid.Uint64().Draw(t, "ballot"), ReleasedUpTo: rapid.Uint64().Draw(t, "after"),
		Record: election.Record{
			Term: rapid.Uint64().Draw(t, "term"), Index: rapid.Uint32().Draw(t, "serial"),
			Decision: election.Decision{Build: number.Draw(t, "build"), Stage: number.Draw(t, "stage"), Verdict: verdict("verdict")}, Prior: verdict("prior"),
		},
		Recommendation: election.Decision{Build: number.Draw(t, "wished"), Stage: number.Draw(t, "at"), Verdict: verdict("wish")},
		Members:        election.Members{Term: rapid.Uint64().Draw(t, "stamp"), Version: rapid.Uint32().Draw(t, "change"), Mask: rapid.Uint64().Draw(t, "mask")},
	}
}

// What is written is read again as it was, fits into a datagram, and is no judge's sheet of nine-byte lines.
func TestThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, from, group := anyMessage(t), rapid.IntRange(0, election.MaxReplicas-1).Draw(t, "from"), rapid.Uint64().Draw(t, "group")
		b := Encode(group, from, m)
		if len(b) > 256 || len(b)%9 == 0 || !IsFrame(b) {
			t.Fatalf("%d bytes", len(b))
		}
		who, got, err := Decode(group, b)
		if err != nil || who != from || got != m {
			t.Fatalf("%+v became %+v from %d, %v", m, got, who, err)
		}
		if _, _, err = Decode(group+1, b); err != ErrForeign {
			t.Fatalf("another group's message gives %v", err)
		}
		at := rapid.IntRange(0, len(b)-1).Draw(t, "spoilt byte")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, _, err = Decode(group, b); err == nil {
			t.Fatalf("byte %d spoilt, and nobody noticed", at)
		}
	})
}

// Whatever comes is read without a panic, and what is taken is whole: it writes itself again.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(7, 2, election.Message{Kind: election.HandOver, Ballot: 513, ReleasedUpTo: 770}))
	f.Add([]byte{0xa7, 0xc0, 0xd1, 0x5f})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if from, m, err := Decode(7, b); err == nil && !bytes.Equal(Encode(7, from, m), b) {
			t.Errorf("%x reads as %+v, which writes another", b, m)
		}
	})
}

// A frame is read whole or not at all, and none is longer than allowed.
func FuzzNext(f *testing.F) {
	f.Add([]byte{0, 3, 1, 2, 3})
	f.Add([]byte{0xff, 0xff, 1})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := next(bytes.NewReader(b))
		if err == nil && (len(got) == 0 || len(got) > most || len(got) != int(binary.BigEndian.Uint16(b)) || !bytes.Equal(got, b[2:2+len(got)])) {
			t.Errorf("%x reads as %x", b, got)
		}
	})
}

// heard collects what comes.
type heard struct {
	mu  sync.Mutex
	all [][]byte
}

func (h *heard) take(b []byte) { h.mu.Lock(); h.all = append(h.all, b); h.mu.Unlock() }

func (h *heard) last() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.all) == 0 {
		return nil
	}
	return h.all[len(h.all)-1]
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// The other side goes and comes back at the same address: what is said later gets there, on a new connection.
func TestStreamsReconnect(t *testing.T) {
	ctx := t.Context()
	a, err := Listen(ctx, "127.0.0.1:0", func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		h := &heard{}
		inner, stop := context.WithCancel(ctx)
		address := "127.0.0.1:0"
		b, err := Listen(inner, address, h.take)
		if err != nil {
			t.Fatal(err)
		}
		a.SetPeers(map[int]string{1: b.Addr()})
		n := byte(0)
		eventually(t, "a message", func() bool { n++; a.Send(1, []byte{n}); return h.last() != nil })
		stop()
		eventually(t, "the end of the other side", func() bool {
			c, err := net.Dial("tcp", b.Addr())
			if err == nil {
				c.Close()
			}
			return err != nil
		})
		for range 10 * queueMost { // nobody there: the queue stays within its bound, and Send never waits
			a.Send(1, []byte{9})
		}
		a.mu.Lock()
		if q := len(a.lines[1].queue); q > queueMost {
			t.Errorf("%d wait", q)
		}
		a.mu.Unlock()
		again, err := Listen(ctx, b.Addr(), h.take)
		if err != nil {
			t.Skip("the address was taken meanwhile: ", err)
		}
		eventually(t, "a message after its return", func() bool { a.Send(1, []byte("new")); return string(h.last()) == "new" })
		again.listener.Close()
	}
}

// Connections that come and go leave nothing behind.
func TestConnectionsLeaveNothing(t *testing.T) {
	s, err := Listen(t.Context(), "127.0.0.1:0", func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	before := runtime.NumGoroutine()
	for range 100 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	eventually(t, "as few goroutines as before", func() bool { return runtime.NumGoroutine() < before+20 && len(s.places) == 0 })
}

// A frame that is too long ends its connection, and nothing of it is handed on.
func TestTooLongFrameEndsTheConnection(t *testing.T) {
	h := &heard{}
	s, err := Listen(t.Context(), "127.0.0.1:0", h.take)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte{0, 2, 'o', 'k', 0xff, 0xff})
	c.Write(make([]byte, 2000))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err = c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("the connection gives %v", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.all) != 1 || string(h.all[0]) != "ok" {
		t.Errorf("heard %q", h.all)
	}
}

func isTimeout(err error) bool {
	n, is := err.(net.Error)
	return is && n.Timeout()
}
