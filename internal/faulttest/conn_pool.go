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
	// maxConnsPerAgent bounds a load's connections to one agent, well under what an agent with 1,024 descriptors accepts.
	maxConnsPerAgent = 300
)

// connSource is where an attempt takes its connection from, and puts it back for the next one.
type connSource interface {
	takeConn(ctx context.Context, agent int) (*clientConn, error)
	putConn(agent int, conn *clientConn)
}

// connDialer opens connections of clients to agents, and checks those that were idle.
type connDialer struct {
	now                 netfault.Clock
	addresses           []string      // of the agents
	connsWithExtraBytes *atomic.Int64 // counts the idle connections on which bytes came
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

// isStillOpen looks whether an idle connection can be used, and discards it where it can't.
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

// connPool are the connections that the open load shares: for each agent the idle ones, and slots for those in use.
type connPool struct {
	*connDialer
	slots []chan struct{} // by agent

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

// acquireSlot takes one of an agent's slots; false: there is none left.
func (p *connPool) acquireSlot(agent int) bool {
	select {
	case p.slots[agent] <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *connPool) releaseSlot(agent int) { <-p.slots[agent] }

// takeConn implements connSource: an idle connection that is still open, or a new one.
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

// popIdle is the connection that was used last; nil without one.
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
