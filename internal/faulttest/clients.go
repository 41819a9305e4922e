package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"switchfork/internal/faulttest/netfault"

	"golang.org/x/sys/unix"
)

// This file owns the clients: an open load whose arrivals do not wait for answers, each try on a connection of its own time,
// written and read by hand so that nothing that an agent says goes unseen.

// SLA and Expiry are every product's in a night.
const SLA, Expiry = 800 * time.Millisecond, 2 * time.Second

// Try is one request of a client to an agent.
type Try struct {
	Agent     int
	ID        string
	Product   string
	Key       string
	Sent      netfault.Micros // its last byte was written; -1: it never was
	Ended     netfault.Micros // the last byte of its answer came, or what else ended it
	Status    int             // 0: none came whole
	Err       string
	Surplus   bool // bytes came behind the answer
	Body      string
	Unreached bool // no connection came up: the agent has not taken it
}

// Fate of a txn, over all its tries.
const (
	settled  = "settled"
	declined = "declined"
	failed   = "failed"
)

// Txn is what a client wants, with all its tries.
type Txn struct {
	Came   netfault.Micros
	Agent  int // of the first try
	Fate   string
	InTime bool
	Tries  []Try
}

// crowd are the clients.
type crowd struct {
	now     netfault.Clock
	urls    []string
	serial  atomic.Int64
	mu      sync.Mutex
	txns    []*Txn
	idle    [][]*clientConn
	open    sync.WaitGroup
	surplus atomic.Int64 // connections on which something came behind a whole answer, later
	lost    atomic.Int64 // txns for which there was no place: the night's own fault
	places  []chan struct{}
	living  func() []int
	// killed tells that an agent's process that lived at a time is over: what ended on a connection to it may have been read.
	killed func(agent int, at netfault.Micros) bool
}

// connsMost bounds a load's connections to one agent, well under what an agent with 1,024 descriptors lets in; triesMost
// is what a client makes of a txn in all, as the users' do.
const connsMost, triesMost = 300, 3

func newCrowd(now netfault.Clock, urls []string, living func() []int, killed func(int, netfault.Micros) bool) *crowd {
	c := &crowd{now: now, urls: urls, idle: make([][]*clientConn, len(urls)), living: living, killed: killed}
	for range urls {
		c.places = append(c.places, make(chan struct{}, connsMost))
	}
	return c
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	at   netfault.Micros // it was dialed
	used bool
}

// send runs a load at some agents until the context ends.
func (c *crowd) send(ctx context.Context, agents []int, l load, seed int64) {
	for _, i := range agents {
		if l.rate <= 0 {
			continue
		}
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			chance := rand.New(rand.NewSource(seed + int64(i)*1_000_003))
			next := time.Now()
			timer := time.NewTimer(0)
			defer timer.Stop()
			<-timer.C
			for {
				next = next.Add(time.Duration(chance.ExpFloat64() / l.rate * float64(time.Second)))
				timer.Reset(time.Until(next))
				select {
				case <-ctx.Done():
					return
				case <-timer.C:
				}
				product, draw := inquiry, chance.Float64()
				if draw < l.posting {
					product = posting
				} else if draw < l.posting+l.once {
					product = once
				}
				t := &Txn{Came: c.now(), Agent: i}
				c.mu.Lock()
				c.txns = append(c.txns, t)
				c.mu.Unlock()
				c.open.Add(1)
				go func() {
					defer c.open.Done()
					c.play(t, product)
				}()
			}
		}()
	}
}

// finish waits for the last answers; loads must have ended.
func (c *crowd) finish() {
	c.open.Wait()
	for i := range c.idle {
		for _, k := range c.idle[i] {
			k.Close()
		}
		c.idle[i] = nil
	}
}

// play is one txn: after a decline it comes back at the told time, after an agent that can't be reached it asks another, as a
// plain front would have it do.
func (c *crowd) play(t *Txn, product string) {
	serial := c.serial.Add(1)
	agent, fate, began := t.Agent, failed, c.now()
	for n := 0; n < triesMost; n++ {
		try := c.try(agent, product, serial, n, Expiry)
		c.mu.Lock()
		t.Tries = append(t.Tries, try)
		c.mu.Unlock()
		again, wait := false, time.Duration(0)
		switch {
		case try.Status == http.StatusOK:
			fate = settled
		case try.Status == http.StatusServiceUnavailable || try.Status == http.StatusTooManyRequests:
			fate, again = declined, true
			wait = 200 * time.Millisecond
			if s, err := strconv.ParseFloat(try.Body, 64); err == nil { // Retry-After, see try
				wait = time.Duration(min(s, Expiry.Seconds()) * float64(time.Second))
			}
		case try.Unreached, try.Status == 0 && product != once && try.Ended-max(try.Sent, 0) < Expiry.Microseconds():
			fate, again = failed, true
			if living := c.living(); len(living) > 0 {
				agent = living[int(serial)%len(living)]
			}
		default:
			fate = failed
		}
		if !again {
			break
		}
		time.Sleep(wait)
	}
	c.mu.Lock()
	t.Fate, t.InTime = fate, fate == settled && t.Tries[len(t.Tries)-1].Ended-began <= SLA.Microseconds()
	c.mu.Unlock()
}

