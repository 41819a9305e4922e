package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 20 * time.Millisecond
	// idleTimeout is how long a peer may send nothing before its connection is closed. Replicas send several messages per lease.
	idleTimeout = 2 * time.Minute
	// maxInboundConnections bounds the number of open connections that other agents have made to this agent.
	maxInboundConnections = 128
)

// TCP sends messages over one connection to each peer, and receives messages on the connections that peers open. Each connection carries
// messages in one direction only. Messages that can't be sent soon are dropped, the oldest first: a replica repeats what matters, and an
// old message is worth less than a new one.
//
// One goroutine, which ends with the context of Listen, starts and stops the links to the peers.
type TCP struct {
	listener net.Listener
	dial     dialFunc // TLS would be added here
	receive  func(message []byte)
	inbound  chan struct{} // semaphore that limits inbound connections; holds one value for each connection that is being read
	updates  chan peerUpdate
	ended    chan struct{} // closed when no more peer updates are accepted

	mu    sync.Mutex
	links map[int]*link // by the peer's index; changed only by the goroutine of serveLinks
}

// peerUpdate asks for links to exactly the peers at these addresses, which are keyed by the peers' indices. applied is closed once the links
// are set.
type peerUpdate struct {
	addresses map[int]string
	applied   chan<- struct{}
}

// Listen starts to listen for connections of other replicas. The listener and all connections are closed when the context ends. Messages
// that arrive are passed to receive, which is called from several goroutines.
func Listen(ctx context.Context, address string, receive func(message []byte)) (*TCP, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for other replicas at %s: %w", address, err)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	t := &TCP{
		listener: listener,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		receive: receive,
		inbound: make(chan struct{}, maxInboundConnections),
		updates: make(chan peerUpdate),
		ended:   make(chan struct{}),
		links:   map[int]*link{},
	}
	go t.accept(ctx)
	go t.serveLinks(ctx)
	return t, nil
}

// Addr returns the listener's address, with the port that the system chose if the configured port was 0.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// SetPeers sets the addresses of the peers, keyed by their indices. Links to other addresses end. Once SetPeers has returned, Send
// reaches the new peers. SetPeers has no effect after the context of Listen has ended.
func (t *TCP) SetPeers(addresses map[int]string) {
	applied := make(chan struct{})
	select {
	case t.updates <- peerUpdate{addresses, applied}:
		<-applied
	case <-t.ended:
	}
}

// serveLinks starts and stops links until the context ends, and then closes the listener. The links end with the same context.
func (t *TCP) serveLinks(ctx context.Context) {
	defer close(t.ended)
	for {
		select {
		case <-ctx.Done():
			_ = t.listener.Close() // the agent is shutting down, so an error has no consequence
			return
		case update := <-t.updates:
			t.setLinks(ctx, update.addresses)
			close(update.applied)
		}
	}
}

func (t *TCP) setLinks(ctx context.Context, addresses map[int]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, l := range t.links {
		if addresses[i] != l.address {
			l.stop()
			delete(t.links, i)
		}
	}
	for i, address := range addresses {
		if t.links[i] == nil {
			t.links[i] = startLink(ctx, address, t.dial)
		}
	}
}

// Send queues a message for a peer, and drops the oldest queued message if the queue is full. A message to an unknown peer is dropped.
func (t *TCP) Send(to int, message []byte) {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	if l != nil {
		l.enqueue(message)
	}
}

func (t *TCP) accept(ctx context.Context) {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case t.inbound <- struct{}{}:
			go t.read(ctx, conn)
		default:
			discard(conn)
		}
	}
}

// read passes the messages of one connection to receive until the connection or the context ends.
func (t *TCP) read(ctx context.Context, conn net.Conn) {
	defer func() {
		discard(conn)
		<-t.inbound
	}()
	// AfterFunc is used because a goroutine that waits for the context would outlive the connection.
	stop := context.AfterFunc(ctx, func() { discard(conn) })
	defer stop()
	reader := bufio.NewReaderSize(conn, 2*maxMessageBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, on which reading fails too
		message, err := readMessage(reader)
		var wrongSize *messageSizeError
		if errors.As(err, &wrongSize) {
			slog.Warn("replica connection ended", "from", conn.RemoteAddr().String(), "err", err)
		}
		if err != nil {
			return
		}
		t.receive(message)
	}
}

// discard closes a connection that is no longer used. An error of Close has no consequence.
func discard(conn net.Conn) { _ = conn.Close() }
