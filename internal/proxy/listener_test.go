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

// testProxy is the clients' side before a module that declines what it is told to.
type testProxy struct {
	*agenttest.Rig
	proxy  *Proxy
	budget *connlimit.Budget
	served chan error
}

// newTestProxy starts one with so many descriptors. With hold, txns stay open until letGo.
func newTestProxy(t *testing.T, descriptors int, hold bool) *testProxy {
	return newLingeringProxy(t, descriptors, hold, defaultLingerTimeout)
}

// newLingeringProxy is one whose connections stay half open behind a last answer for so long.
func newLingeringProxy(t *testing.T, descriptors int, hold bool, lingers time.Duration) *testProxy {
	s := &testProxy{Rig: agenttest.NewRig(t, time.Second), budget: connlimit.NewBudget(descriptors), served: make(chan error, 1)}
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
	s.proxy = New(Config{
		Loop: s.Loop,
		Classes: []RequestClass{
			{Name: "lookup", Idempotency: policy.Idempotent, Timeout: agenttest.Patience},
			{Name: "posting", Idempotency: policy.Keyed, Timeout: agenttest.Patience},
			{Name: "_health", Idempotency: policy.Idempotent, Timeout: agenttest.Patience},
		},
		MaxOpenRequests: 1000,
		Budget:          s.budget,
		LastRequestID:   1,
	})
	s.proxy.listener.lingerTimeout = lingers
	if err := s.proxy.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { s.served <- s.proxy.Serve() }()
	t.Cleanup(func() { s.proxy.listener.shutdown() })
	return s
}

func (s *testProxy) rejectAll() { s.Loop.Post(policy.GossipReceived{}) }

// waitForRequests waits until the module has so many txns.
func (s *testProxy) waitForRequests(t *testing.T, n int) {
	t.Helper()
	agenttest.Eventually(t, "the txn", func() bool { return len(agenttest.Events[policy.RequestArrived](s.Router)) == n })
}

// testClient is one client's connection.
type testClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testProxy) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", s.proxy.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(agenttest.Patience))
	return &testClient{c, t, bufio.NewReader(c)}
}

// lastTestID numbers requests, so that no two have one id.
var lastTestID atomic.Uint64

// rawRequest is of one length for a path, so that what has been sent of one can be told by what is left.
func rawRequest(path string) string {
	return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %08x\r\n\r\n", path, lastTestID.Add(1))
}

func (c *testClient) send(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

// expectResponse reads one answer.
func (c *testClient) expectResponse(status int, last bool) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if _, err = io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != status || res.Close != last {
		c.t.Fatalf("answered with %d, last %v, %v; want %d, last %v", res.StatusCode, res.Close, err, status, last)
	}
}

// expectEOF waits for the end of the connection, which must be no reset.
func (c *testClient) expectEOF() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Fatalf("got %q, %v where the connection should end", b, err)
	}
}

// serverConn is the far end of a client's connection.
func (s *testProxy) serverConn(t *testing.T, c *testClient) (own *clientConn) {
	t.Helper()
	agenttest.Eventually(t, "the connection", func() bool {
		s.proxy.listener.mu.Lock()
		defer s.proxy.listener.mu.Unlock()
		for in := range s.proxy.listener.conns {
			if in.RemoteAddr().String() == c.LocalAddr().String() {
				own = in
			}
		}
		return own != nil
	})
	return own
}

// waitForState waits until the far end is in a phase.
func (s *testProxy) waitForState(t *testing.T, c *testClient, want connState) {
	t.Helper()
	own := s.serverConn(t, c)
	agenttest.Eventually(t, fmt.Sprintf("phase %d", want), func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.state == want
	})
}

// startDrain begins one in the background; what it returns comes on the channel.
func (s *testProxy) startDrain(t *testing.T, within time.Duration) chan error {
	done := make(chan error, 1)
	ctx, stop := context.WithTimeout(t.Context(), within)
	t.Cleanup(stop)
	go func() { done <- s.proxy.Drain(ctx) }()
	agenttest.Eventually(t, "the drain", func() bool {
		s.proxy.listener.mu.Lock()
		defer s.proxy.listener.mu.Unlock()
		return s.proxy.listener.isDraining
	})
	return done
}

