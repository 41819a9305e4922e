package netfault

import (
	"net"
	"sync"
	"sync/atomic"
)

// relayedConn is one client's connection through a relay. A reader and a writer goroutine serve each direction.
type relayedConn struct {
	relay        *Stream
	client       *net.TCPConn
	trace        *Trace
	closeOnce    sync.Once
	closed       chan struct{}
	clientClosed atomic.Bool // the client's stream has been read to its end

	mu     sync.Mutex
	server *net.TCPConn // nil until it has been dialled
}

func newRelayedConn(relay *Stream, client *net.TCPConn) *relayedConn {
	trace := &Trace{Party: relay.party, Opened: relay.now()}
	return &relayedConn{relay: relay, client: client, closed: make(chan struct{}), trace: trace}
}

// close closes the connections to the client and to the server.
func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close() // every segment has been written or given up
		if server := c.serverConn(); server != nil {
			_ = server.Close()
		}
	})
}

// reset closes both connections so that client and server see a TCP reset.
func (c *relayedConn) reset() {
	c.trace.updateServerSide(func(s *ServerSide) { s.WasReset = true })
	// SetLinger fails only on a connection that is closed already.
	_ = c.client.SetLinger(0)
	if server := c.serverConn(); server != nil {
		_ = server.SetLinger(0)
	}
	c.close()
}

func (c *relayedConn) serverConn() *net.TCPConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server
}

// serve relays the connection until both directions have ended.
func (c *relayedConn) serve() {
	defer c.trace.updateServerSide(func(s *ServerSide) { s.HasEnded = true })
	defer c.close()
	var readers sync.WaitGroup
	defer readers.Wait()
	defer c.close()
	// Reading from the client begins before the server is dialled, so that the relay notices if the client gives up while a fault lets
	// nothing pass. The server then sees no connection.
	forward := c.forward()
	readDone := make(chan struct{})
	readers.Go(func() {
		forward.read()
		c.clientClosed.Store(true)
		close(readDone)
	})
	if !c.awaitReachable(readDone) {
		return
	}
	if c.clientClosed.Load() && len(forward.segments) == 0 {
		return
	}
	server := c.dialServer()
	if server == nil {
		return
	}
	forward.to = server
	reverse := c.reverse(server)
	readers.Go(reverse.read)
	var writers sync.WaitGroup
	writers.Go(forward.write)
	writers.Go(reverse.write)
	writers.Wait()
}

// awaitReachable waits while a direction drops everything. It returns false if the client gave up, or if the connection is refused or
// closed.
func (c *relayedConn) awaitReachable(readDone <-chan struct{}) bool {
	for {
		forward, _, forwardChanged := c.relay.Forward.Fault()
		reverse, _, reverseChanged := c.relay.Reverse.Fault()
		if forward.Refuse || reverse.Refuse {
			c.relay.recordFaultHit()
			c.reset()
			return false
		}
		if !forward.Drop && !reverse.Drop {
			return true
		}
		c.relay.recordFaultHit()
		select {
		case <-forwardChanged:
		case <-reverseChanged:
		case <-readDone:
			return false
		case <-c.closed:
			return false
		}
	}
}

// dialServer connects to the server. It returns nil if that failed or if the connection has been closed in the meantime.
func (c *relayedConn) dialServer() *net.TCPConn {
	dialed, err := c.relay.dialer.Dial("tcp", c.relay.target)
	if err != nil {
		c.reset()
		return nil
	}
	server := dialed.(*net.TCPConn)
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	c.trace.setServerPort(server.LocalAddr().(*net.TCPAddr).Port)
	select {
	case <-c.closed: // if close ran before server was set, it did not close server
		_ = server.Close()
		return nil
	default:
		return server
	}
}

func (c *relayedConn) forward() *direction {
	return &direction{
		conn: c, link: c.relay.Forward, from: c.client, segments: newSegmentQueue(),
		received: func(bytes int, now Micros) { c.trace.appendProgress(&c.trace.fromClient, bytes, now) },
		sending:  func(int, Micros) {},
		sent: func(bytes int) {
			c.trace.updateServerSide(func(s *ServerSide) { s.Delivered += int64(bytes) })
		},
	}
}

func (c *relayedConn) reverse(server *net.TCPConn) *direction {
	return &direction{
		conn: c, link: c.relay.Reverse, from: server, to: c.client, segments: newSegmentQueue(),
		received: func(bytes int, _ Micros) {
			c.trace.updateServerSide(func(s *ServerSide) { s.Received += int64(bytes) })
		},
		sending: func(bytes int, now Micros) { c.trace.appendProgress(&c.trace.toClient, bytes, now) },
		sent:    func(int) {},
	}
}
