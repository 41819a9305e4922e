package faulttest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// countedConn is a fake server's end of a connection. It counts the bytes, so that its counts can be compared with those of the relay.
type countedConn struct {
	net.Conn
	agent, port   int // the agent whose relay dialed, and the relay's port
	readBytes     atomic.Int64
	writtenBytes  atomic.Int64
	requestStart  atomic.Int64 // number of bytes read before the request that is being served
	answerStarted atomic.Bool  // the last operation was a write, so the next byte read begins a request
	wasReset      atomic.Bool
	writtenAtEOF  atomic.Int64 // number of bytes that had been written when the other side closed the connection, plus 1; 0: not closed yet. Bytes written later may be lost
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.answerStarted.Swap(false) {
		c.requestStart.Store(c.readBytes.Load())
	}
	c.readBytes.Add(int64(n))
	if err != nil {
		c.writtenAtEOF.CompareAndSwap(0, c.writtenBytes.Load()+1)
		if !errors.Is(err, io.EOF) {
			c.wasReset.Store(true)
		}
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.writtenBytes.Add(int64(n))
	c.answerStarted.Store(true)
	if err != nil {
		c.wasReset.Store(true)
	}
	return n, err
}

// countingListener records the connections that it accepted.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*countedConn
}

func listen(ctx context.Context) (*countingListener, error) {
	l, err := fakes.Listen(ctx)
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l}, nil
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: c, agent: netfault.PartyOf(c.RemoteAddr()), port: c.RemoteAddr().(*net.TCPAddr).Port}
	l.mu.Lock()
	l.conns = append(l.conns, counted)
	l.mu.Unlock()
	return counted, nil
}

func (l *countingListener) snapshot() []*countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*countedConn(nil), l.conns...)
}

type connContextKey struct{}

// connContext is a ConnContext function for http.Server. It stores the connection in the context, for countedConnOf.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

func countedConnOf(r *http.Request) *countedConn {
	c, _ := r.Context().Value(connContextKey{}).(*countedConn)
	return c
}

// serveHTTP starts a server on a listener and returns it. The server runs until it is closed.
func serveHTTP(l net.Listener, handler http.HandlerFunc) *http.Server {
	server := &http.Server{ConnContext: connContext, Handler: handler}
	go func() {
		_ = server.Serve(l) // returns after Close; any other error shows in the scenario as agents that can't connect
	}()
	return server
}
