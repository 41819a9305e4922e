package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// CapturedRequest is a request as an endpoint received it.
type CapturedRequest struct {
	RequestLine, Body string
	Header            http.Header
	Conn              int // index of the connection, from 1
}

// ScriptedServer is a fake endpoint that records each complete request and then calls a handler with the connection and the request's
// index among all requests to the server, from 1. The handler writes the response to the connection, and reports whether the connection
// stays open.
type ScriptedServer struct {
	net.Listener
	mu          sync.Mutex
	requests    []CapturedRequest
	connections int
	closed      int // number of connections that have ended, except those that ended within a request's body
	handler     func(conn net.Conn, nth int) bool
}

// NewScriptedServer starts a server on a listener. It runs until the listener is closed.
func NewScriptedServer(listener net.Listener, handler func(conn net.Conn, nth int) bool) *ScriptedServer {
	s := &ScriptedServer{Listener: listener, handler: handler}
	go s.accept()
	return s
}

// Respond returns a handler that writes a text and keeps the connection open.
func Respond(text string) func(net.Conn, int) bool {
	return func(conn net.Conn, _ int) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// OKResponse returns a complete response with a body.
func OKResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// CloseUnanswered is a handler that closes the connection without a response.
func CloseUnanswered(net.Conn, int) bool { return false }

// NeverRespond is a handler that writes nothing and waits until the agent closes the connection.
func NeverRespond(conn net.Conn, _ int) bool {
	_, _ = io.Copy(io.Discard, conn) // an error ends the wait too
	return false
}

func (s *ScriptedServer) accept() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		number := s.connections
		s.mu.Unlock()
		go s.serve(conn, number)
	}
}

func (s *ScriptedServer) serve(conn net.Conn, number int) {
	defer func() { _ = conn.Close() }() // the agent may have closed it
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			s.countClosed()
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		handler, nth := s.record(CapturedRequest{
			RequestLine: request.Method + " " + request.RequestURI,
			Body:        string(body),
			Header:      request.Header,
			Conn:        number,
		})
		if !handler(conn, nth) {
			s.countClosed()
			return
		}
	}
}

// record stores a request, and returns the handler for it and the request's index, from 1.
func (s *ScriptedServer) record(request CapturedRequest) (handler func(net.Conn, int) bool, nth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	return s.handler, len(s.requests)
}

func (s *ScriptedServer) countClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
}

// Requests returns the requests so far, in the order of their arrival.
func (s *ScriptedServer) Requests() []CapturedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]CapturedRequest(nil), s.requests...)
}

// Closed returns the number of connections that have ended, except those that ended within a request's body.
func (s *ScriptedServer) Closed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// SetHandler replaces the handler for later requests.
func (s *ScriptedServer) SetHandler(handler func(conn net.Conn, nth int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// Addr returns the listener's address as a string. It hides the method of net.Listener.
func (s *ScriptedServer) Addr() string { return s.Listener.Addr().String() }
