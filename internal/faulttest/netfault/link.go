package netfault

import (
	"math/rand"
	"sync"
)

const (
	// initialRetransmitDelay is what a lost segment waits for, twice as long each time, as TCP's least retransmission timeout does.
	initialRetransmitDelay Micros = 200_000
	// maxRetransmits bounds the waits of one segment: 200 ms six times doubled are 12 s.
	maxRetransmits = 6
	// maxReorderWait is the longest that a datagram waits for one that overtakes it.
	maxReorderWait Micros = 1_000_000
	// maxSegmentBytes is the longest segment of a stream.
	maxSegmentBytes = 16 << 10
	// segmentDuration is what a segment takes at a bounded rate: short, so that the rate is even.
	segmentDuration Micros = 20_000
)

// Delivery is what becomes of one datagram.
type Delivery struct {
	Copies        int // 0: it is lost
	DeliverAt     Micros
	AwaitsReorder bool // it waits for the next one to overtake it, or until DeliverAt
	Overtakes     bool // the one that waits goes right behind it
}

// Link is one direction between two parties.
type Link struct {
	mu              sync.Mutex
	fault           Fault
	faultVersion    int           // counts the faults that were set
	faultChanged    chan struct{} // closed when another fault is set
	random          *rand.Rand
	bandwidthFreeAt Micros // when the bound on bytes lets the next ones through
	lastDeliveryAt  Micros // of the datagram before
	hasWaiting      bool   // a datagram waits to be overtaken
	counters        Counters
	faultHits       int64
	ignoresFaults   bool
}

// NewLink is a link without a fault; the seed is that of its random draws.
func NewLink(seed int64) *Link {
	return &Link{random: rand.New(rand.NewSource(seed)), faultChanged: make(chan struct{})}
}

// IgnoreFaults has the link apply none of the faults that are set from now on, to prove that a scenario notices it.
func (l *Link) IgnoreFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignoresFaults = true
}

// FaultHits is how often a fault of this link has made a difference.
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

// Fault is the fault in force and its version; changed is closed when another is set.
func (l *Link) Fault() (f Fault, version int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.faultVersion, l.faultChanged
}

// Counters are what passed so far.
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

// deliveryTime draws the delay of some bytes, and adds what the bound on bytes costs. The caller holds the mutex.
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

// draw tells whether something of this probability happens; nothing is drawn where it can't.
func (l *Link) draw(probability float64) bool {
	return probability > 0 && l.random.Float64() < probability
}

// ScheduleDatagram decides on a datagram. Those that pass keep their order, except where ReorderRate says otherwise.
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
	case l.draw(f.ReorderRate / (1 - f.ReorderRate)): // nothing is drawn for the one that overtakes: of all, ReorderRate wait
		l.hasWaiting, d.AwaitsReorder = true, true
		d.DeliverAt += maxReorderWait
		l.faultHits++
		return d
	}
	l.lastDeliveryAt = d.DeliverAt
	return d
}

// EndReorderWait tells the link that its waiting datagram has waited long enough.
func (l *Link) EndReorderWait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasWaiting = false
}

// ScheduleSegment decides when a segment of a stream may be delivered: not before the segment ahead of it, since a stream keeps its
// order.
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

// SegmentSize is how much of a stream is to be read at a time.
func (l *Link) SegmentSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.BytesPerSecond == 0 {
		return maxSegmentBytes
	}
	atRate := int64(l.fault.BytesPerSecond) * segmentDuration / microsPerSecond
	return int(min(maxSegmentBytes, max(1, atRate)))
}
