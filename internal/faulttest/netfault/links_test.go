package netfault

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

func clock() Clock {
	start := time.Now()
	return func() Micros { return time.Since(start).Microseconds() }
}

func near(t *testing.T, what string, got, want, part float64) {
	t.Helper()
	if math.Abs(got-want) > part*want {
		t.Errorf("%s: %.4g, asked for %.4g", what, got, want)
	}
}

// What is decided without I/O, over many draws.
func TestWhatIsAskedIsDrawn(t *testing.T) {
	const many = 200_000
	gone, doubled, late := 0, 0, 0.0
	w := NewWay(1)
	w.Set(Fault{Lose: 0.3, Double: 0.2, Slow: 50_000, Spread: 20_000})
	for i := range int64(many) {
		now := i * 100_000 // apart by more than the spread: none waits for the one ahead
		switch f := w.Datagram(now, 80); f.Copies {
		case 0:
			gone++
		case 2:
			doubled++
			fallthrough
		default:
			if late += float64(f.At - now); f.At < now+30_000 || f.At > now+70_000 {
				t.Fatalf("%d late, asked for 30 to 70 ms", f.At-now)
			}
		}
	}
	near(t, "loss", float64(gone)/many, 0.3, 0.02)
	near(t, "doubled", float64(doubled)/float64(many-gone), 0.2, 0.02)
	near(t, "delay", late/float64(many-gone), 50_000, 0.02)

	w.Set(Fault{Swap: 0.25})
	held, before := 0, false
	for i := range int64(many) {
		f := w.Datagram(1e12+i, 80)
		if f.Held {
			held++
		}
		if f.Release != before {
			t.Fatal("the one after a held one lets it go, and no other does")
		}
		before = f.Held
	}
	near(t, "overtaken", float64(held)/many, 0.25, 0.02)

	w.Set(Fault{Rate: 10_000})
	at := Micros(0)
	for range 1000 {
		at = w.Piece(2e12, 200, at)
	}
	near(t, "time of 200,000 bytes", float64(at-2e12), 20e6, 0.001)

	w.Set(Fault{Lose: 0.5})
	sum := 0.0
	for i := range int64(many) {
		sum += float64(w.Piece(3e12+i, 10, 0) - 3e12 - i)
	}
	expected, p := 0.0, 1.0
	for i := range resends {
		p *= 0.5
		expected += p * float64(resend<<i)
	}
	near(t, "a piece's wait at half lost", sum/many, expected, 0.05)
	for _, f := range []Fault{{Drop: true}, {Refuse: true}, {Silent: true}} {
		w.Set(f)
		if got := w.Datagram(4e12, 1); got.Copies != 0 {
			t.Errorf("%+v lets a datagram through", f)
		}
	}
	w.Set(Fault{})
	w.Released()
	if f := w.Datagram(5e12, 1); f != (Fate{Copies: 1, At: 5e12}) {
		t.Errorf("nothing is wrong, and it goes as %+v", f)
	}
}

