package netfault

import (
	"errors"
	"sync"
)

// Pass is when so many bytes, counted from the connection's start, had come by.
type Pass struct {
	Bytes int64
	At    Micros
}

// Trace is what a relay saw of one connection. Only its own relay writes to it.
type Trace struct {
	From   int    // who opened it, by the number of the relay's party
	port   int    // of the relay on its far side: the far end sees it as the remote port; 0: there is none
	Opened Micros // when the near side's connection came
	mu     sync.Mutex
	up     []Pass // came from who opened it
	down   []Pass // went to who opened it
	toFar  int64  // bytes delivered to the far end
	ofFar  int64  // bytes that came from the far end
	broken bool   // reset by either side or by the relay: the far end may not have read all
	over   bool
	full   bool
}

// passesMost bounds the trace of one direction of one connection; a night has no use for more.
const passesMost = 1 << 18

// ErrTrace is a trace that ends before its connection: nothing can be said of what came later.
var ErrTrace = errors.New("a connection's trace is full")

func (t *Trace) note(of *[]Pass, n int, now Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(*of) >= passesMost {
		t.full = true
		return
	}
	last := int64(0)
	if k := len(*of); k > 0 {
		last = (*of)[k-1].Bytes
	}
	*of = append(*of, Pass{last + int64(n), now})
}

// when is the first time at which so many bytes had passed; -1: they never had.
func (t *Trace) when(of *[]Pass, bytes int64) Micros {
	t.mu.Lock()
	defer t.mu.Unlock()
	lo, hi := 0, len(*of)
	for lo < hi {
		if m := (lo + hi) / 2; (*of)[m].Bytes >= bytes {
			hi = m
		} else {
			lo = m + 1
		}
	}
	if lo == len(*of) {
		return -1
	}
	return (*of)[lo].At
}

// Sent is when who opened the connection had sent so many bytes; Told is when so many had been handed to it.
func (t *Trace) Sent(bytes int64) Micros { return t.when(&t.up, bytes) }
func (t *Trace) Told(bytes int64) Micros { return t.when(&t.down, bytes) }

// Far is what the relay counted on its far side, and whether the connection is over and ended without a reset.
func (t *Trace) Far() (delivered, came int64, over, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.toFar, t.ofFar, t.over, !t.broken
}

// FarPort is the relay's port on its far side, as the far end sees it; 0 where the connection never got there.
func (t *Trace) FarPort() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.port
}

// Full tells that the trace had no room for all.
func (t *Trace) Full() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.full
}
