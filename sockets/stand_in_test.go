package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Stand-ins for the parties of the protocol, written from its page. Waits have a long limit and end when what
// they wait for has come: no sleep decides a verdict.

const patience = 20 * time.Second

// eventually waits for something that is due.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// copyOf is one request as an appliance got it.
type copyOf struct {
	line, body string
	header     http.Header
	conn       int // which connection, from 1
}

// box is a stand-in for an appliance: it notes each whole request, then does as it is told.
type box struct {
	net.Listener
	mu     sync.Mutex
	copies []copyOf
	conns  int
	closed int // connections that are over
	do     func(c net.Conn, nth int) bool
}

// answers writes a text and keeps the connection.
func answers(text string) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool { _, err := io.WriteString(c, text); return err == nil }
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func hangUp(net.Conn, int) bool { return false }

// mute says nothing until the agent ends the connection.
func mute(c net.Conn, _ int) bool { io.Copy(io.Discard, c); return false }

func newBox(t *testing.T, do func(c net.Conn, nth int) bool) *box {
	b := &box{Listener: listen(t), do: do}
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			n := b.conns
			b.mu.Unlock()
			go b.serve(c, n)
		}
	}()
	return b
}

func (b *box) serve(c net.Conn, n int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			b.mu.Lock()
			b.closed++
			b.mu.Unlock()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.copies = append(b.copies, copyOf{req.Method + " " + req.RequestURI, string(body), req.Header, n})
		nth, do := len(b.copies), b.do
		b.mu.Unlock()
		if !do(c, nth) {
			b.mu.Lock()
			b.closed++
			b.mu.Unlock()
			return
		}
	}
}

func (b *box) got() []copyOf {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]copyOf(nil), b.copies...)
}

func (b *box) ended() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

func (b *box) then(do func(net.Conn, int) bool) {
	b.mu.Lock()
	b.do = do
	b.mu.Unlock()
}

func (b *box) addr() string { return b.Listener.Addr().String() }

// stream is a stand-in for a party that keeps an answer open: discovery's watch, the launcher's bulletin.
type streamer struct {
	net.Listener
	mu    sync.Mutex
	asked []string // method, path and query, and the body
	open  []chan string
	first func(asked string) string // what a stream or a call is answered at once
	quiet bool                      // no signs of life
	gone  int                       // streams that the other side has ended
}

func newStreamer(t *testing.T, sign string, every time.Duration, first func(asked string) string) *streamer {
	s := &streamer{Listener: listen(t), first: first}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		asked := strings.TrimSpace(r.Method + " " + r.RequestURI + " " + string(body))
		lines := make(chan string, 64)
		s.mu.Lock()
		s.asked = append(s.asked, asked)
		stays := r.Method == "GET" && !strings.HasSuffix(r.URL.Path, "members") || r.URL.Query().Get("stream") != ""
		if stays {
			s.open = append(s.open, lines)
		}
		text := s.first(asked)
		s.mu.Unlock()
		if code, rest, found := strings.Cut(text, "|"); found {
			status := 0
			fmt.Sscan(code, &status)
			w.WriteHeader(status)
			text = rest
		}
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
		for stays {
			select {
			case text, more := <-lines:
				if !more {
					return
				}
				io.WriteString(w, text)
			case <-time.After(every):
				s.mu.Lock()
				if !s.quiet {
					io.WriteString(w, sign)
				}
				s.mu.Unlock()
			case <-r.Context().Done():
				s.mu.Lock()
				s.gone++
				s.mu.Unlock()
				return
			}
			w.(http.Flusher).Flush()
		}
	})}
	go srv.Serve(s.Listener)
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *streamer) calls(with string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.asked {
		if strings.Contains(a, with) {
			n++
		}
	}
	return n
}

// tell writes to the stream opened last; cut ends it.
func (s *streamer) tell(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[len(s.open)-1] <- text
}

func (s *streamer) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.open[len(s.open)-1])
	s.open = s.open[:len(s.open)-1]
}

func (s *streamer) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *streamer) mute(yes bool) {
	s.mu.Lock()
	s.quiet = yes
	s.mu.Unlock()
}

func (s *streamer) addr() string { return s.Listener.Addr().String() }

func host(name, dial, health string, build int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"suva","class":"m","block":1,"health":%q,"share":1.0,"born_ms":0,"build":%d}`,
		name, dial, health, build)
}

func line(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ",")) + "\n"
}

func bulletin(image, ring int, progress string, ceiling float64) string {
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=9\n\n", image, ring, progress, ceiling)
}
