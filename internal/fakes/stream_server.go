package fakes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// NoAnswer is an answer that leaves a call open without writing anything.
const NoAnswer = "no answer"

// maxPendingWrites bounds the writes that wait for a stream whose client does not read.
const maxPendingWrites = 64

// StreamServer is a fake server that answers calls and keeps streams open: discovery, or the rollout controller.
type StreamServer struct {
	net.Listener
	server            *http.Server
	keepAlive         string
	keepAliveInterval time.Duration

	mu      sync.Mutex
	calls   []string      // method, path with query, and body of each call
	streams []chan string // streams that the server has not closed
	answer  func(call string) string
	isMuted bool // no keep-alives are sent
	closed  int  // number of streams that clients have closed
}

// NewStreamServer serves a listener. The function answer returns the immediate answer to a call: a body, a status and a body
// separated by "|", or NoAnswer. It is called under the server's lock and must not call the server. After the answer, a stream carries
// the published texts, and the text keepAlive after each interval without a published text.
func NewStreamServer(listener net.Listener, keepAlive string, interval time.Duration, answer func(call string) string) *StreamServer {
	s := &StreamServer{Listener: listener, keepAlive: keepAlive, keepAliveInterval: interval, answer: answer}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }() // ends when Close is called
	return s
}

func (s *StreamServer) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // if the request is cut short, the call holds the part that arrived
	call := strings.TrimSpace(r.Method + " " + r.RequestURI + " " + string(body))
	var stream chan string
	if isStream(r) {
		stream = make(chan string, maxPendingWrites)
	}
	answer := s.record(call, stream)
	if answer == NoAnswer {
		<-r.Context().Done()
		return
	}
	if status, text, hasStatus := strings.Cut(answer, "|"); hasStatus {
		code, err := strconv.Atoi(status)
		if err != nil {
			panic(fmt.Sprintf("scripted answer to %s: got the status %q, expected a number", call, status))
		}
		w.WriteHeader(code)
		answer = text
	}
	writeAndFlush(w, answer)
	if stream != nil {
		s.serveStream(w, r, stream)
	}
}

// isStream reports whether a request asks for a stream. Any request can do so with the parameter stream. A GET request does so without
// the parameter too, unless its path ends in members.
func isStream(r *http.Request) bool {
	if r.URL.Query().Get("stream") != "" {
		return true
	}
	return r.Method == http.MethodGet && !strings.HasSuffix(r.URL.Path, "members")
}

// record stores a call and its stream, if it has one, and returns the answer.
func (s *StreamServer) record(call string, stream chan string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	if stream != nil {
		s.streams = append(s.streams, stream)
	}
	return s.answer(call)
}

// serveStream writes what is published until the stream is closed by either side.
func (s *StreamServer) serveStream(w http.ResponseWriter, r *http.Request, stream <-chan string) {
	for {
		select {
		case text, isOpen := <-stream:
			if !isOpen {
				return
			}
			writeAndFlush(w, text)
		case <-time.After(s.keepAliveInterval):
			s.sendKeepAlive(w)
		case <-r.Context().Done():
			s.mu.Lock()
			s.closed++
			s.mu.Unlock()
			return
		}
	}
}

// sendKeepAlive writes a keep-alive under the lock, so that no keep-alive follows once SetMuted(true) has returned.
func (s *StreamServer) sendKeepAlive(w http.ResponseWriter) {
	s.mu.Lock()
	if !s.isMuted {
		writeBody(w, s.keepAlive)
	}
	s.mu.Unlock()
	flush(w)
}

func writeAndFlush(w http.ResponseWriter, text string) {
	writeBody(w, text)
	flush(w)
}

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }

// CallsContaining returns the number of calls with a text in their method, path or body.
func (s *StreamServer) CallsContaining(text string) (count int) {
	for _, call := range s.Calls() {
		if strings.Contains(call, text) {
			count++
		}
	}
	return count
}

// Calls returns all calls in order: method, path with query, and body.
func (s *StreamServer) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// OpenedStreams returns the number of streams that the server has not closed, including those that clients have closed.
func (s *StreamServer) OpenedStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// Closed returns the number of streams that clients have closed.
func (s *StreamServer) Closed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Publish writes to the stream that was opened last. It panics if there is none.
func (s *StreamServer) Publish(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[len(s.streams)-1] <- text
}

// Write writes to all streams. A stream with maxPendingWrites unread writes misses the text. Its client gets the full state when it
// reconnects.
func (s *StreamServer) Write(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		select {
		case stream <- text:
		default:
		}
	}
}

// CloseStreams closes all streams.
func (s *StreamServer) CloseStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		close(stream)
	}
	s.streams = nil
}

// SetMuted stops the keep-alives, or resumes them.
func (s *StreamServer) SetMuted(isMuted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isMuted = isMuted
}

// Addr returns the listener's address as a string. It hides the method of net.Listener.
func (s *StreamServer) Addr() string { return s.Listener.Addr().String() }

// Close closes the listener and all connections.
func (s *StreamServer) Close() {
	_ = s.server.Close() // fails if the listener is already closed
}