// assertReleased ends the agent's side and looks for what it holds after that.
func (s *testProxy) assertReleased(t *testing.T, done chan error) {
	t.Helper()
	if err := <-done; err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	if err := <-s.served; err != nil {
		t.Errorf("serving ended with %v", err)
	}
	s.Loop.Flush(t.Context())
	clients, _ := s.budget.InUse()
	s.proxy.requestIDs.mu.Lock()
	defer s.proxy.requestIDs.mu.Unlock()
	if clients != 0 || len(s.proxy.requestIDs.reserved) != 0 || len(s.proxy.listener.conns) != 0 || len(s.proxy.listener.idleSince) != 0 {
		t.Errorf("left: %d places, %d ids, %d connections, %d idle", clients, len(s.proxy.requestIDs.reserved), len(s.proxy.listener.conns),
			len(s.proxy.listener.idleSince))
	}
}

// A request of which half the head was read when the drain begins is answered, on a kept connection as on a new one, whenever its rest
// comes; connections that carry nothing end at once, without a reset.
func TestDrainAnswersPartialHead(t *testing.T) {
	s := newTestProxy(t, 64, false)
	kept, new, quiet := s.dial(t), s.dial(t), s.dial(t)
	for _, c := range []*testClient{kept, quiet} {
		c.send(rawRequest("lookup"))
		c.expectResponse(503, false)
		s.waitForState(t, c, stateIdle)
	}
	var rest []string
	for _, c := range []*testClient{kept, new} {
		raw := rawRequest("lookup")
		c.send(raw[:9])
		rest = append(rest, raw[9:])
		s.waitForState(t, c, stateReading)
	}
	done := s.startDrain(t, agenttest.Patience)
	quiet.expectEOF()
	agenttest.Eventually(t, "the last look for clients", func() bool {
		s.proxy.listener.mu.Lock()
		defer s.proxy.listener.mu.Unlock()
		return s.proxy.listener.closesWhenEmpty
	})
	for i, c := range []*testClient{kept, new} {
		c.send(rest[i])
		c.expectResponse(503, true)
		c.expectEOF()
		c.Close()
	}
	s.assertReleased(t, done)
}

// Whoever has come by the time at which the listener would close is served: in the system's queue, connections would be reset.
func TestDrainAcceptsLateConnections(t *testing.T) {
	s := newTestProxy(t, 64, true)
	first := s.dial(t)
	first.send(rawRequest("lookup"))
	s.waitForState(t, first, stateAwaiting)
	done := s.startDrain(t, agenttest.Patience)
	agenttest.Eventually(t, "the last look for clients", func() bool {
		s.proxy.listener.mu.Lock()
		defer s.proxy.listener.mu.Unlock()
		return s.proxy.listener.closesWhenEmpty
	})
	late := s.dial(t)
	late.send(rawRequest("lookup"))
	s.waitForRequests(t, 2)
	s.rejectAll()
	for _, c := range []*testClient{first, late} {
		c.expectResponse(503, true)
		c.expectEOF()
		c.Close()
	}
	s.assertReleased(t, done)
}

