package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/connlimit"
	"switchfork/internal/policy"
	"switchfork/internal/tcpconn"

	"pgregory.net/rapid"
)

// These hold the clients' side to its word over real connections: what a client sends in the moment in which a connection or the
// agent ends is answered, or goes unread so that the client knows that it may send it again.

// clientSide is the clients' side before a module that declines what it is told to.
type clientSide struct {
	*agenttest.Rig
	front *Proxy
	purse *connlimit.Budget
	ended chan error
}

// newClientSide starts one with so many descriptors. With hold, txns stay open until letGo.
func newClientSide(t *testing.T, descriptors int, hold bool) *clientSide {
	return lingering(t, descriptors, hold, lingerWait)
}

// lingering is one whose connections stay half open behind a last answer for so long.
func lingering(t *testing.T, descriptors int, hold bool, lingers time.Duration) *clientSide {
	s := &clientSide{Rig: agenttest.NewRig(t, time.Second), purse: connlimit.NewBudget(descriptors), ended: make(chan error, 1)}
	var arrived []policy.RequestArrived
	s.Respond(func(ev policy.Event) []policy.Command {
		if taken, is := ev.(policy.RequestArrived); is {
			if !hold {
				return []policy.Command{policy.Reject{RequestID: taken.ID}}
			}
			arrived = append(arrived, taken)
		}
		if _, is := ev.(policy.GossipReceived); is { // all go
			var out []policy.Command
			for _, taken := range arrived {
				out = append(out, policy.Reject{RequestID: taken.ID})
			}
			return out
		}
		return nil
	})
	s.front = New(s.Loop, []string{"lookup", "posting", "_health"}, []policy.Idempotency{policy.Idempotent, policy.Keyed, policy.Idempotent},
		[]time.Duration{agenttest.Patience, agenttest.Patience, agenttest.Patience}, nil, 1000, 0, s.purse, 1)
	s.front.clients.lingers = lingers
	if err := s.front.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- s.front.Serve() }()
	t.Cleanup(func() { s.front.clients.stop() })
	return s
}

func (s *clientSide) letGo() { s.Loop.Post(policy.GossipReceived{}) }

// taken waits until the module has so many txns.
func (s *clientSide) taken(t *testing.T, n int) {
	t.Helper()
	agenttest.Eventually(t, "the txn", func() bool { return len(agenttest.Events[policy.RequestArrived](s.Router)) == n })
}

// client is one client's connection.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (s *clientSide) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.front.clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(agenttest.Patience))
	return &client{c, t, bufio.NewReader(c)}
}

// freshID numbers requests, so that no two have one id.
var freshID atomic.Uint64

// request is of one length for a path, so that what has been sent of one can be told by what is left.
func request(path string) string {
	return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %08x\r\n\r\n", path, freshID.Add(1))
}

func (c *client) send(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

// answered reads one answer.
func (c *client) answered(status int, last bool) {
	c.t.Helper()
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if _, err = io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != status || res.Close != last {
		c.t.Fatalf("answered with %d, last %v, %v; want %d, last %v", res.StatusCode, res.Close, err, status, last)
	}
}

// ends waits for the end of the connection, which must be no reset.
func (c *client) ends() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err != io.EOF {
		c.t.Fatalf("got %q, %v where the connection should end", b, err)
	}
}

// server is the far end of a client's connection.
func (s *clientSide) server(t *testing.T, c *client) (own *clientConn) {
	t.Helper()
	agenttest.Eventually(t, "the connection", func() bool {
		s.front.clients.mu.Lock()
		defer s.front.clients.mu.Unlock()
		for in := range s.front.clients.in {
			if in.RemoteAddr().String() == c.LocalAddr().String() {
				own = in
			}
		}
		return own != nil
	})
	return own
}

// stands waits until the far end is in a phase.
func (s *clientSide) stands(t *testing.T, c *client, want phase) {
	t.Helper()
	own := s.server(t, c)
	agenttest.Eventually(t, fmt.Sprintf("phase %d", want), func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.phase == want
	})
}

