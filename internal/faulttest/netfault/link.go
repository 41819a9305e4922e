package netfault

import (
	"math/rand"
	"sync"
)

const (
	// initialRetransmitDelay is the delay of a segment that is lost once, like TCP's minimum retransmission timeout. Each further loss
	// doubles the delay.
	initialRetransmitDelay Micros = 200_000
	// maxRetransmits bounds the losses of one segment: six delays, doubled from 200 ms on, add up to 12.6 s.
	maxRetransmits = 6
	// maxReorderWait is the longest time that a datagram waits to be overtaken.
	maxReorderWait Micros = 1_000_000
	// maxSegmentBytes is the length of the longest segment of a stream.
	maxSegmentBytes = 16 << 10
	// segmentDuration is the transfer time of a segment under a rate limit. It is short so that the rate is even.
	segmentDuration Micros = 20_000
)

// Delivery is a link's decision on one datagram.
type Delivery struct {
	Copies        int // 0: the datagram is lost
	DeliverAt     Micros
	AwaitsReorder bool // the datagram waits for the next one to overtake it, at most until DeliverAt
	Overtakes     bool // the datagram that waits is delivered directly after this one
}

// Link is one direction between two processes. It decides when the datagrams and stream segments in this direction are delivered, and counts
// them.
type Link struct {
	mu              sync.Mutex
	fault           Fault
	faultVersion    int           // number of calls of SetFault
	faultChanged    chan struct{} // closed by the next call of SetFault
	random          *rand.Rand
	bandwidthFreeAt Micros // time at which the rate limit lets the next bytes pass
	lastDeliveryAt  Micros // delivery time of the previous datagram, leaving out lost ones and those that wait to be overtaken
	hasWaiting      bool   // a datagram is waiting to be overtaken
	counters        Counters
	faultHits       int64
	ignoresFaults   bool
}

// NewLink returns a link without a fault. Its random draws depend on the seed alone.
func NewLink(seed int64) *Link {
	return &Link{random: rand.New(rand.NewSource(seed)), faultChanged: make(chan struct{})}
}

// IgnoreFaults makes the link ignore all faults that are set from now on. A test uses it to prove that a run fails if the faults of its
// scenario have no effect.
func (l *Link) IgnoreFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignoresFaults = true
}

// FaultHits returns how often a fault of this link has had an effect.
func (l *Link) FaultHits() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultHits
}

func (l *Link) recordFaultHit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultHits++
}

// SetFault replaces the fault.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if l.ignoresFaults {
		l.fault = Fault{}
	}
	l.faultVersion++
	l.bandwidthFreeAt = 0
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
}

// Fault returns the current fault and its version. The channel changed is closed when another fault is set.
func (l *Link) Fault() (f Fault, version int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.faultVersion, l.faultChanged
}

// Counters returns the counters so far.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

func (l *Link) add(n Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.add(n)
}

// deliveryTime returns when bytes that arrive now are delivered, after the random delay and the wait for the rate limit. The caller
// holds the mutex.
func (l *Link) deliveryTime(now Micros, bytes int) Micros {
	at := now
	if l.fault.BytesPerSecond > 0 {
		at = max(now, l.bandwidthFreeAt) + int64(bytes)*microsPerSecond/int64(l.fault.BytesPerSecond)
		l.bandwidthFreeAt = at
	}
	at += l.fault.Delay
	if l.fault.Jitter > 0 {
		at += l.random.Int63n(2*l.fault.Jitter+1) - l.fault.Jitter
	}
	if at > now {
		l.faultHits++
	}
	return max(now, at)
}

// draw returns true with this probability. For the probability 0, it consumes no random number.
func (l *Link) draw(probability float64) bool {
	return probability > 0 && l.random.Float64() < probability
}

// ScheduleDatagram decides on a datagram that arrives now. Datagrams that pass keep their order, except those that ReorderRate affects.
func (l *Link) ScheduleDatagram(now Micros, bytes int) Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fault
	if f.Drop || f.Refuse || f.Blackhole || l.draw(f.LossRate) {
		l.faultHits++
		return Delivery{}
	}
	d := Delivery{Copies: 1, DeliverAt: max(l.deliveryTime(now, bytes), l.lastDeliveryAt)}
	if l.draw(f.DuplicateRate) {
		d.Copies = 2
		l.faultHits++
	}
	switch {
	case l.hasWaiting:
		l.hasWaiting, d.Overtakes = false, true
	case l.draw(f.ReorderRate / (1 - f.ReorderRate)): // there is no draw for a datagram that overtakes; the quotient compensates for that, so that ReorderRate is the share of all datagrams that wait
		l.hasWaiting, d.AwaitsReorder = true, true
		d.DeliverAt += maxReorderWait
		l.faultHits++
		return d
	}
	l.lastDeliveryAt = d.DeliverAt
	return d
}

// EndReorderWait tells the link that its waiting datagram is delivered now without having been overtaken.
func (l *Link) EndReorderWait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasWaiting = false
}

// ScheduleSegment returns when a segment of a stream that arrives now is to be delivered. A stream keeps its order, so this time is
// never earlier than ahead, which is the delivery time of the previous segment.
func (l *Link) ScheduleSegment(now Micros, bytes int, ahead Micros) Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.deliveryTime(now, bytes)
	delay := initialRetransmitDelay
	for i := 0; i < maxRetransmits && l.draw(l.fault.LossRate); i++ {
		at += delay
		delay *= 2
		l.faultHits++
	}
	return max(at, ahead)
}

// SegmentSize returns how many bytes of a stream are to be read at a time.
func (l *Link) SegmentSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.BytesPerSecond == 0 {
		return maxSegmentBytes
	}
	atRate := int64(l.fault.BytesPerSecond) * segmentDuration / microsPerSecond
	return int(min(maxSegmentBytes, max(1, atRate)))
}
