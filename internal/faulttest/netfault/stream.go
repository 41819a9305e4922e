package netfault

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// serverDialTimeout bounds how long a relay dials its target.
const serverDialTimeout = 5 * time.Second

// Stream relays TCP connections from one party to one address, and applies the fault of each direction. While a direction drops everything
// or is a black hole, no new connection is established. The additional time of a handshake over a slow link is not modelled.
type Stream struct {
	Forward, Reverse *Link // to the server, and back to the client

	party      int
	listener   *net.TCPListener
	dialer     net.Dialer
	target     string
	now        Clock
	blocker    *backlogBlocker
	closed     chan struct{}
	goroutines sync.WaitGroup

	mu          sync.Mutex
	traces      []*Trace
	connections map[*relayedConn]bool
}

// NewStream starts a relay from a party to the target address.
func NewStream(ctx context.Context, party int, target string, seed int64, now Clock) (*Stream, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening the relay of party %d to %s: %w", party, target, err)
	}
	s := &Stream{
		Forward: NewLink(seed), Reverse: NewLink(^seed), party: party, listener: listener.(*net.TCPListener), target: target, now: now,
		closed: make(chan struct{}), connections: map[*relayedConn]bool{},
		dialer: net.Dialer{Timeout: serverDialTimeout, LocalAddr: &net.TCPAddr{IP: PartyIP(party)}},
	}
	s.blocker = newBacklogBlocker(s.listener, s.closed)
	s.goroutines.Go(s.accept)
	s.goroutines.Go(s.blockWhileUnreachable)
	return s, nil
}

// Addr returns the address at which the party reaches the relay.
func (s *Stream) Addr() string { return s.listener.Addr().String() }

// Traces returns the traces of all connections so far.
func (s *Stream) Traces() []*Trace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Trace(nil), s.traces...)
}

// Close closes the listener and all connections, and waits until the relay's goroutines have ended.
func (s *Stream) Close() {
	s.mu.Lock()
	if !s.isClosed() {
		close(s.closed)
	}
	for conn := range s.connections {
		conn.close()
	}
	s.mu.Unlock()
	_ = s.listener.Close() // it may be closed already
	s.goroutines.Wait()
}

func (s *Stream) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// recordFaultHit counts a fault hit for both directions. It is called if the fault of either direction prevents connections from being
// established.
func (s *Stream) recordFaultHit() {
	s.Forward.recordFaultHit()
	s.Reverse.recordFaultHit()
}

func (s *Stream) accept() {
	for {
		accepted, err := s.listener.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if s.blocker.waitUntilUnblocked() {
				continue
			}
			return
		}
		if err != nil {
			return
		}
		if s.blocker.isFiller(accepted) {
			_ = accepted.Close() // nothing was sent on it
			continue
		}
		conn := newRelayedConn(s, accepted)
		if !s.register(conn) {
			_ = accepted.Close() // the relay is closed
			return
		}
		go func() {
			defer s.goroutines.Done()
			conn.serve()
			s.unregister(conn)
		}()
	}
}

// register adds a connection and counts its goroutine. It returns false if the relay is closed.
func (s *Stream) register(conn *relayedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return false
	}
	s.connections[conn] = true
	s.traces = append(s.traces, conn.trace)
	s.goroutines.Add(1)
	return true
}

func (s *Stream) unregister(conn *relayedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
}

// blockWhileUnreachable prevents new connections while the fault of either direction blocks the handshake.
func (s *Stream) blockWhileUnreachable() {
	for {
		forward, _, forwardChanged := s.Forward.Fault()
		reverse, _, reverseChanged := s.Reverse.Fault()
		if s.blocker.setBlocked(forward.blocksHandshake() || reverse.blocksHandshake()) {
			s.recordFaultHit()
		}
		select {
		case <-forwardChanged:
		case <-reverseChanged:
		case <-s.closed:
			s.blocker.setBlocked(false)
			return
		}
	}
}

func (f Fault) blocksHandshake() bool { return f.Drop || f.Blackhole }