// drain begins one in the background; what it returns comes on the channel.
func (s *clientSide) drain(t *testing.T, within time.Duration) chan error {
	done := make(chan error, 1)
	ctx, stop := context.WithTimeout(t.Context(), within)
	t.Cleanup(stop)
	go func() { done <- s.front.Drain(ctx) }()
	agenttest.Eventually(t, "the drain", func() bool {
		s.front.clients.mu.Lock()
		defer s.front.clients.mu.Unlock()
		return s.front.clients.drains
	})
	return done
}

// nothingLeft ends the agent's side and looks for what it holds after that.
func (s *clientSide) nothingLeft(t *testing.T, done chan error) {
	t.Helper()
	if err := <-done; err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("serving ended with %v", err)
	}
	s.Loop.Flush(t.Context())
	clients, _ := s.purse.InUse()
	s.front.ids.mu.Lock()
	defer s.front.ids.mu.Unlock()
	if clients != 0 || len(s.front.ids.open) != 0 || len(s.front.clients.in) != 0 || len(s.front.clients.idle) != 0 {
		t.Errorf("left: %d places, %d ids, %d connections, %d idle", clients, len(s.front.ids.open), len(s.front.clients.in),
			len(s.front.clients.idle))
	}
}

// A request of which half the head was read when the drain begins is answered, on a kept connection as on a new one, whenever its rest
// comes; connections that carry nothing end at once, without a reset.
func TestDrainFindsHalfAHead(t *testing.T) {
	s := newClientSide(t, 64, false)
	kept, new, quiet := s.dial(t), s.dial(t), s.dial(t)
	for _, c := range []*client{kept, quiet} {
		c.send(request("lookup"))
		c.answered(503, false)
		s.stands(t, c, idle)
	}
	var rest []string
	for _, c := range []*client{kept, new} {
		raw := request("lookup")
		c.send(raw[:9])
		rest = append(rest, raw[9:])
		s.stands(t, c, asking)
	}
	done := s.drain(t, agenttest.Patience)
	quiet.ends()
	agenttest.Eventually(t, "the last look for clients", func() bool {
		s.front.clients.mu.Lock()
		defer s.front.clients.mu.Unlock()
		return s.front.clients.leaves
	})
	for i, c := range []*client{kept, new} {
		c.send(rest[i])
		c.answered(503, true)
		c.ends()
		c.Close()
	}
	s.nothingLeft(t, done)
}

// Whoever has come by the time at which the listener would close is served: in the system's queue, connections would be reset.
func TestDrainTakesTheLastOnes(t *testing.T) {
	s := newClientSide(t, 64, true)
	first := s.dial(t)
	first.send(request("lookup"))
	s.stands(t, first, asked)
	done := s.drain(t, agenttest.Patience)
	agenttest.Eventually(t, "the last look for clients", func() bool {
		s.front.clients.mu.Lock()
		defer s.front.clients.mu.Unlock()
		return s.front.clients.leaves
	})
	late := s.dial(t)
	late.send(request("lookup"))
	s.taken(t, 2)
	s.letGo()
	for _, c := range []*client{first, late} {
		c.answered(503, true)
		c.ends()
		c.Close()
	}
	s.nothingLeft(t, done)
}

