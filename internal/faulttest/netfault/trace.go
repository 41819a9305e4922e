package netfault

import (
	"errors"
	"sort"
	"sync"
)

// maxProgressEntries bounds the trace of one direction of one connection; a scenario has no use for more.
const maxProgressEntries = 1 << 18

// ErrTraceFull is a trace that ends before its connection: nothing can be said of what came later.
var ErrTraceFull = errors.New("a connection's trace is full")

// Progress is when so many bytes, counted from the connection's start, had passed.
type Progress struct {
	Bytes int64
	At    Micros
}

// ServerSide is what a relay counted on the server's side of a connection.
type ServerSide struct {
	Delivered int64 // bytes written to the server
	Received  int64 // bytes read from the server
	HasEnded  bool
	WasReset  bool // by either side or by the relay: the server may not have read all
}

// Trace is what a relay saw of one connection. Only its own relay writes to it; it may be read from any goroutine.
type Trace struct {
	Party  int    // who opened the connection
	Opened Micros // when the client's connection came

	mu         sync.Mutex
	serverPort int // the relay's own port, which the server sees as the remote port; 0: there is none yet
	fromClient []Progress
	toClient   []Progress
	serverSide ServerSide
	isFull     bool
}

// appendProgress records that some more bytes have passed. The direction is one of the trace's own.
func (t *Trace) appendProgress(direction *[]Progress, bytes int, now Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(*direction) >= maxProgressEntries {
		t.isFull = true
		return
	}
	total := int64(bytes)
	if n := len(*direction); n > 0 {
		total += (*direction)[n-1].Bytes
	}
	*direction = append(*direction, Progress{total, now})
}

// firstReached is the first time at which so many bytes had passed; -1: they never had.
func (t *Trace) firstReached(direction *[]Progress, bytes int64) Micros {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := *direction
	i := sort.Search(len(entries), func(i int) bool { return entries[i].Bytes >= bytes })
	if i == len(entries) {
		return -1
	}
	return entries[i].At
}

func (t *Trace) updateServerSide(update func(*ServerSide)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.serverSide)
}

func (t *Trace) setServerPort(port int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverPort = port
}

// SentAt is when the client had sent so many bytes; -1: it never had.
func (t *Trace) SentAt(bytes int64) Micros { return t.firstReached(&t.fromClient, bytes) }

// DeliveredAt is when so many bytes had been handed to the client; -1: they never had.
func (t *Trace) DeliveredAt(bytes int64) Micros { return t.firstReached(&t.toClient, bytes) }

// ServerSide is what the relay counted on the server's side so far.
func (t *Trace) ServerSide() ServerSide {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverSide
}

// ServerPort is the relay's port as the server sees it; 0 where the connection never got there.
func (t *Trace) ServerPort() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverPort
}

// IsFull tells that the trace had no room for all.
func (t *Trace) IsFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFull
}
