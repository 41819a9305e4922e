package netfault

import (
	"container/heap"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mesh relays datagrams between parties. A party knows another by the address of a socket of the mesh, and what the other says
// comes from that same socket: so a receiver knows the sender by its address, as the protocol has it.
type Mesh struct {
	ways    [][]*Way           // from, to
	socks   [][]net.PacketConn // at, other: where a party reaches another; its own place is for what goes to all
	parties []netip.AddrPort
	now     Clock
	posts   chan post
	closed  chan struct{}
	wait    sync.WaitGroup
}

// post is a datagram that is due at a time.
type post struct {
	at       Micros
	serial   int
	from, to int
	bytes    []byte
	flush    bool // of one that waited to be overtaken
	held     bool
	copies   int
	release  bool
}

// NewMesh starts the sockets between parties at these addresses.
func NewMesh(parties []string, seed int64, now Clock) (*Mesh, error) {
	m := &Mesh{now: now, posts: make(chan post, 1024), closed: make(chan struct{})}
	for _, p := range parties {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("a party's address: %w", err)
		}
		m.parties = append(m.parties, a)
	}
	for i := range parties {
		m.ways, m.socks = append(m.ways, nil), append(m.socks, nil)
		for j := range parties {
			m.ways[i] = append(m.ways[i], NewWay(seed+int64(i)*4096+int64(j)))
			c, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				m.Close()
				return nil, err
			}
			m.socks[i] = append(m.socks[i], c)
		}
	}
	for i := range parties {
		for j := range parties {
			m.wait.Go(func() { m.read(i, j) })
		}
	}
	m.wait.Go(m.deliver)
	return m, nil
}

// Known is the address at which a party reaches another; its own address for itself.
func (m *Mesh) Known(from, to int) string {
	if from == to {
		return m.parties[from].String()
	}
	return m.socks[from][to].LocalAddr().String()
}

// All is the address at which a party reaches all others at once.
func (m *Mesh) All(from int) string { return m.socks[from][from].LocalAddr().String() }

// Way is the direction from one party to another.
func (m *Mesh) Way(from, to int) *Way { return m.ways[from][to] }

// Close ends the mesh.
func (m *Mesh) Close() {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	for _, row := range m.socks {
		for _, c := range row {
			c.Close()
		}
	}
	m.wait.Wait()
}

const datagramMost = 64 << 10

func (m *Mesh) read(from, to int) {
	buf := make([]byte, datagramMost)
	for {
		n, source, err := m.socks[from][to].ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // what a party that is gone has refused
		}
		if a, is := source.(*net.UDPAddr); !is || a.AddrPort() != m.parties[from] {
			m.ways[from][to].add(Count{Foreign: 1})
			continue
		}
		if to != from {
			m.take(from, to, buf[:n])
			continue
		}
		for other := range m.parties {
			if other != from {
				m.take(from, other, buf[:n])
			}
		}
	}
}

func (m *Mesh) take(from, to int, b []byte) {
	w, now := m.ways[from][to], m.now()
	w.add(Count{Came: 1, CameBytes: int64(len(b))})
	f := w.Datagram(now, len(b))
	if f.Copies == 0 {
		w.add(Count{Gone: 1})
		return
	}
	p := post{at: f.At, from: from, to: to, bytes: append([]byte(nil), b...), held: f.Held, copies: f.Copies, release: f.Release}
	select {
	case m.posts <- p:
	case <-m.closed:
	}
}

// due are posts by their time, those of one time in the order they came.
type due []post

func (d due) Len() int { return len(d) }
func (d due) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].serial < d[j].serial
}
func (d due) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *due) Push(x any)   { *d = append(*d, x.(post)) }
func (d *due) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// postsMost bounds what is on its way; what comes over it is gone, as at a full queue of a router.
const postsMost = 1 << 16

func (m *Mesh) deliver() {
	var queue due
	held := map[[2]int]post{}
	serial := 0
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := m.now()
		for len(queue) > 0 && queue[0].at <= now {
			p := heap.Pop(&queue).(post)
			if p.flush {
				line := [2]int{p.from, p.to}
				if h, is := held[line]; is && h.serial == p.serial {
					delete(held, line)
					m.ways[p.from][p.to].Released()
					m.send(h)
				}
				continue
			}
			m.send(p)
		}
		wait := time.Hour
		if len(queue) > 0 {
			wait = time.Duration(queue[0].at-now) * time.Microsecond
		}
		timer.Reset(wait)
		select {
		case <-m.closed:
			return
		case <-timer.C:
		case p := <-m.posts:
			if len(queue) >= postsMost {
				m.ways[p.from][p.to].add(Count{Gone: 1})
				continue
			}
			serial++
			line := [2]int{p.from, p.to}
			if p.serial = serial; p.held {
				held[line] = p
				p.flush = true
			}
			heap.Push(&queue, p)
			if h, is := held[line]; is && p.release {
				delete(held, line)
				serial++
				h.at, h.serial = p.at, serial
				heap.Push(&queue, h)
			}
		}
	}
}

// send hands a datagram to its party, from the socket at which that party reaches the sender.
func (m *Mesh) send(p post) {
	for range p.copies {
		one, w := Count{Went: 1, WentBytes: int64(len(p.bytes))}, m.ways[p.from][p.to]
		w.add(one) // before: who gets it may look at once
		if _, err := m.socks[p.to][p.from].WriteTo(p.bytes, net.UDPAddrFromAddrPort(m.parties[p.to])); err != nil {
			w.add(Count{Went: -one.Went, WentBytes: -one.WentBytes, Gone: 1})
		}
	}
}