// An answer may be written as one that keeps its connection in the moment in which the drain begins: the connection ends then all the
// same, and not when its idle time is over.
func TestAnswerIsWrittenAsTheDrainBegins(t *testing.T) {
	s := newClientSide(t, 64, true)
	c := s.dial(t)
	c.send(request("lookup"))
	s.taken(t, 1)
	own := s.server(t, c)
	s.front.clients.drain() // the half of Drain that has not run when the answer's head was written is left out
	s.letGo()
	c.answered(503, false)
	start := time.Now()
	c.ends()
	if took := time.Since(start); took > IdleTimeout/2 {
		t.Errorf("ended after %v", took)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.phase != retired {
		t.Errorf("in phase %d", own.phase)
	}
}

// What is open when the drain runs out is answered then, and the drain ends in its time.
func TestDrainRunsOut(t *testing.T) {
	s := newClientSide(t, 64, true)
	c := s.dial(t)
	c.send(request("lookup"))
	s.stands(t, c, asked)
	done := s.drain(t, 400*time.Millisecond)
	c.answered(504, true)
	c.Close()
	select {
	case <-done:
	case <-time.After(agenttest.Patience):
		t.Fatal("the drain does not end")
	}
	agenttest.Eventually(t, "the txn's end", func() bool { return len(agenttest.Events[policy.RequestCancelled](s.Router)) == 1 })
	s.front.ids.mu.Lock()
	defer s.front.ids.mu.Unlock()
	if len(s.front.ids.open) != 0 {
		t.Error("its id is still taken")
	}
}

// Neither a shortage nor the crowd of idle ones nor the clock ends a connection of which a byte has been read or waits to be read, and
// the one that carries nothing is what ends.
func TestRetiringLeavesARequestAlone(t *testing.T) {
	s := newClientSide(t, 64, false)
	begun, silent := s.dial(t), s.dial(t)
	raw := request("lookup")
	begun.send(raw[:5])
	s.stands(t, begun, asking)
	s.stands(t, silent, fresh)
	if s.server(t, begun).retire() {
		t.Error("retired with half a head read")
	}
	if own := s.server(t, silent); !own.retire() {
		t.Error("a silent one was not retired")
	}
	silent.ends()
	begun.send(raw[5:])
	begun.answered(503, false)
	// A byte that came and that its reader has not taken yet: the reader stands at the lock.
	s.stands(t, begun, idle)
	own := s.server(t, begun)
	own.mu.Lock()
	begun.send(raw[:1])
	agenttest.Eventually(t, "the byte", func() bool { return !tcpconn.IsQuiet(own.TCPConn) })
	free := own.phase == idle && tcpconn.IsQuiet(own.TCPConn)
	own.due = time.Now().Add(-time.Second)
	own.mu.Unlock()
	own.overdue()
	if free || own.retire() {
		t.Error("retired with a byte unread")
	}
	begun.send(request("lookup")[1:])
	begun.answered(503, false)
}

// An answer that is its connection's last is not overtaken by a reset, though the client sends on behind its request.
func TestLastAnswerIsNotReset(t *testing.T) {
	s := newClientSide(t, 64, true)
	c := s.dial(t)
	c.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: last\r\nConnection: close\r\n\r\n")
	s.stands(t, c, asked)
	s.taken(t, 1)
	own := s.server(t, c)
	c.send(strings.Repeat("x", 32<<10)) // far more than is read ahead
	agenttest.Eventually(t, "more than is read ahead", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return len(own.ahead) >= aheadMost-1 && !tcpconn.IsQuiet(own.TCPConn)
	})
	s.letGo()
	c.answered(503, true)
	c.ends()
	c.Close()
	s.nothingLeft(t, s.drain(t, agenttest.Patience))
}

// A client that has its last answer and does not close holds its place no longer than another client lets it.
func TestLingeringGivesItsPlaceUp(t *testing.T) {
	s := lingering(t, 2, false, 10*agenttest.Patience) // clients get one
	stays := s.dial(t)
	stays.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: stays\r\nConnection: close\r\n\r\n")
	stays.answered(503, true)
	next := s.dial(t)
	next.send(request("lookup"))
	if res, err := http.ReadResponse(next.in, nil); err != nil || res.StatusCode != 503 {
		t.Fatalf("the next client got %+v, %v", res, err)
	}
}

// A client that goes is seen to go, whether or not it sent something too early before.
func TestGoneBehindAByteTooMany(t *testing.T) {
	for _, early := range []string{"", "G", strings.Repeat("x", 300)} {
		s := newClientSide(t, 64, true)
		c := s.dial(t)
		c.send(request("lookup"))
		s.stands(t, c, asked)
		own := s.server(t, c)
		c.send(early)
		agenttest.Eventually(t, "the early bytes", func() bool {
			own.mu.Lock()
			defer own.mu.Unlock()
			return len(own.ahead) == len(early)
		})
		c.Close()
		agenttest.Eventually(t, fmt.Sprintf("the end of a client that sent %d bytes too many", len(early)),
			func() bool { return len(agenttest.Events[policy.RequestCancelled](s.Router)) == 1 })
		s.nothingLeft(t, s.drain(t, agenttest.Patience))
	}
}

