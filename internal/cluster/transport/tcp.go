package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxMessageSize bounds what is written and read; a longer message that comes all the same ends its connection.
	maxMessageSize = 1 << 10
	// maxQueued is what a replica sends to one peer in some leases.
	maxQueued = 64
	// writeTimeout and dialTimeout: a message that takes longer is of no use to a lease of some seconds.
	writeTimeout = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff between connections that fail.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// idleTimeout ends the connection of a peer that is silent; replicas send several times a lease.
	idleTimeout = 2 * time.Minute
	// maxInbound bounds the connections that others have open here.
	maxInbound = 128
)

// TCP sends messages over one connection to each peer, on which nothing is read, and reads the connections of others. What can't
// be sent soon is dropped, the oldest message first: a replica repeats what matters, and an old message is worth less than a new
// one.
type TCP struct {
	listener net.Listener
	dial     func(ctx context.Context, address string) (net.Conn, error) // the place for TLS
	receive  func(message []byte)
	ctx      context.Context // ends all connections
	inbound  chan struct{}   // holds one value for each connection that is read

	mu    sync.Mutex
	links map[int]*link // by the peer's index
}

// link is the outgoing connection to one peer.
type link struct {
	address string
	queue   chan []byte
	stop    context.CancelFunc
}

// Listen opens the listener, which is closed with all connections when the context ends. Messages that arrive are given to
// receive, from several goroutines.
func Listen(ctx context.Context, address string, receive func(message []byte)) (*TCP, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	t := &TCP{
		listener: listener,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		receive: receive,
		ctx:     ctx,
		inbound: make(chan struct{}, maxInbound),
		links:   map[int]*link{},
	}
	go t.accept()
	go func() {
		<-ctx.Done()
		_ = listener.Close() // the agent ends
	}()
	return t, nil
}

// Addr returns the listener's address, with the port that the system chose where the configured one was 0.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// SetPeers sets the peers' addresses by their indices. Connections to addresses that are not among them end.
func (t *TCP) SetPeers(addresses map[int]string) {
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
			t.links[i] = t.startLink(address)
		}
	}
}

func (t *TCP) startLink(address string) *link {
	ctx, stop := context.WithCancel(t.ctx)
	l := &link{
		address: address,
		queue:   make(chan []byte, maxQueued),
		stop:    stop,
	}
	go t.run(ctx, l)
	return l
}

// Send queues a message for a peer, and drops the oldest one if the queue is full. A message to an unknown peer is dropped.
func (t *TCP) Send(to int, message []byte) {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	if l != nil {
		l.enqueue(message)
	}
}

func (l *link) enqueue(message []byte) {
	for {
		select {
		case l.queue <- message:
			return
		default:
		}
		select {
		case <-l.queue:
		default:
		}
	}
}

// run writes what is queued until the context ends, and connects when there is something to write.
func (t *TCP) run(ctx context.Context, l *link) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	var conn net.Conn
	defer func() {
		if conn != nil {
			discard(conn)
		}
	}()
	for {
		var message []byte
		select {
		case <-ctx.Done():
			return
		case message = <-l.queue:
		}
		if conn == nil {
			dialed, err := t.dial(ctx, l.address)
			if err != nil {
				if !sleep(ctx, retry.NextBackOff()) {
					return
				}
				continue // the message is dropped, it would come late
			}
			conn = dialed
			retry.Reset()
			go closeOnHangUp(conn)
		}
		err := writeMessage(conn, message)
		if errors.Is(err, errMessageSize) {
			slog.Error("message to a replica not sent", "to", l.address, "bytes", len(message), "err", err)
			continue
		}
		if err != nil {
			discard(conn) // a part of the message may have been sent: the next one needs a new connection
			conn = nil
		}
	}
}

// sleep waits, and tells whether the context is still in force.
func sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// discard closes a connection that is not used any more. An error of Close has no consequence.
func discard(conn net.Conn) { _ = conn.Close() }

// closeOnHangUp notices that the peer has closed the connection, on which it never writes.
func closeOnHangUp(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // however it ends, the connection is over
	discard(conn)
}

func (t *TCP) accept() {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(minRetryDelay)
			continue
		}
		select {
		case t.inbound <- struct{}{}:
			go t.read(conn)
		default:
			discard(conn)
		}
	}
}

// read hands over the messages of one connection until it ends.
func (t *TCP) read(conn net.Conn) {
	defer func() {
		discard(conn)
		<-t.inbound
	}()
	// A goroutine that waits for the context would outlive the connection.
	stop := context.AfterFunc(t.ctx, func() { discard(conn) })
	defer stop()
	reader := bufio.NewReaderSize(conn, 2*maxMessageSize)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, as reading does then
		message, err := readMessage(reader)
		if errors.Is(err, errMessageSize) {
			slog.Warn("replica connection ended", "from", conn.RemoteAddr().String(), "err", err)
		}
		if err != nil {
			return
		}
		t.receive(message)
	}
}
