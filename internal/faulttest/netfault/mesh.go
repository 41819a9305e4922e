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
	// maxPendingPackets bounds the packets that wait until they are due. Further packets are lost, as at a router with a full queue.
	maxPendingPackets = 1 << 16
	// packetBuffer is the length of the queue to the delivery goroutine.
	packetBuffer = 1024
	// idleWait is how long the delivery goroutine sleeps while nothing is pending.
	idleWait = time.Hour
	// linkSeedStep is the distance between the seeds of successive senders. It gives each link a different seed.
	linkSeedStep = 4096
)

// Mesh relays datagrams between parties. It has a socket for each party and peer: the party sends its datagrams for the peer to this socket,
// and receives the peer's datagrams from this socket. So a receiver identifies the sender by the source address, as the protocol requires.
type Mesh struct {
	links      [][]*Link          // indexed by sender and receiver
	sockets    [][]net.PacketConn // indexed by party and peer; a party reaches all others at [party][party]
	parties    []netip.AddrPort
	now        Clock
	packets    chan packet
	closed     chan struct{}
	goroutines sync.WaitGroup
}

// NewMesh opens the sockets of a mesh and starts to relay between the parties at these addresses.
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

// openSockets creates a party's links and opens the sockets that it sends to.
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

// Address returns the address at which a party reaches another. With from equal to to, it returns the party's own address.
func (m *Mesh) Address(from, to int) string {
	if from == to {
		return m.parties[from].String()
	}
	return m.sockets[from][to].LocalAddr().String()
}

// BroadcastAddress returns the address at which a party reaches all others at once.
func (m *Mesh) BroadcastAddress(from int) string { return m.sockets[from][from].LocalAddr().String() }

// Link returns the link from one party to another.
func (m *Mesh) Link(from, to int) *Link { return m.links[from][to] }

// Close closes the mesh's sockets and waits until its goroutines have ended.
func (m *Mesh) Close() {
	select {
	case <-m.closed:
	default:
		close(m.closed)
	}
	for _, row := range m.sockets {
		for _, socket := range row {
			_ = socket.Close() // it may be closed already
		}
	}
	m.goroutines.Wait()
}

// read relays what a party sends to a peer, or to all other parties if from equals to.
func (m *Mesh) read(from, to int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := m.sockets[from][to].ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the system reports that an earlier datagram was refused, because its receiver has ended
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

// schedule lets the link decide on a datagram, and passes the datagram to the delivery goroutine unless it is lost.
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

// sendDue sends all packets that are due.
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

// send sends a datagram to its receiver, from the socket at which the receiver reaches the sender.
func (m *Mesh) send(p packet) {
	link := m.links[p.from][p.to]
	bytes := int64(len(p.payload))
	for range p.Copies {
		link.add(Counters{Delivered: 1, DeliveredBytes: bytes}) // counted before the write: the receiver may read the counters at once
		if _, err := m.sockets[p.to][p.from].WriteTo(p.payload, net.UDPAddrFromAddrPort(m.parties[p.to])); err != nil {
			link.add(Counters{Delivered: -1, DeliveredBytes: -bytes, Dropped: 1})
		}
	}
}
