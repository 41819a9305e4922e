package netfault

import (
	"encoding/binary"
	"net"
	"slices"
	"testing"
	"time"
)

// A datagram of one of these lengths is none of the numbered ones: the test's own.
const (
	endLength   = 1 // the last datagram
	flushLength = 2 // releases one that waits to be overtaken
)

// datagramTest sends numbered datagrams from one party to the other and records what arrives.
type datagramTest struct {
	mesh     *Mesh
	sockets  [2]*net.UDPConn
	now      Clock
	receiver *net.UDPAddr // where the sender reaches the receiver
	sender   string       // where the receiver reaches the sender
}

// arrivals are what the receiver got.
type arrivals struct {
	numbers []int
	delays  []float64 // microseconds
}

// run sends datagrams under a fault, and tells what arrived and how long it took in all.
func (d *datagramTest) run(t *testing.T, fault Fault, count, bytes int, interval time.Duration) (got arrivals, duration Micros) {
	t.Helper()
	link := d.mesh.Link(0, 1)
	link.SetFault(fault)
	before := link.Counters()
	start, received := d.now(), make(chan struct{})
	go func() {
		defer close(received)
		got = d.receive(t)
	}()
	payload := make([]byte, bytes)
	for i := range count {
		binary.BigEndian.PutUint32(payload, uint32(i))
		binary.BigEndian.PutUint64(payload[4:], uint64(d.now()))
		d.send(t, payload)
		time.Sleep(interval)
		if (i+1)%100 == 0 || i+1 == count { // the system's own queues are short
			eventually(t, "all at the relay", func() bool { return link.Counters().Received-before.Received == int64(i+1) })
		}
	}
	link.SetFault(Fault{})
	d.send(t, make([]byte, flushLength))
	d.send(t, make([]byte, endLength))
	<-received
	duration = d.now() - start
	if want := link.Counters().Delivered - before.Delivered - 2; int64(len(got.numbers)) != want {
		t.Errorf("%d arrived, the relay counts %d", len(got.numbers), want)
	}
	return got, duration
}

func (d *datagramTest) send(t *testing.T, payload []byte) {
	t.Helper()
	_, err := d.sockets[0].WriteToUDP(payload, d.receiver)
	must(t, err)
}

// receive reads up to the last datagram, or to the end of the socket.
func (d *datagramTest) receive(t *testing.T) (got arrivals) {
	t.Helper()
	buffer := make([]byte, 2048)
	for {
		n, from, err := d.sockets[1].ReadFromUDP(buffer)
		if err != nil || n == endLength {
			return got
		}
		if n == flushLength {
			continue
		}
		if from.String() != d.sender {
			t.Errorf("from %v, want %s", from, d.sender)
		}
		got.numbers = append(got.numbers, int(binary.BigEndian.Uint32(buffer)))
		got.delays = append(got.delays, float64(d.now()-int64(binary.BigEndian.Uint64(buffer[4:]))))
	}
}

// Loss, delay, rate, duplicates and order of real datagrams, as counted by the receiver.
func TestDatagramFaults(t *testing.T) {
	now := newTestClock()
	mesh, sockets := newTestMesh(t, now)
	receiver, err := net.ResolveUDPAddr("udp", mesh.Address(0, 1))
	must(t, err)
	test := &datagramTest{mesh: mesh, sockets: sockets, now: now, receiver: receiver, sender: mesh.Address(1, 0)}

	got, _ := test.run(t, Fault{}, 2000, 80, 0)
	if len(got.numbers) != 2000 || !slices.IsSorted(got.numbers) {
		t.Errorf("without a fault %d of 2000 arrived, in order: %t", len(got.numbers), slices.IsSorted(got.numbers))
	}
	got, _ = test.run(t, Fault{LossRate: 0.3}, 5000, 80, 0)
	expectNear(t, "lost", 1-float64(len(got.numbers))/5000, 0.3, 0.1)
	got, _ = test.run(t, Fault{DuplicateRate: 0.3}, 5000, 80, 0)
	expectNear(t, "duplicated", float64(len(got.numbers))/5000-1, 0.3, 0.1)
	got, _ = test.run(t, Fault{ReorderRate: 0.2}, 5000, 80, 0)
	reordered := 0
	for i := 1; i < len(got.numbers); i++ {
		if got.numbers[i] < got.numbers[i-1] {
			reordered++
		}
	}
	expectNear(t, "reordered", float64(reordered)/5000, 0.2, 0.1)
	got, _ = test.run(t, Fault{Delay: 300_000, Jitter: 50_000}, 100, 80, 5*time.Millisecond)
	slices.Sort(got.delays)
	expectNear(t, "delay", got.delays[len(got.delays)/2], 300_000, 0.2) // keeping its order, a datagram waits for the one ahead: up to the jitter
	if len(got.numbers) != 100 || got.delays[0] < 250_000 {
		t.Errorf("%d arrived, the first after %.0f us", len(got.numbers), got.delays[0])
	}
	got, _ = test.run(t, Fault{Delay: 300_000}, 50, 80, time.Millisecond)
	slices.Sort(got.delays)
	expectNear(t, "even delay", got.delays[len(got.delays)/2], 300_000, 0.1)
	_, duration := test.run(t, Fault{BytesPerSecond: 20_000}, 200, 200, 0)
	expectNear(t, "time of 40,000 bytes", float64(duration), 2e6, 0.1)

	// A datagram of a sender that is no party is not relayed.
	stranger, err := net.DialUDP("udp", nil, receiver)
	must(t, err)
	closeAtEnd(t, stranger)
	write(t, stranger, "who")
	eventually(t, "a foreign datagram's count", func() bool { return mesh.Link(0, 1).Counters().Foreign == 1 })
}