// patience is how long over its expiry a client still listens, so that a late answer is seen as such.
const patience = time.Second

func (c *crowd) try(agent int, product string, serial int64, n int, left time.Duration) Try {
	t := Try{Agent: agent, ID: fmt.Sprintf("%x-%d", serial, n), Product: product, Sent: -1}
	if product == posting {
		t.Key = fmt.Sprintf("%032x", serial)
	}
	began := time.Now()
	select {
	case c.places[agent] <- struct{}{}:
		defer func() { <-c.places[agent] }()
	default:
		c.lost.Add(1)
		t.Ended, t.Err, t.Unreached = c.now(), "no place", true
		return t
	}
	for {
		k, err := c.conn(agent)
		if err != nil {
			t.Ended, t.Err, t.Unreached = c.now(), err.Error(), true
			return t
		}
		k.SetDeadline(began.Add(left + patience))
		_, err = k.Write(c.request(t, serial, n, left-time.Since(began)))
		if err == nil {
			t.Sent = c.now()
			var res *http.Response
			if res, err = http.ReadResponse(k.r, nil); err == nil {
				var body []byte
				body, err = io.ReadAll(res.Body)
				res.Body.Close()
				if t.Ended = c.now(); err == nil {
					t.Status, t.Body = res.StatusCode, string(body)
					if t.Status == http.StatusServiceUnavailable || t.Status == http.StatusTooManyRequests {
						t.Body = res.Header.Get("Retry-After")
					}
					t.Surplus = k.r.Buffered() > 0
					if res.Close || t.Surplus {
						k.Close()
					} else {
						k.used = true
						c.rest(agent, k)
					}
					return t
				}
			}
		}
		crossed := k.used && k.r.Buffered() == 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
		k.Close()
		if crossed && time.Since(began) < left && !c.killed(agent, k.at) { // the connection's end crossed the request
			t.Sent = -1
			continue
		}
		t.Ended, t.Err = c.now(), err.Error()
		return t
	}
}

func (c *crowd) conn(agent int) (*clientConn, error) {
	for {
		c.mu.Lock()
		n := len(c.idle[agent])
		if n == 0 {
			c.mu.Unlock()
			break
		}
		k := c.idle[agent][n-1]
		c.idle[agent] = c.idle[agent][:n-1]
		c.mu.Unlock()
		switch n, err := k.peek(); {
		case errors.Is(err, unix.EAGAIN):
			return k, nil
		case n > 0:
			c.surplus.Add(1) // bytes behind an answer that was whole
		}
		k.Close()
	}
	at := c.now()
	nc, err := net.DialTimeout("tcp", strings.TrimPrefix(c.urls[agent], "http://"), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, r: bufio.NewReader(nc), at: at}, nil
}

// peek looks what has come on a connection at rest.
func (k *clientConn) peek() (n int, err error) {
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, failed)
}

func (c *crowd) rest(agent int, k *clientConn) {
	c.mu.Lock()
	c.idle[agent] = append(c.idle[agent], k)
	c.mu.Unlock()
}

func (c *crowd) request(t Try, serial int64, n int, left time.Duration) []byte {
	var b bytes.Buffer
	method := "POST"
	if t.Product == inquiry {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s?sid=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: beqa\r\nX-Deadline-Ms: %d\r\n",
		method, t.Product, serial, t.ID, t.Product, max(1, left.Milliseconds()))
	if n > 0 {
		b.WriteString("X-Retry: 1\r\n")
	}
	if t.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
	}
	if method == "POST" {
		b.WriteString("Content-Length: 6\r\n\r\nbeam=1")
	} else {
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// all are the txns so far, as they stand.
func (c *crowd) all() (out []Txn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.txns {
		copied := *t
		copied.Tries = append([]Try(nil), t.Tries...)
		out = append(out, copied)
	}
	return out
}
