package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// This file owns the TCP way: a listener, and one connection to each other agent on which this one only writes. What can't
// be sent soon is dropped, the oldest first: the decider says it again, and an old message is worth less than a new one.

const (
	// most is the longest message that is read; a longer one ends the connection.
	most = 1 << 10
	// queueMost: some leases' worth of messages to one agent.
	queueMost = 64
	// writeWait, dialWait: what takes longer is of no use to a lease of some seconds.
	writeWait, dialWait = 500 * time.Millisecond, 500 * time.Millisecond
	// firstPause and longPause between connections that fail, drawn at random up to them.
	firstPause, longPause = 20 * time.Millisecond, time.Second
	// idleMost: who has said nothing for so long is cut; deciders speak several times a lease.
	idleMost = 2 * time.Minute
	// callersMost: connections that others have open at a time.
	callersMost = 128
)

// TCP is the TCP way.
type TCP struct {
	listener net.Listener
	dial     func(ctx context.Context, address string) (net.Conn, error) // the callers' work puts TLS here
	hand     func([]byte)
	mu       sync.Mutex
	lines    map[int]*line
	ctx      context.Context
	places   chan struct{}
}

// line is the way to one agent.
type line struct {
	address string
	queue   chan []byte
	stop    context.CancelFunc
}

// Listen opens the TCP way; what comes is given to hand, from several goroutines.
func Listen(ctx context.Context, address string, hand func([]byte)) (*TCP, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &TCP{
		listener: l, hand: hand, lines: map[int]*line{}, ctx: ctx, places: make(chan struct{}, callersMost),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", address)
		},
	}
	go s.accept()
	go func() { <-ctx.Done(); l.Close() }()
	return s, nil
}

// Addr is where it listens.
func (s *TCP) Addr() string { return s.listener.Addr().String() }

// SetPeers names the agents' addresses; lines to others end, and new ones begin.
func (s *TCP) SetPeers(addresses map[int]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.lines {
		if addresses[i] != l.address {
			l.stop()
			delete(s.lines, i)
		}
	}
	for i, a := range addresses {
		if s.lines[i] == nil {
			ctx, stop := context.WithCancel(s.ctx)
			l := &line{a, make(chan []byte, queueMost), stop}
			s.lines[i] = l
			go s.run(ctx, l)
		}
	}
}

// Send queues a message; without a line to that agent it is dropped.
func (s *TCP) Send(to int, b []byte) {
	s.mu.Lock()
	l := s.lines[to]
	s.mu.Unlock()
	for l != nil {
		select {
		case l.queue <- b:
			return
		default:
		}
		select {
		case <-l.queue:
		default:
		}
	}
}

// run keeps a line up while there is something to say.
func (s *TCP) run(ctx context.Context, l *line) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longPause
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		var b []byte
		select {
		case <-ctx.Done():
			return
		case b = <-l.queue:
		}
		if c == nil {
			var err error
			if c, err = s.dial(ctx, l.address); err != nil {
				c = nil
				select {
				case <-ctx.Done():
					return
				case <-time.After(pause.NextBackOff()):
				}
				continue
			}
			pause.Reset()
			go hangUp(c)
		}
		c.SetWriteDeadline(time.Now().Add(writeWait))
		if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...)); err != nil {
			c.Close() // a part of it may have gone: the next message needs a connection of its own
			c = nil
		}
	}
}

// hangUp notices the other side's end: it never says anything on this connection.
func hangUp(c net.Conn) {
	io.Copy(io.Discard, c)
	c.Close()
}

func (s *TCP) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(firstPause)
			continue
		}
		select {
		case s.places <- struct{}{}:
			go s.read(c)
		default:
			c.Close()
		}
	}
}

func (s *TCP) read(c net.Conn) {
	defer func() { c.Close(); <-s.places }()
	defer context.AfterFunc(s.ctx, func() { c.Close() })() // a goroutine for each would stay until the agent's end
	r := bufio.NewReaderSize(c, 2*most)
	for {
		c.SetReadDeadline(time.Now().Add(idleMost))
		b, err := next(r)
		if errors.Is(err, errTooLong) {
			slog.Warn("decider's connection ended", "from", c.RemoteAddr().String(), "err", err)
		}
		if err != nil {
			return
		}
		s.hand(b)
	}
}

var errTooLong = errors.New("a message that is empty or longer than is allowed")

// next reads one framed message: two bytes of length, the higher first.
func next(r io.Reader) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint16(head[:]))
	if n == 0 || n > most {
		return nil, errTooLong
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