// What came too early is the next request's beginning, byte by byte.
func TestEarlyBytesAreTheNextRequest(t *testing.T) {
	s := newClientSide(t, 64, true)
	c := s.dial(t)
	c.send(request("lookup"))
	s.stands(t, c, asked)
	s.taken(t, 1)
	own, next := s.server(t, c), request("lookup")
	for i := range 7 {
		c.send(next[i : i+1])
		agenttest.Eventually(t, "the early byte", func() bool {
			own.mu.Lock()
			defer own.mu.Unlock()
			return len(own.ahead) == i+1
		})
	}
	s.letGo()
	c.answered(503, false)
	s.stands(t, c, asking)
	c.send(next[7:])
	s.taken(t, 2)
	s.letGo()
	c.answered(503, false)
}

// A class may be called like the path that health is asked at.
func TestClassCalledLikeHealth(t *testing.T) {
	s := newClientSide(t, 64, false)
	c := s.dial(t)
	c.send(request("_health?sid=1"))
	c.answered(503, false)
	if n := len(agenttest.Events[policy.RequestArrived](s.Router)); n != 1 {
		t.Errorf("%d txns were taken", n)
	}
	c.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	c.answered(200, false)
}

// The clock may find a head or a body overdue, or a connection be retired, when the last byte has been read and the library has not said
// so yet. The txn is served all the same: the read that follows waits for the client, and is no end of it.
func TestOverdueAsTheLastByteIsRead(t *testing.T) {
	for name, late := range map[string]func(c *clientConn, read func()){
		"head": func(c *clientConn, read func()) { read(); lapse(c); c.headRead(); c.wholeRead() },
		"body": func(c *clientConn, read func()) { read(); c.headRead(); lapse(c); c.wholeRead() },
		"held by the library": func(c *clientConn, read func()) {
			read()
			c.headRead()
			c.wholeRead()
			c.rests() // with the next request read behind the first
			if !c.retire() {
				t.Error("not retired")
			}
			c.headRead()
			c.wholeRead()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientSide(t, 64, false)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			far, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			near, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := s.front.clients.enter(near.(*net.TCPConn))
			defer c.Close()
			late(c, func() {
				io.WriteString(far, "the last")
				if _, err := c.Read(make([]byte, 100)); err != nil {
					t.Fatal(err)
				}
			})
			ended := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				ended <- err
			}()
			io.WriteString(far, "x") // kept for later; the read goes on
			agenttest.Eventually(t, "the byte", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return len(c.ahead) == 1
			})
			far.Close()
			if err := <-ended; err != io.EOF {
				t.Errorf("the read that looks for the client's end got %v", err)
			}
		})
	}
}

// lapse has the clock find a phase overdue.
func lapse(c *clientConn) {
	c.mu.Lock()
	c.due = time.Now().Add(-time.Second)
	c.mu.Unlock()
	c.overdue()
}

