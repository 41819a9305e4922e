package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxQueuedBytes of one direction of a connection wait at the relay at the most; then its sender has to wait, as with a full window.
const maxQueuedBytes = 1 << 20

// relayedConn is one connection through a relay. A reader and a writer goroutine serve each direction.
type relayedConn struct {
	relay        *Stream
	client       *net.TCPConn
	trace        *Trace
	closeOnce    sync.Once
	closed       chan struct{}
	clientClosed atomic.Bool // the client's end of its stream has come in

	mu     sync.Mutex
	server *net.TCPConn // nil until it was dialled
}

// segment is a part of a stream that is being relayed; a nil payload is the stream's end.
type segment struct {
	payload   []byte
	deliverAt Micros
}

// direction is one half of a connection.
type direction struct {
	conn     *relayedConn
	link     *Link
	from, to *net.TCPConn
	segments chan segment
	received func(bytes int, now Micros) // records what was read
	sending  func(bytes int, now Micros) // records what is about to be written
	sent     func(bytes int)             // records what was written
}

func newRelayedConn(relay *Stream, client *net.TCPConn) *relayedConn {
	trace := &Trace{Party: relay.party, Opened: relay.now()}
	return &relayedConn{relay: relay, client: client, closed: make(chan struct{}), trace: trace}
}

// close ends both sides.
func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close() // all that is owed was written before, or was given up
		if server := c.serverConn(); server != nil {
			_ = server.Close()
		}
	})
}

// reset ends both sides so that both parties see a reset.
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
	// Reading begins at once: a client that gives up while nothing passes has never had a connection.
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

// awaitReachable waits while a direction drops everything; false: there is nothing to relay.
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

// dialServer connects to the server; nil where that failed or the connection was closed meanwhile.
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
	case <-c.closed: // by one that didn't know the server's side yet
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

func newSegmentQueue() chan segment { return make(chan segment, maxQueuedBytes/maxSegmentBytes) }

// read reads what comes, and decides when it is delivered.
func (d *direction) read() {
	defer close(d.segments)
	deliverAt := Micros(0)
	for {
		buffer := make([]byte, d.link.SegmentSize())
		n, err := d.from.Read(buffer)
		now := d.conn.relay.now()
		if n > 0 {
			d.link.add(Counters{Received: 1, ReceivedBytes: int64(n)})
			d.received(n, now)
			deliverAt = d.link.ScheduleSegment(now, n, deliverAt)
			if !d.enqueue(segment{buffer[:n], deliverAt}) {
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.ECONNRESET):
			d.conn.reset() // a sender doesn't retransmit what it has reset: nothing of it is delivered any more
		case errors.Is(err, io.EOF):
			d.enqueue(segment{nil, d.link.ScheduleSegment(now, 0, deliverAt)})
		}
		return
	}
}

// enqueue hands a segment to the writer; false: the connection is closed.
func (d *direction) enqueue(s segment) bool {
	select {
	case d.segments <- s:
		return true
	case <-d.conn.closed:
		return false
	}
}

// writerState is what a writer keeps from segment to segment.
type writerState struct {
	swallowedBytes  bool // in a black hole: the connection can't go on once the fault is over
	faultVersion    int
	bytesUntilReset int // by the fault of this version
}

// write delivers each segment when it is due, as far as the link lets it.
func (d *direction) write() {
	state := writerState{faultVersion: -1}
	var pending *segment
	for {
		fault, version, changed := d.link.Fault()
		if !d.survives(fault, version, &state) {
			return
		}
		incoming := d.segments
		var due <-chan time.Time
		switch {
		case pending == nil:
		case fault.Drop:
			incoming = nil
			d.link.recordFaultHit()
		default:
			incoming = nil
			wait := time.Duration(pending.deliverAt-d.conn.relay.now()) * time.Microsecond
			if wait <= 0 {
				if !d.deliver(*pending, fault, &state) {
					return
				}
				pending = nil
				continue
			}
			due = time.After(wait)
		}
		select {
		case s, isOpen := <-incoming:
			if !isOpen {
				return
			}
			pending = &s
		case <-due:
		case <-changed:
		case <-d.conn.closed:
			return
		}
	}
}

// survives resets the connection where a fault refuses it or bytes were swallowed by one that is over, and returns false then. It takes
// over the byte count of a new fault.
func (d *direction) survives(fault Fault, version int, state *writerState) bool {
	if fault.Refuse || state.swallowedBytes && !fault.Blackhole {
		d.link.recordFaultHit()
		d.conn.reset()
		return false
	}
	if version != state.faultVersion {
		state.faultVersion, state.bytesUntilReset = version, fault.ResetAfterBytes
	}
	return true
}

// deliver writes one segment; false ends the direction.
func (d *direction) deliver(s segment, fault Fault, state *writerState) bool {
	if fault.Blackhole {
		d.link.add(Counters{Dropped: 1})
		d.link.recordFaultHit()
		state.swallowedBytes = true
		return true
	}
	if s.payload == nil {
		_ = d.to.CloseWrite() // it fails only where the other side is gone already
		return false
	}
	payload := s.payload
	isReset := fault.ResetAfterBytes > 0 && len(payload) >= state.bytesUntilReset
	if isReset {
		payload = payload[:state.bytesUntilReset]
	}
	n, err := d.writePayload(payload)
	if err != nil {
		d.conn.reset()
		return false
	}
	state.bytesUntilReset -= n
	if isReset {
		d.link.recordFaultHit()
		d.conn.reset()
		return false
	}
	return true
}

func (d *direction) writePayload(payload []byte) (n int, err error) {
	if len(payload) == 0 {
		return 0, nil
	}
	d.sending(len(payload), d.conn.relay.now()) // recorded before: the receiver may act before the system's call returns
	n, err = d.to.Write(payload)
	d.sent(n)
	d.link.add(Counters{Delivered: 1, DeliveredBytes: int64(n)})
	return n, err
}
