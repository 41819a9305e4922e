package netfault

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	// maxPendingPackets bounds what is being delivered; what comes over it is lost, as at a full queue of a router.
	maxPendingPackets = 1 << 16
	// packetBuffer is how many packets may wait for the delivery goroutine.
	packetBuffer = 1024
	// idleWait is how long delivery sleeps while nothing is pending.
	idleWait = time.Hour
	// linkSeedStep keeps the random sources of the links apart.
	linkSeedStep = 4096
)

// Mesh relays datagrams between parties. A party reaches another at a socket of the mesh, and what the other sends comes from that same
// socket: so a receiver knows the sender by its address, as the protocol has it.
type Mesh struct {
	links      [][]*Link          // by sender and receiver
	sockets    [][]net.PacketConn // by party and peer; a party's own place is for what goes to all
	parties    []netip.AddrPort
	now        Clock
	packets    chan packet
	closed     chan struct{}
	goroutines sync.WaitGroup
}

// NewMesh starts the sockets between parties at these addresses.
func NewMesh(ctx context.Context, parties []string, seed int64, now Clock) (*Mesh, error) {
	m := &Mesh{now: now, packets: make(chan packet, packetBuffer), closed: make(chan struct{})}
	for i, party := range parties {
		address, err := netip.ParseAddrPort(party)
		if err != nil {
			return nil, fmt.Errorf("parsing the address of party %d, expected an IP address and a port: %w", i, err)
		}
		m.parties = append(m.parties, address)
	}
	for i := range parties {
		if err := m.openSockets(ctx, i, seed); err != nil {
			m.Close()
			return nil, err
		}
	}
	for i := range parties {
		for j := range parties {
			m.goroutines.Go(func() { m.read(i, j) })
		}
	}
	m.goroutines.Go(m.runDelivery)
	return m, nil
}

// openSockets makes a party's links and the sockets that it sends to.
func (m *Mesh) openSockets(ctx context.Context, party int, seed int64) error {
	m.links, m.sockets = append(m.links, nil), append(m.sockets, nil)
	for peer := range m.parties {
		m.links[party] = append(m.links[party], NewLink(seed+int64(party)*linkSeedStep+int64(peer)))
		socket, err := new(net.ListenConfig).ListenPacket(ctx, "udp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("opening the socket of party %d to party %d: %w", party, peer, err)
		}
		m.sockets[party] = append(m.sockets[party], socket)
	}
	return nil
}

// Address is where a party reaches another; its own address for itself.
func (m *Mesh) Address(from, to int) string {
	if from == to {
		return m.parties[from].String()
	}
	return m.sockets[from][to].LocalAddr().String()
}

// BroadcastAddress is where a party reaches all others at once.
func (m *Mesh) BroadcastAddress(from int) string { return m.sockets[from][from].LocalAddr().String() }

// Link is the direction from one party to another.
func (m *Mesh) Link(from, to int) *Link { return m.links[from][to] }

// Close ends the mesh and all that it started.
func (m *Mesh) Close() {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	for _, row := range m.sockets {
		for _, socket := range row {
			_ = socket.Close() // closing it again does no harm
		}
	}
	m.goroutines.Wait()
}

// read relays what a party sends to a peer, or to all where both are the same.
func (m *Mesh) read(from, to int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := m.sockets[from][to].ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a party that is gone has refused an earlier datagram
		}
		if sender, isUDP := source.(*net.UDPAddr); !isUDP || sender.AddrPort() != m.parties[from] {
			m.links[from][to].add(Counters{Foreign: 1})
			continue
		}
		if to != from {
			m.schedule(from, to, buffer[:n])
			continue
		}
		for peer := range m.parties {
			if peer != from {
				m.schedule(from, peer, buffer[:n])
			}
		}
	}
}

// schedule has the link decide on a datagram and hands it to the delivery goroutine.
func (m *Mesh) schedule(from, to int, payload []byte) {
	link, now := m.links[from][to], m.now()
	link.add(Counters{Received: 1, ReceivedBytes: int64(len(payload))})
	d := link.ScheduleDatagram(now, len(payload))
	if d.Copies == 0 {
		link.add(Counters{Dropped: 1})
		return
	}
	p := packet{Delivery: d, route: route{from, to}, payload: append([]byte(nil), payload...)}
	select {
	case m.packets <- p:
	case <-m.closed:
	}
}

// runDelivery sends each packet when it is due.
func (m *Mesh) runDelivery() {
	schedule := newPacketSchedule()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		m.sendDue(schedule)
		wait := idleWait
		if next, isPending := schedule.next(); isPending {
			wait = time.Duration(next-m.now()) * time.Microsecond
		}
		timer.Reset(wait)
		select {
		case <-m.closed:
			return
		case <-timer.C:
		case p := <-m.packets:
			if schedule.pending() >= maxPendingPackets {
				m.links[p.from][p.to].add(Counters{Dropped: 1})
				continue
			}
			schedule.add(p)
		}
	}
}

// sendDue sends all that is due by now.
func (m *Mesh) sendDue(schedule *packetSchedule) {
	now := m.now()
	for {
		p, isDue := schedule.takeDue(now)
		if !isDue {
			return
		}
		if p.reorderTimedOut {
			m.links[p.from][p.to].EndReorderWait()
		}
		m.send(p)
	}
}

// send hands a datagram to its receiver, from the socket at which the receiver reaches the sender.
func (m *Mesh) send(p packet) {
	link := m.links[p.from][p.to]
	bytes := int64(len(p.payload))
	for range p.Copies {
		link.add(Counters{Delivered: 1, DeliveredBytes: bytes}) // before: the receiver may look at the counters at once
		if _, err := m.sockets[p.to][p.from].WriteTo(p.payload, net.UDPAddrFromAddrPort(m.parties[p.to])); err != nil {
			link.add(Counters{Delivered: -1, DeliveredBytes: -bytes, Dropped: 1})
		}
	}
}