// An answer may be written as one that keeps its connection in the moment in which the drain begins: the connection ends then all the
// same, and not when its idle time is over.
func TestDrainStartsDuringResponse(t *testing.T) {
	s := newTestProxy(t, 64, true)
	c := s.dial(t)
	c.send(rawRequest("lookup"))
	s.waitForRequests(t, 1)
	own := s.serverConn(t, c)
	s.proxy.listener.startDrain() // the half of Drain that has not run when the answer's head was written is left out
	s.rejectAll()
	c.expectResponse(503, false)
	start := time.Now()
	c.expectEOF()
	if took := time.Since(start); took > IdleTimeout/2 {
		t.Errorf("ended after %v", took)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.state != stateRetired {
		t.Errorf("in phase %d", own.state)
	}
}

// What is open when the drain runs out is answered then, and the drain ends in its time.
func TestDrainDeadline(t *testing.T) {
	s := newTestProxy(t, 64, true)
	c := s.dial(t)
	c.send(rawRequest("lookup"))
	s.waitForState(t, c, stateAwaiting)
	done := s.startDrain(t, 400*time.Millisecond)
	c.expectResponse(504, true)
	c.Close()
	select {
	case <-done:
	case <-time.After(agenttest.Patience):
		t.Fatal("the drain does not end")
	}
	agenttest.Eventually(t, "the txn's end", func() bool { return len(agenttest.Events[policy.RequestCancelled](s.Router)) == 1 })
	s.proxy.requestIDs.mu.Lock()
	defer s.proxy.requestIDs.mu.Unlock()
	if len(s.proxy.requestIDs.reserved) != 0 {
		t.Error("its id is still taken")
	}
}

// Neither a shortage nor the crowd of idle ones nor the clock ends a connection of which a byte has been read or waits to be read, and
// the one that carries nothing is what ends.
func TestRetireSparesStartedRequest(t *testing.T) {
	s := newTestProxy(t, 64, false)
	begun, silent := s.dial(t), s.dial(t)
	raw := rawRequest("lookup")
	begun.send(raw[:5])
	s.waitForState(t, begun, stateReading)
	s.waitForState(t, silent, stateNew)
	if s.serverConn(t, begun).retire() {
		t.Error("retired with half a head read")
	}
	if own := s.serverConn(t, silent); !own.retire() {
		t.Error("a silent one was not retired")
	}
	silent.expectEOF()
	begun.send(raw[5:])
	begun.expectResponse(503, false)
	// A byte that came and that its reader has not taken yet: the reader stands at the lock.
	s.waitForState(t, begun, stateIdle)
	own := s.serverConn(t, begun)
	own.mu.Lock()
	begun.send(raw[:1])
	agenttest.Eventually(t, "the byte", func() bool { return !tcpconn.IsQuiet(own.TCPConn) })
	free := own.state == stateIdle && tcpconn.IsQuiet(own.TCPConn)
	own.stateDeadline = time.Now().Add(-time.Second)
	own.mu.Unlock()
	own.stateDeadlinePassed()
	if free || own.retire() {
		t.Error("retired with a byte unread")
	}
	begun.send(rawRequest("lookup")[1:])
	begun.expectResponse(503, false)
}

// An answer that is its connection's last is not overtaken by a reset, though the client sends on behind its request.
func TestLastResponseIsNotReset(t *testing.T) {
	s := newTestProxy(t, 64, true)
	c := s.dial(t)
	c.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: last\r\nConnection: close\r\n\r\n")
	s.waitForState(t, c, stateAwaiting)
	s.waitForRequests(t, 1)
	own := s.serverConn(t, c)
	c.send(strings.Repeat("x", 32<<10)) // far more than is read ahead
	agenttest.Eventually(t, "more than is read ahead", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return len(own.readAhead) >= readAheadLimit-1 && !tcpconn.IsQuiet(own.TCPConn)
	})
	s.rejectAll()
	c.expectResponse(503, true)
	c.expectEOF()
	c.Close()
	s.assertReleased(t, s.startDrain(t, agenttest.Patience))
}

// A client that has its last answer and does not close holds its place no longer than another client lets it.
func TestLingeringConnMakesRoom(t *testing.T) {
	s := newLingeringProxy(t, 2, false, 10*agenttest.Patience) // clients get one
	stays := s.dial(t)
	stays.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: stays\r\nConnection: close\r\n\r\n")
	stays.expectResponse(503, true)
	next := s.dial(t)
	next.send(rawRequest("lookup"))
	if res, err := http.ReadResponse(next.reader, nil); err != nil || res.StatusCode != 503 {
		t.Fatalf("the next client got %+v, %v", res, err)
	}
}

