// Package fakes holds the parties of the users' protocol, written from its page, for tests and experiments on loopback:
// appliances, discovery, launcher and clients, with scripted behaviour. They decide nothing for the agent.
package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Listen takes a free port of loopback.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeFrom and freeTo lie below the ports that systems give to outgoing connections: an address out of those may be taken
// between its choice and its use by any connection, of a test that runs beside this one.
const freeFrom, freeTo = 12000, 30000

var freeNext atomic.Int64

// FreeAddress finds an address of loopback for a process that is to listen there soon.
func FreeAddress() (string, error) {
	freeNext.CompareAndSwap(0, int64(os.Getpid()*97%(freeTo-freeFrom))+1)
	for range freeTo - freeFrom {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freeFrom+freeNext.Add(1)%(freeTo-freeFrom)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no port of loopback is free")
}

// CapturedRequest is one request as an appliance got it.
type CapturedRequest struct {
	RequestLine, Body string
	Header            http.Header
	Conn              int // which connection, from 1
}

// ScriptedServer is a stand-in for an appliance: it notes each whole request, then does as it is told.
type ScriptedServer struct {
	net.Listener
	mu     sync.Mutex
	copies []CapturedRequest
	conns  int
	closed int // connections that are over
	do     func(c net.Conn, nth int) bool
}

// Respond writes a text and keeps the connection.
func Respond(text string) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool { _, err := io.WriteString(c, text); return err == nil }
}

// OKResponse is a whole answer with a body.
func OKResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// CloseUnanswered ends the connection.
func CloseUnanswered(net.Conn, int) bool { return false }

// NeverRespond says nothing until the agent ends the connection.
func NeverRespond(c net.Conn, _ int) bool { io.Copy(io.Discard, c); return false }

func NewScriptedServer(l net.Listener, do func(c net.Conn, nth int) bool) *ScriptedServer {
	b := &ScriptedServer{Listener: l, do: do}
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

func (b *ScriptedServer) serve(c net.Conn, n int) {
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
		b.copies = append(b.copies, CapturedRequest{req.Method + " " + req.RequestURI, string(body), req.Header, n})
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

func (b *ScriptedServer) Requests() []CapturedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]CapturedRequest(nil), b.copies...)
}

func (b *ScriptedServer) Closed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

func (b *ScriptedServer) SetHandler(do func(net.Conn, int) bool) {
	b.mu.Lock()
	b.do = do
	b.mu.Unlock()
}

// Addr hides the listener's, which is no string.
func (b *ScriptedServer) Addr() string { return b.Listener.Addr().String() }

// NoAnswer, given for a call, leaves it open without a word.
const NoAnswer = "no answer"

// StreamServer is a stand-in for a party that keeps an answer open: discovery's watch, the launcher's bulletin.
type StreamServer struct {
	net.Listener
	mu    sync.Mutex
	asked []string // method, path and query, and the body
	open  []chan string
	first func(asked string) string // what a stream or a call is answered at once
	quiet bool                      // no signs of life
	gone  int                       // streams that the other side has ended
	srv   *http.Server
}

func NewStreamServer(l net.Listener, sign string, every time.Duration, first func(asked string) string) *StreamServer {
	s := &StreamServer{Listener: l, first: first}
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
		if text == NoAnswer {
			<-r.Context().Done()
			return
		}
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
	s.srv = srv
	return s
}

// CallsContaining counts what was asked with a text in it.
func (s *StreamServer) CallsContaining(with string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.asked {
		if strings.Contains(a, with) {
			n++
		}
	}
	return n
}

// Publish writes to the stream opened last; Cut ends it.
func (s *StreamServer) Publish(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[len(s.open)-1] <- text
}

func (s *StreamServer) CloseStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.open[len(s.open)-1])
	s.open = s.open[:len(s.open)-1]
}

func (s *StreamServer) Closed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *StreamServer) SetMuted(yes bool) {
	s.mu.Lock()
	s.quiet = yes
	s.mu.Unlock()
}

// Close ends it.
func (s *StreamServer) Close() { s.srv.Close() }

func (s *StreamServer) Addr() string { return s.Listener.Addr().String() }

// ListEntry is a row of the list, as discovery writes it, of an appliance that has long been up.
func ListEntry(name, dial, health string, build int) string {
	return ListEntryStartedAt(name, dial, health, build, 0)
}

// ListEntryStartedAt is one of an appliance that started at a time, in Unix milliseconds.
func ListEntryStartedAt(name, dial, health string, build int, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"suva","class":"m","block":1,"health":%q,"share":1.0,"born_ms":%d,"build":%d}`,
		name, dial, health, born, build)
}

// ListDocument is a line of the list.
func ListDocument(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ",")) + "\n"
}

// RolloutEvent is the launcher's news.
func RolloutEvent(image, ring int, progress string, ceiling float64) string {
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=9\n\n", image, ring, progress, ceiling)
}

// Targets is all that was asked, in order.
func (s *StreamServer) Targets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.asked...)
}

// Open is the number of streams that stand.
func (s *StreamServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Write writes to all streams that stand; Tell writes to the last one only.
func (s *StreamServer) Write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lines := range s.open {
		select {
		case lines <- text:
		default: // a reader that is so far behind gets the whole when it comes again
		}
	}
}
