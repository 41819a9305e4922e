// Package netfault holds the relays that stand on the ways between processes, and what may be wrong with a way. What becomes of a
// datagram or of a piece of a stream is decided here without I/O or a clock; the relays carry it out and keep the account.
package netfault

import (
	"math/rand"
	"sync"
)

// Micros are whole microseconds, of the time since a rig's start.
type Micros = int64

// Fault is what is wrong with one direction of a link; its zero value is nothing.
type Fault struct {
	Drop   bool // nothing passes: datagrams are gone, a stream's bytes wait until it is over, as the sender would send them again
	Silent bool // streams: bytes are swallowed and the connection stands; it is reset when the fault is over
	Refuse bool // streams: every connection is reset, new ones at once; datagrams are gone
	Lose   float64
	Slow   Micros // added to each datagram and each piece of a stream
	Spread Micros // Slow is drawn evenly from so much below to so much above
	Rate   int    // bytes a second; 0: no bound
	Reset  int    // streams: a connection is reset after so many more bytes; 0: none is
	Double float64
	Swap   float64 // datagrams that the next one overtakes
}

// Nothing is wrong.
func (f Fault) Nothing() bool { return f == Fault{} }

const (
	// resend is what a lost piece of a stream waits for, twice as long each time, as TCP's least time-out does.
	resend Micros = 200_000
	// resends bounds the waits that one piece meets: 200 ms six times doubled are 12 s.
	resends = 6
	// overtakenWait is the longest that a datagram waits for one that overtakes it.
	overtakenWait Micros = 1_000_000
	// pieceMost is the longest piece of a stream; a bounded rate takes pieces of pieceTime each, so that it is even.
	pieceMost        = 16 << 10
	pieceTime Micros = 20_000
	second    Micros = 1_000_000
	// queuedBytes of one direction of a connection wait at the relay at the most; then its sender has to wait, as with a full window.
	queuedBytes = 1 << 20
)

// Fate is what becomes of one datagram.
type Fate struct {
	Copies  int    // 0: it is gone
	At      Micros // when it is delivered
	Held    bool   // it waits for the next one, or until At
	Release bool   // one that was held goes right behind it
}

// Count is what passed in one direction.
type Count struct{ Came, CameBytes, Went, WentBytes, Gone, Foreign int64 }

// Way is one direction of a link.
type Way struct {
	mu      sync.Mutex
	fault   Fault
	serial  int // of the fault
	chance  *rand.Rand
	free    Micros // when the bound on bytes lets the next one through
	last    Micros // when the datagram before this one is delivered
	holding bool
	changed chan struct{}
	count   Count
	acted   int64 // how often what is wrong made a difference
	idle    bool  // told to do nothing: for the test of who tests
}

// Idle has a way do nothing, whatever is wrong with it.
func (w *Way) Idle() {
	w.mu.Lock()
	w.idle = true
	w.mu.Unlock()
}

// Acted is how often something wrong with this way has made a difference.
func (w *Way) Acted() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acted
}

func (w *Way) act() {
	w.mu.Lock()
	w.acted++
	w.mu.Unlock()
}

// NewWay is one on which nothing is wrong, with its own chance.
func NewWay(seed int64) *Way {
	return &Way{chance: rand.New(rand.NewSource(seed)), changed: make(chan struct{})}
}

// Set puts another fault in force.
func (w *Way) Set(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault = f; w.idle {
		w.fault = Fault{}
	}
	w.serial++
	w.free = 0
	close(w.changed)
	w.changed = make(chan struct{})
}

// Fault is the one in force; changed is closed when another is.
func (w *Way) Fault() (f Fault, serial int, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault, w.serial, w.changed
}

// Count is what passed so far.
func (w *Way) Count() Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

func (w *Way) add(n Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.count
	c.Came, c.CameBytes, c.Went, c.WentBytes = c.Came+n.Came, c.CameBytes+n.CameBytes, c.Went+n.Went, c.WentBytes+n.WentBytes
	c.Gone, c.Foreign = c.Gone+n.Gone, c.Foreign+n.Foreign
}

// delay draws what the way adds, and what the bound on bytes costs.
func (w *Way) delay(now Micros, n int) Micros {
	f := w.fault
	at := now
	if f.Rate > 0 {
		at = max(now, w.free) + int64(n)*second/int64(f.Rate)
		w.free = at
	}
	at += f.Slow
	if f.Spread > 0 {
		at += w.chance.Int63n(2*f.Spread+1) - f.Spread
	}
	if at > now {
		w.acted++
	}
	return max(now, at)
}

// Datagram decides on one of n bytes. Those that pass keep their order but where Swap says otherwise.
func (w *Way) Datagram(now Micros, n int) Fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fault
	if f.Drop || f.Refuse || f.Silent || f.Lose > 0 && w.chance.Float64() < f.Lose {
		w.acted++
		return Fate{}
	}
	d := Fate{Copies: 1, At: max(w.delay(now, n), w.last)}
	if f.Double > 0 && w.chance.Float64() < f.Double {
		d.Copies = 2
		w.acted++
	}
	switch {
	case w.holding:
		w.holding, d.Release = false, true
	case f.Swap > 0 && w.chance.Float64() < f.Swap/(1-f.Swap): // one that overtakes is not drawn for: the share of all stays Swap
		w.holding, d.Held, d.At = true, true, d.At+overtakenWait
		w.acted++
		return d
	}
	w.last = d.At
	return d
}

// Released tells that a held one has waited long enough.
func (w *Way) Released() {
	w.mu.Lock()
	w.holding = false
	w.mu.Unlock()
}

// Piece decides when n bytes of a stream may be delivered; a stream keeps its order, so not before the piece ahead of it.
func (w *Way) Piece(now Micros, n int, ahead Micros) Micros {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.delay(now, n)
	wait := resend
	for i := 0; i < resends && w.fault.Lose > 0 && w.chance.Float64() < w.fault.Lose; i++ {
		at += wait
		wait *= 2
		w.acted++
	}
	return max(at, ahead)
}

// PieceMost is how much of a stream is to be taken at a time.
func (w *Way) PieceMost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Rate == 0 {
		return pieceMost
	}
	return int(min(pieceMost, max(1, int64(w.fault.Rate)*pieceTime/second)))
}