// pair are two datagram sockets with a mesh between them.
func pair(t *testing.T, now Clock) (*Mesh, [2]*net.UDPConn) {
	t.Helper()
	var socks [2]*net.UDPConn
	var at []string
	for i := range socks {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetReadBuffer(4 << 20)
		socks[i], at = c, append(at, c.LocalAddr().String())
	}
	m, err := NewMesh(at, 7, now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m, socks
}

// Loss, delay, rate, doubling and order of real datagrams, as counted at the far end.
func TestDatagramFaultsAct(t *testing.T) {
	now := clock()
	m, socks := pair(t, now)
	known, err := net.ResolveUDPAddr("udp", m.Known(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	back := m.Known(1, 0)
	play := func(f Fault, many, bytes int, every time.Duration) (got []int, took []float64, lasted Micros) {
		m.Way(0, 1).Set(f)
		before := m.Way(0, 1).Count()
		start, ended := now(), make(chan struct{})
		go func() {
			defer close(ended)
			buf := make([]byte, 2048)
			for {
				n, from, err := socks[1].ReadFromUDP(buf)
				if err != nil || n == 1 {
					return
				}
				if n == 2 {
					continue
				}
				if from.String() != back {
					t.Errorf("from %v, known as %s", from, back)
				}
				got = append(got, int(binary.BigEndian.Uint32(buf)))
				took = append(took, float64(now()-int64(binary.BigEndian.Uint64(buf[4:]))))
			}
		}()
		b := make([]byte, bytes)
		for i := range many {
			binary.BigEndian.PutUint32(b, uint32(i))
			binary.BigEndian.PutUint64(b[4:], uint64(now()))
			socks[0].WriteToUDP(b, known)
			time.Sleep(every)
			if (i+1)%100 == 0 || i+1 == many { // the system's own queues are short
				eventually(t, "all at the relay", func() bool { return m.Way(0, 1).Count().Came-before.Came == int64(i+1) })
			}
		}
		m.Way(0, 1).Set(Fault{})
		socks[0].WriteToUDP([]byte{0, 0}, known) // behind all, and lets one go that waits to be overtaken
		socks[0].WriteToUDP([]byte{0}, known)    // the end
		<-ended
		lasted = now() - start
		if want := m.Way(0, 1).Count().Went - before.Went - 2; int64(len(got)) != want {
			t.Errorf("%d arrived, the relay counts %d", len(got), want)
		}
		return got, took, lasted
	}
	got, _, _ := play(Fault{}, 2000, 80, 0)
	if len(got) != 2000 || !slices.IsSorted(got) {
		t.Errorf("nothing wrong, and of 2000 came %d, in order: %t", len(got), slices.IsSorted(got))
	}
	got, _, _ = play(Fault{Lose: 0.3}, 5000, 80, 0)
	near(t, "lost", 1-float64(len(got))/5000, 0.3, 0.1)
	got, _, _ = play(Fault{Double: 0.3}, 5000, 80, 0)
	near(t, "doubled", float64(len(got))/5000-1, 0.3, 0.1)
	got, _, _ = play(Fault{Swap: 0.2}, 5000, 80, 0)
	turned := 0
	for i := 1; i < len(got); i++ {
		if got[i] < got[i-1] {
			turned++
		}
	}
	near(t, "overtaken", float64(turned)/5000, 0.2, 0.1)
	got, took, _ := play(Fault{Slow: 300_000, Spread: 50_000}, 100, 80, 5*time.Millisecond)
	slices.Sort(took)
	near(t, "delay", took[len(took)/2], 300_000, 0.2) // keeping its order, a datagram waits for the one ahead: up to the spread
	if len(got) != 100 || took[0] < 250_000 {
		t.Errorf("%d came, the first after %.0f us", len(got), took[0])
	}
	_, took, _ = play(Fault{Slow: 300_000}, 50, 80, time.Millisecond)
	slices.Sort(took)
	near(t, "even delay", took[len(took)/2], 300_000, 0.1)
	_, _, lasted := play(Fault{Rate: 20_000}, 200, 200, 0)
	near(t, "time of 40,000 bytes", float64(lasted), 2e6, 0.1)

	// What is not the party's own is none of the mesh's.
	stranger, err := net.DialUDP("udp", nil, known)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("who"))
	eventually(t, "a foreign datagram's count", func() bool { return m.Way(0, 1).Count().Foreign == 1 })
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// far is a listener that keeps its connections.
type far struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newFar(t *testing.T) *far {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &far{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
		}
	}()
	return f
}

func (f *far) conn(t *testing.T, nth int) (c net.Conn) {
	t.Helper()
	eventually(t, "a connection", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if nth < len(f.conns) {
			c = f.conns[nth]
		}
		return c != nil
	})
	return c
}

func (f *far) many() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.conns) }

func through(t *testing.T, f *far) *Stream {
	t.Helper()
	s, err := NewStream(3, f.Addr().String(), 5, clock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Stream) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// reads wants a text within a while.
func reads(t *testing.T, c net.Conn, want string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v, want %q", b, err, want)
	}
}

// Nothing wrong: bytes, halves of the end, who speaks and the account of both sides.
func TestStreamPasses(t *testing.T) {
	f := newFar(t)
	s := through(t, f)
	c := dial(t, s)
	c.Write([]byte("there"))
	end := f.conn(t, 0)
	reads(t, end, "there")
	if p := Party(end.RemoteAddr()); p != 3 {
		t.Errorf("the far end takes it for party %d", p)
	}
	end.Write([]byte("and back"))
	reads(t, c, "and back")
	c.CloseWrite()
	if n, err := end.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the end came as %d, %v", n, err)
	}
	end.Write([]byte("!"))
	reads(t, c, "!")
	end.Close()
	eventually(t, "the end of the connection", func() bool { _, _, over, _ := s.Traces()[0].Far(); return over })
	tr := s.Traces()[0]
	if to, of, _, whole := tr.Far(); to != 5 || of != 9 || !whole || tr.Sent(5) < 0 || tr.Sent(6) >= 0 || tr.Told(9) < tr.Told(1) || tr.Told(10) >= 0 {
		t.Errorf("the relay counts %d and %d, whole %t; %+v", to, of, whole, tr)
	}
}