// Whatever clients do and in whichever order, each txn that was taken has one whole answer or a client that left, who stays is
// answered as often as it asked, and every place and every id is given back.
func TestClientsInAnyOrder(t *testing.T) {
	type one struct {
		*client
		rest  string // of the request that comes next
		asked int
		told  atomic.Int64
		over  chan struct{}
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newClientSide(t, 64, true)
		var open, all []*one
		left := 0
		for range rapid.IntRange(1, 16).Draw(rt, "steps") {
			if len(open) < 4 && rapid.Bool().Draw(rt, "comes") {
				o := &one{client: s.dial(t), rest: request("lookup"), over: make(chan struct{})}
				open, all = append(open, o), append(all, o)
				go func() {
					defer close(o.over)
					for {
						res, err := http.ReadResponse(o.in, nil)
						if err != nil {
							return
						}
						if _, err = io.Copy(io.Discard, res.Body); err == nil {
							o.told.Add(1)
						}
					}
				}()
				continue
			}
			if len(open) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
			switch o := open[i]; rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1: // some bytes of a request, or the rest of it
				if int(o.told.Load()) < o.asked {
					continue // one at a time
				}
				n := min(len(o.rest), rapid.SampledFrom([]int{1, 20, 1000}).Draw(rt, "bytes"))
				if _, err := io.WriteString(o, o.rest[:n]); err != nil {
					continue // retired
				}
				// Until the system has handed them over they cross whatever comes.
				own := s.server(t, o.client)
				agenttest.Eventually(t, "the bytes", func() bool {
					own.mu.Lock()
					defer own.mu.Unlock()
					return own.phase == asking || own.phase == asked
				})
				if o.rest = o.rest[n:]; o.rest == "" {
					o.rest = request("lookup")
					o.asked++
				}
			case 2, 3: // goes, also with a reset
				if left++; rapid.Bool().Draw(rt, "reset") {
					o.Conn.(*net.TCPConn).SetLinger(0)
				}
				o.Close()
				open = slices.Delete(open, i, i+1)
			case 4:
				if s.server(t, o.client).retire() {
					if len(o.rest) < len(request("lookup")) {
						rt.Fatal("retired with a request begun")
					}
					agenttest.Eventually(t, "the answer to all that it asked before", func() bool { return int(o.told.Load()) == o.asked })
					left++ // it asked for nothing; what it sends from here on crosses the end
					o.Close()
					open = slices.Delete(open, i, i+1)
				}
			case 5:
				s.letGo()
			}
		}
		// As Drain does, without the wait for those who still come.
		s.front.until = time.Now().Add(agenttest.Patience)
		s.front.drains.Store(true)
		s.front.clients.drain()
		s.front.clients.leave()
		done := make(chan error, 1)
		go func() { <-s.front.clients.ended; done <- nil }()
		for _, o := range open {
			if whole := request("lookup"); len(o.rest) < len(whole) { // what is begun is sent whole
				if _, err := io.WriteString(o, o.rest); err != nil {
					rt.Fatalf("cut within a request: %v", err)
				}
				o.asked++
			} else if o.asked == 0 {
				o.Close() // came and said nothing
			}
		}
		for _, o := range open {
			for waiting := true; waiting; {
				s.letGo()
				select {
				case <-o.over:
					waiting = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			if o.Close(); int(o.told.Load()) != o.asked {
				rt.Fatalf("one who stayed asked %d times and was answered %d times", o.asked, o.told.Load())
			}
		}
		for _, o := range all {
			<-o.over
		}
		s.nothingLeft(t, done)
		taken, told := len(agenttest.Events[policy.RequestArrived](s.Router)), 0
		for _, o := range all {
			told += int(o.told.Load())
		}
		if told > taken || told+left < taken {
			rt.Fatalf("%d taken, %d answered, %d left", taken, told, left)
		}
	})
}

// A client that asks and asks and takes no answer holds its descriptor little longer than it was willing to wait.
func TestAnswersThatAreNotTaken(t *testing.T) {
	s := newClientSide(t, 64, false)
	c := s.dial(t)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	s.server(t, c).SetWriteBuffer(4 << 10)
	go func() {
		for { // until the far end has had enough
			raw := fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 300\r\nX-Request-Id: %x\r\n\r\n", freshID.Add(1))
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}()
	agenttest.Eventually(t, "the connection's end", func() bool {
		s.front.clients.mu.Lock()
		defer s.front.clients.mu.Unlock()
		return len(s.front.clients.in) == 0
	})
}

// The listener's own ends are no errors of serving.
func TestStoppedListener(t *testing.T) {
	s := newClientSide(t, 64, false)
	s.front.clients.stop()
	if err := <-s.ended; err != nil {
		t.Errorf("serving ended with %v", err)
	}
	if _, err := net.Dial("tcp", s.front.clients.Addr().String()); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dialed a closed listener: %v", err)
	}
}
