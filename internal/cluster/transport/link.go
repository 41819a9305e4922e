package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxQueuedMessages bounds the queue of a link. It is as many messages as a replica sends to one peer in several leases.
	maxQueuedMessages = 64
	// minRetryDelay and maxRetryDelay bound the exponential backoff between failed attempts to connect.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// link is the outgoing connection to one peer, with the queue of messages to be sent on it. Any goroutine may call enqueue; the connection
// belongs to the goroutine of run.
type link struct {
	address string
	dial    dialFunc
	queue   chan []byte
	stop    context.CancelFunc

	conn  net.Conn // nil: not connected
	retry *backoff.ExponentialBackOff
}

// startLink returns a link whose goroutine runs until stop is called or the context ends.
func startLink(ctx context.Context, address string, dial dialFunc) *link {
	ctx, stop := context.WithCancel(ctx)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	l := &link{
		address: address,
		dial:    dial,
		queue:   make(chan []byte, maxQueuedMessages),
		stop:    stop,
		retry:   retry,
	}
	go l.run(ctx)
	return l
}

// enqueue adds a message to the queue. If the queue is full, it drops the oldest message.
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

// run sends queued messages until the context ends. It connects only when there is a message to send.
func (l *link) run(ctx context.Context) {
	defer l.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-l.queue:
			l.send(ctx, message)
		}
	}
}

// send writes a message to the connection, which it opens if necessary. If connecting or writing fails, the message is dropped, because it
// would arrive late.
func (l *link) send(ctx context.Context, message []byte) {
	if l.conn == nil && !l.connect(ctx) {
		return
	}
	err := writeMessage(l.conn, message)
	var wrongSize *messageSizeError
	switch {
	case errors.As(err, &wrongSize):
		slog.Error("message to a replica not sent", "to", l.address, "bytes", len(message), "err", err)
	case err != nil:
		l.disconnect() // part of the message may have been sent, so the next message needs a new connection
	}
}

// connect opens the connection, and reports whether it succeeded. After a failure it waits for the retry delay before it returns.
func (l *link) connect(ctx context.Context) bool {
	conn, err := l.dial(ctx, l.address)
	if err != nil {
		sleep(ctx, l.retry.NextBackOff())
		return false
	}
	l.retry.Reset()
	l.conn = conn
	go closeWhenPeerCloses(conn)
	return true
}

func (l *link) disconnect() {
	if l.conn != nil {
		discard(l.conn)
		l.conn = nil
	}
}

// sleep waits until the delay has passed or the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// closeWhenPeerCloses closes the connection once the peer has closed it. It reads from the connection to notice that; the peer never writes
// on it.
func closeWhenPeerCloses(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // with or without an error, the connection has ended
	discard(conn)
}