// A client that goes is seen to go, whether or not it sent something too early before.
func TestDisconnectAfterEarlyBytes(t *testing.T) {
	for _, early := range []string{"", "G", strings.Repeat("x", 300)} {
		s := newTestProxy(t, 64, true)
		c := s.dial(t)
		c.send(rawRequest("lookup"))
		s.waitForState(t, c, stateAwaiting)
		own := s.serverConn(t, c)
		c.send(early)
		agenttest.Eventually(t, "the early bytes", func() bool {
			own.mu.Lock()
			defer own.mu.Unlock()
			return len(own.readAhead) == len(early)
		})
		c.Close()
		agenttest.Eventually(t, fmt.Sprintf("the end of a client that sent %d bytes too many", len(early)),
			func() bool { return len(agenttest.Events[policy.RequestCancelled](s.Router)) == 1 })
		s.assertReleased(t, s.startDrain(t, agenttest.Patience))
	}
}

// What came too early is the next request's beginning, byte by byte.
func TestEarlyBytesStartNextRequest(t *testing.T) {
	s := newTestProxy(t, 64, true)
	c := s.dial(t)
	c.send(rawRequest("lookup"))
	s.waitForState(t, c, stateAwaiting)
	s.waitForRequests(t, 1)
	own, next := s.serverConn(t, c), rawRequest("lookup")
	for i := range 7 {
		c.send(next[i : i+1])
		agenttest.Eventually(t, "the early byte", func() bool {
			own.mu.Lock()
			defer own.mu.Unlock()
			return len(own.readAhead) == i+1
		})
	}
	s.rejectAll()
	c.expectResponse(503, false)
	s.waitForState(t, c, stateReading)
	c.send(next[7:])
	s.waitForRequests(t, 2)
	s.rejectAll()
	c.expectResponse(503, false)
}

// A class may be called like the path that health is asked at.
func TestClassNamedLikeHealthPath(t *testing.T) {
	s := newTestProxy(t, 64, false)
	c := s.dial(t)
	c.send(rawRequest("_health?sid=1"))
	c.expectResponse(503, false)
	if n := len(agenttest.Events[policy.RequestArrived](s.Router)); n != 1 {
		t.Errorf("%d txns were taken", n)
	}
	c.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	c.expectResponse(200, false)
}

// The clock may find a head or a body overdue, or a connection be retired, when the last byte has been read and the library has not said
// so yet. The txn is served all the same: the read that follows waits for the client, and is no end of it.
func TestTimeoutAsLastByteArrives(t *testing.T) {
	for name, late := range map[string]func(c *clientConn, read func()){
		"head": func(c *clientConn, read func()) { read(); expireState(c); c.headReceived(); c.requestReceived() },
		"body": func(c *clientConn, read func()) { read(); c.headReceived(); expireState(c); c.requestReceived() },
		"buffered by server": func(c *clientConn, read func()) {
			read()
			c.headReceived()
			c.requestReceived()
			c.becomeIdle() // with the next request read behind the first
			if !c.retire() {
				t.Error("not retired")
			}
			c.headReceived()
			c.requestReceived()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestProxy(t, 64, false)
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
			c := s.proxy.listener.register(near.(*net.TCPConn))
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
				return len(c.readAhead) == 1
			})
			far.Close()
			if err := <-ended; err != io.EOF {
				t.Errorf("the read that looks for the client's end got %v", err)
			}
		})
	}
}

// expireState has the clock find a phase overdue.
func expireState(c *clientConn) {
	c.mu.Lock()
	c.stateDeadline = time.Now().Add(-time.Second)
	c.mu.Unlock()
	c.stateDeadlinePassed()
}

