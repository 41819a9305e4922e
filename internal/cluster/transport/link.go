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
	// maxQueuedMessages is what a replica sends to one peer in some leases.
	maxQueuedMessages = 64
	// minRetryDelay and maxRetryDelay bound the exponential backoff between connections that fail.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// link is the outgoing connection to one peer, with what waits to be sent on it. Any goroutine may enqueue; the connection belongs to the
// goroutine of run.
type link struct {
	address string
	dial    dialFunc
	queue   chan []byte
	stop    context.CancelFunc

	conn  net.Conn // nil: not connected
	retry *backoff.ExponentialBackOff
}

// startLink makes a link whose goroutine runs until its stop is called or the context ends.
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

// enqueue adds a message to the queue, and drops the oldest one if it is full.
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

// send writes a message. One for which there is no connection is dropped: it would come late.
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
		l.disconnect() // a part of the message may have been sent: the next one needs a new connection
	}
}

// connect opens the connection, or waits before the next attempt and reports false.
func (l *link) connect(ctx context.Context) bool {
	conn, err := l.dial(ctx, l.address)
	if err != nil {
		sleep(ctx, l.retry.NextBackOff())
		return false
	}
	l.retry.Reset()
	l.conn = conn
	go closeOnHangUp(conn)
	return true
}

func (l *link) disconnect() {
	if l.conn != nil {
		discard(l.conn)
		l.conn = nil
	}
}

// sleep waits until the delay is over or the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// closeOnHangUp notices that the peer has closed the connection, on which it never writes.
func closeOnHangUp(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // however it ends, the connection is over
	discard(conn)
}
