package netfault

import (
	"encoding/binary"
	"net"
	"slices"
	"testing"
	"time"
)

// Datagrams of these lengths are signals to the receiver and carry no sequence number.
const (
	endLength   = 1 // marks the last datagram
	flushLength = 2 // overtakes a datagram that still waits, so that the waiting one is delivered
)

// datagramTest sends numbered datagrams from one party to the other and records what arrives.
type datagramTest struct {
	mesh     *Mesh
	sockets  [2]*net.UDPConn
	now      Clock
	receiver *net.UDPAddr // address at which the sender reaches the receiver
	sender   string       // address at which the receiver reaches the sender
}

// arrivals holds the numbered datagrams that the receiver got.
type arrivals struct {
	numbers []int
	delays  []float64 // delay of each datagram in microseconds
}

// run sends datagrams under a fault. It returns what arrived, and the time from the first datagram sent to the last one received.
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
		if (i+1)%100 == 0 || i+1 == count { // the operating system's socket queues are short
			eventually(t, "all sent datagrams to arrive at the relay", func() bool { return link.Counters().Received-before.Received == int64(i+1) })
		}
	}
	link.SetFault(Fault{})
	d.send(t, make([]byte, flushLength))
	d.send(t, make([]byte, endLength))
	<-received
	duration = d.now() - start
	if want := link.Counters().Delivered - before.Delivered - 2; int64(len(got.numbers)) != want {
		t.Errorf("%d datagrams arrived, want %d as counted by the relay", len(got.numbers), want)
	}
	return got, duration
}

func (d *datagramTest) send(t *testing.T, payload []byte) {
	t.Helper()
	_, err := d.sockets[0].WriteToUDP(payload, d.receiver)
	must(t, err)
}

// receive reads until the last datagram, or until the socket is closed.
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
			t.Errorf("datagram from %v, want %s", from, d.sender)
		}
		got.numbers = append(got.numbers, int(binary.BigEndian.Uint32(buffer)))
		got.delays = append(got.delays, float64(d.now()-int64(binary.BigEndian.Uint64(buffer[4:]))))
	}
}

// Real datagrams show each configured fault at the receiver: loss, duplicates, reordering, delay and rate limit.
func TestDatagramFaults(t *testing.T) {
	now := newTestClock()
	mesh, sockets := newTestMesh(t, now)
	receiver, err := net.ResolveUDPAddr("udp", mesh.Address(0, 1))
	must(t, err)
	test := &datagramTest{mesh: mesh, sockets: sockets, now: now, receiver: receiver, sender: mesh.Address(1, 0)}

	got, _ := test.run(t, Fault{}, 2000, 80, 0)
	if len(got.numbers) != 2000 || !slices.IsSorted(got.numbers) {
		t.Errorf("without a fault %d datagrams arrived, in order: %t; want 2000 in order", len(got.numbers), slices.IsSorted(got.numbers))
	}
	got, _ = test.run(t, Fault{LossRate: 0.3}, 5000, 80, 0)
	expectNear(t, "share of lost datagrams", 1-float64(len(got.numbers))/5000, 0.3, 0.1)
	got, _ = test.run(t, Fault{DuplicateRate: 0.3}, 5000, 80, 0)
	expectNear(t, "share of duplicated datagrams", float64(len(got.numbers))/5000-1, 0.3, 0.1)
	got, _ = test.run(t, Fault{ReorderRate: 0.2}, 5000, 80, 0)
	reordered := 0
	for i := 1; i < len(got.numbers); i++ {
		if got.numbers[i] < got.numbers[i-1] {
			reordered++
		}
	}
	expectNear(t, "share of reordered datagrams", float64(reordered)/5000, 0.2, 0.1)
	got, _ = test.run(t, Fault{Delay: 300_000, Jitter: 50_000}, 100, 80, 5*time.Millisecond)
	slices.Sort(got.delays)
	expectNear(t, "median delay in us with jitter", got.delays[len(got.delays)/2], 300_000, 0.2) // to keep the order, a datagram may wait for the previous one, which raises the median by at most the jitter
	if len(got.numbers) != 100 || got.delays[0] < 250_000 {
		t.Errorf("%d datagrams arrived with a shortest delay of %.0f us, want 100 with at least 250,000 us", len(got.numbers), got.delays[0])
	}
	got, _ = test.run(t, Fault{Delay: 300_000}, 50, 80, time.Millisecond)
	slices.Sort(got.delays)
	expectNear(t, "median delay in us without jitter", got.delays[len(got.delays)/2], 300_000, 0.1)
	_, duration := test.run(t, Fault{BytesPerSecond: 20_000}, 200, 200, 0)
	expectNear(t, "transfer time of 40,000 bytes in us", float64(duration), 2e6, 0.1)

	// A datagram from a sender that is not a party is not relayed.
	stranger, err := net.DialUDP("udp", nil, receiver)
	must(t, err)
	closeAtEnd(t, stranger)
	write(t, stranger, "who")
	eventually(t, "a foreign datagram to be counted", func() bool { return mesh.Link(0, 1).Counters().Foreign == 1 })
}
