package faulttest

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"switchfork/internal/faulttest/netfault"

	"golang.org/x/sys/unix"
)

const (
	clientDialTimeout = time.Second
	// maxConnsPerAgent is the largest number of connections that a load has to one agent. It is well below what an agent with 1,024 file
	// descriptors accepts.
	maxConnsPerAgent = 300
)

// connSource provides connections for attempts. An attempt puts back a connection that the next attempt can reuse.
type connSource interface {
	takeConn(ctx context.Context, agent int) (*clientConn, error)
	putConn(agent int, conn *clientConn)
}

// connDialer opens connections to agents, and checks whether idle connections can still be used.
type connDialer struct {
	now                 netfault.Clock
	addresses           []string      // listen addresses, by agent
	connsWithExtraBytes *atomic.Int64 // number of idle connections on which bytes arrived
}

func (d *connDialer) dial(ctx context.Context, agent int) (*clientConn, error) {
	at := d.now()
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", d.addresses[agent])
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), dialedAt: at}, nil
}

// isStillOpen reports whether an idle connection can be used, and discards it if not. A connection on which bytes arrived while it was idle
// cannot be used.
func (d *connDialer) isStillOpen(conn *clientConn) bool {
	n, err := conn.peek()
	if errors.Is(err, unix.EAGAIN) {
		return true
	}
	if n > 0 {
		d.connsWithExtraBytes.Add(1)
	}
	conn.discard()
	return false
}

// connPool holds the connections that the open loads share: the idle connections to each agent, and a slot for each connection in use.
type connPool struct {
	*connDialer
	slots []chan struct{} // by agent; each holds one value for each connection in use

	mu   sync.Mutex
	idle [][]*clientConn // by agent
}

func newConnPool(dialer *connDialer) *connPool {
	p := &connPool{connDialer: dialer, idle: make([][]*clientConn, len(dialer.addresses))}
	for range dialer.addresses {
		p.slots = append(p.slots, make(chan struct{}, maxConnsPerAgent))
	}
	return p
}

// acquireSlot takes one of an agent's slots. It reports false if none is left.
func (p *connPool) acquireSlot(agent int) bool {
	select {
	case p.slots[agent] <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *connPool) releaseSlot(agent int) { <-p.slots[agent] }

// takeConn implements connSource. It returns an idle connection that is still open, or else a new one.
func (p *connPool) takeConn(ctx context.Context, agent int) (*clientConn, error) {
	for {
		conn := p.popIdle(agent)
		if conn == nil {
			return p.dial(ctx, agent)
		}
		if p.isStillOpen(conn) {
			return conn, nil
		}
	}
}

// popIdle removes and returns the idle connection that was used last. It returns nil if there is none.
func (p *connPool) popIdle(agent int) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle[agent])
	if n == 0 {
		return nil
	}
	conn := p.idle[agent][n-1]
	p.idle[agent] = p.idle[agent][:n-1]
	return conn
}

// putConn implements connSource.
func (p *connPool) putConn(agent int, conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[agent] = append(p.idle[agent], conn)
}

// discardIdle closes all idle connections.
func (p *connPool) discardIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for agent, conns := range p.idle {
		for _, conn := range conns {
			conn.discard()
		}
		p.idle[agent] = nil
	}
}