// Whatever clients do and in whichever order, each txn that was taken has one whole answer or a client that left, who stays is
// answered as often as it asked, and every place and every id is given back.
func TestRandomClientSequences(t *testing.T) {
	type one struct {
		*testClient
		rest    string // of the request that comes next
		asked   int
		answers atomic.Int64
		over    chan struct{}
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestProxy(t, 64, true)
		var open, all []*one
		left := 0
		for range rapid.IntRange(1, 16).Draw(rt, "steps") {
			if len(open) < 4 && rapid.Bool().Draw(rt, "comes") {
				o := &one{testClient: s.dial(t), rest: rawRequest("lookup"), over: make(chan struct{})}
				open, all = append(open, o), append(all, o)
				go func() {
					defer close(o.over)
					for {
						res, err := http.ReadResponse(o.reader, nil)
						if err != nil {
							return
						}
						if _, err = io.Copy(io.Discard, res.Body); err == nil {
							o.answers.Add(1)
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
				if int(o.answers.Load()) < o.asked {
					continue // one at a time
				}
				n := min(len(o.rest), rapid.SampledFrom([]int{1, 20, 1000}).Draw(rt, "bytes"))
				if _, err := io.WriteString(o, o.rest[:n]); err != nil {
					continue // retired
				}
				// Until the system has handed them over they cross whatever comes.
				own := s.serverConn(t, o.testClient)
				agenttest.Eventually(t, "the bytes", func() bool {
					own.mu.Lock()
					defer own.mu.Unlock()
					return own.state == stateReading || own.state == stateAwaiting
				})
				if o.rest = o.rest[n:]; o.rest == "" {
					o.rest = rawRequest("lookup")
					o.asked++
				}
			case 2, 3: // goes, also with a reset
				if left++; rapid.Bool().Draw(rt, "reset") {
					o.Conn.(*net.TCPConn).SetLinger(0)
				}
				o.Close()
				open = slices.Delete(open, i, i+1)
			case 4:
				if s.serverConn(t, o.testClient).retire() {
					if len(o.rest) < len(rawRequest("lookup")) {
						rt.Fatal("retired with a request begun")
					}
					agenttest.Eventually(t, "the answer to all that it asked before", func() bool { return int(o.answers.Load()) == o.asked })
					left++ // it asked for nothing; what it sends from here on crosses the end
					o.Close()
					open = slices.Delete(open, i, i+1)
				}
			case 5:
				s.rejectAll()
			}
		}
		// As Drain does, without the wait for those who still come.
		s.proxy.drainDeadline = time.Now().Add(agenttest.Patience)
		s.proxy.isDraining.Store(true)
		s.proxy.listener.startDrain()
		s.proxy.listener.closeWhenEmpty()
		done := make(chan error, 1)
		go func() { <-s.proxy.listener.closed; done <- nil }()
		for _, o := range open {
			if whole := rawRequest("lookup"); len(o.rest) < len(whole) { // what is begun is sent whole
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
				s.rejectAll()
				select {
				case <-o.over:
					waiting = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			if o.Close(); int(o.answers.Load()) != o.asked {
				rt.Fatalf("one who stayed asked %d times and was answered %d times", o.asked, o.answers.Load())
			}
		}
		for _, o := range all {
			<-o.over
		}
		s.assertReleased(t, done)
		taken, answered := len(agenttest.Events[policy.RequestArrived](s.Router)), 0
		for _, o := range all {
			answered += int(o.answers.Load())
		}
		if answered > taken || answered+left < taken {
			rt.Fatalf("%d taken, %d answered, %d left", taken, answered, left)
		}
	})
}

// A client that asks and asks and takes no answer holds its descriptor little longer than it was willing to wait.
func TestUnreadResponses(t *testing.T) {
	s := newTestProxy(t, 64, false)
	c := s.dial(t)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	s.serverConn(t, c).SetWriteBuffer(4 << 10)
	go func() {
		for { // until the far end has had enough
			raw := fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 300\r\nX-Request-Id: %x\r\n\r\n", lastTestID.Add(1))
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}()
	agenttest.Eventually(t, "the connection's end", func() bool {
		s.proxy.listener.mu.Lock()
		defer s.proxy.listener.mu.Unlock()
		return len(s.proxy.listener.conns) == 0
	})
}

// The listener's own ends are no errors of serving.
func TestListenerShutdown(t *testing.T) {
	s := newTestProxy(t, 64, false)
	s.proxy.listener.shutdown()
	if err := <-s.served; err != nil {
		t.Errorf("serving ended with %v", err)
	}
	if _, err := net.Dial("tcp", s.proxy.listener.Addr().String()); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dialed a closed listener: %v", err)
	}
}