// One way dropped: what is said that way waits and comes later, as the sender would send it again; the other goes on.
func TestStreamDropOneWay(t *testing.T) {
	f := newFar(t)
	s := through(t, f)
	c := dial(t, s)
	c.Write([]byte("a"))
	end := f.conn(t, 0)
	reads(t, end, "a")
	s.There.Set(Fault{Drop: true})
	c.Write([]byte("b"))
	end.Write([]byte("x"))
	reads(t, c, "x")
	end.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := end.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("over the dropped way came %v", err)
	}
	eventually(t, "a mute listener", func() bool { // a new connection never comes up
		c, err := net.DialTimeout("tcp", s.Addr(), 300*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return isTimeout(err)
	})
	waits := make(chan net.Conn)
	go func() {
		c, err := net.DialTimeout("tcp", s.Addr(), 20*time.Second)
		if err != nil {
			t.Errorf("one that waits for the way is told %v when it is back", err)
			c = nil
		}
		waits <- c
	}()
	s.There.Set(Fault{})
	if c := <-waits; c != nil {
		c.Write([]byte("w"))
		reads(t, f.conn(t, 1), "w")
		c.Close()
	}
	reads(t, end, "b")
	// What was written on a standing connection and then reset is not delivered any more; what was written and closed is.
	for _, linger := range []int{-1, 0} {
		n := f.many()
		c = dial(t, s)
		c.Write([]byte("a"))
		end = f.conn(t, n)
		reads(t, end, "a")
		s.There.Set(Fault{Drop: true})
		was := s.There.Count().Came
		c.Write([]byte("vote"))
		eventually(t, "the bytes at the relay", func() bool { return s.There.Count().Came > was })
		c.SetLinger(linger)
		c.Close()
		if linger == 0 {
			tr := s.Traces()
			eventually(t, "the reset", func() bool { _, _, over, _ := tr[len(tr)-1].Far(); return over })
		}
		s.There.Set(Fault{})
		end.SetReadDeadline(time.Now().Add(20 * time.Second))
		if all, err := io.ReadAll(end); linger < 0 && (string(all) != "vote" || err != nil) || linger == 0 && (len(all) > 0 || !errors.Is(err, syscall.ECONNRESET)) {
			t.Errorf("linger %d: after the drop came %q, %v", linger, all, err)
		}
	}
}

func isTimeout(err error) bool {
	n, is := err.(net.Error)
	return is && n.Timeout()
}

func TestStreamFaultsAct(t *testing.T) {
	f := newFar(t)
	s := through(t, f)
	fresh := func() (*net.TCPConn, net.Conn) {
		n := f.many()
		c := dial(t, s)
		c.Write([]byte("a"))
		end := f.conn(t, n)
		reads(t, end, "a")
		return c, end
	}
	wasReset := func(what string, c net.Conn) {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if all, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: read %q, %v", what, all, err)
		}
	}
	c, end := fresh()
	s.There.Set(Fault{Silent: true})
	c.Write([]byte("swallowed"))
	end.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := end.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("silent: %v", err)
	}
	eventually(t, "the bytes' loss", func() bool { return s.There.Count().Gone == 1 })
	s.There.Set(Fault{})
	wasReset("back from silence, near", c)
	wasReset("back from silence, far", end)

	c, end = fresh()
	s.Back.Set(Fault{Refuse: true})
	wasReset("refused, near", c)
	wasReset("refused, far", end)
	n := f.many()
	if c, err := net.Dial("tcp", s.Addr()); err == nil { // or else it was reset while it was made
		wasReset("refused anew", c)
		c.Close()
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("refused anew: %v", err)
	}
	if f.many() != n {
		t.Error("a refused connection reached the far end")
	}
	s.Back.Set(Fault{})

	c, end = fresh()
	s.There.Set(Fault{Reset: 4})
	c.Write([]byte("message"))
	end.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(end)
	if to, _, _, whole := s.Traces()[len(s.Traces())-1].Far(); to != 5 || whole || len(all) > 4 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset in mid-message: %q, %v, relay %d", all, err, to)
	}
	s.There.Set(Fault{})

	c, end = fresh()
	s.There.Set(Fault{Slow: 200_000})
	began := time.Now()
	c.Write([]byte("b"))
	reads(t, end, "b")
	near(t, "delay of a stream, ms", float64(time.Since(began).Milliseconds()), 200, 0.1)

	s.There.Set(Fault{Rate: 20_000})
	began = time.Now()
	go c.Write(make([]byte, 20_000))
	io.ReadFull(end, make([]byte, 20_000))
	near(t, "a second's bytes, ms", float64(time.Since(began).Milliseconds()), 1000, 0.1)
}

// A relay that ends takes all it started along, also connections in the middle of something.
func TestNothingIsLeft(t *testing.T) {
	before := runtime.NumGoroutine()
	f := newFar(t)
	s := through(t, f)
	m, _ := pair(t, clock())
	s.There.Set(Fault{Drop: true})
	dial(t, s)
	s.Back.Set(Fault{Slow: 1e9})
	s.There.Set(Fault{})
	c := dial(t, s)
	c.Write([]byte("a"))
	end := f.conn(t, 0)
	end.Write([]byte("never"))
	s.Close()
	m.Close()
	f.Close()
	eventually(t, "as few goroutines as before", func() bool { return runtime.NumGoroutine() <= before })
}
