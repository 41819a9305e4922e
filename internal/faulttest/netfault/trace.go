package netfault

import (
	"errors"
	"sort"
	"sync"
)

// maxProgressEntries bounds the trace of one direction of one connection. No scenario needs more.
const maxProgressEntries = 1 << 18

// ErrTraceFull means that a trace was full before its connection ended, so it is unknown when later bytes passed.
var ErrTraceFull = errors.New("a connection's trace is full")

// Progress is the number of bytes, counted from the start of the connection, that had passed at the time At.
type Progress struct {
	Bytes int64
	At    Micros
}

// ServerSide is what a relay counted on the server's side of a connection.
type ServerSide struct {
	Delivered int64 // bytes written to the server
	Received  int64 // bytes read from the server
	HasEnded  bool
	WasReset  bool // by either side or by the relay; the server may not have read everything
}

// Trace records the progress of one connection through a relay. Only the relay writes to it. Any goroutine may read it.
type Trace struct {
	Party  int    // the party that opened the connection
	Opened Micros // when the relay accepted the client's connection

	mu         sync.Mutex
	serverPort int // the relay's port, which the server sees as the remote port; 0: the server has not been dialled
	fromClient []Progress
	toClient   []Progress
	serverSide ServerSide
	isFull     bool
}

// appendProgress records that more bytes have passed. The parameter direction points to fromClient or toClient of this trace.
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

// firstReached returns the time at which this many bytes had passed, or -1 if fewer have passed.
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

// SentAt returns when the client had sent this many bytes, or -1 if it has sent fewer.
func (t *Trace) SentAt(bytes int64) Micros { return t.firstReached(&t.fromClient, bytes) }

// DeliveredAt returns when this many bytes had been delivered to the client, or -1 if fewer have been.
func (t *Trace) DeliveredAt(bytes int64) Micros { return t.firstReached(&t.toClient, bytes) }

// ServerSide returns what the relay has counted on the server's side so far.
func (t *Trace) ServerSide() ServerSide {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverSide
}

// ServerPort returns the relay's port as the server sees it, or 0 if the relay has not reached the server.
func (t *Trace) ServerPort() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverPort
}

// IsFull reports whether the trace is incomplete because it has reached its maximum length.
func (t *Trace) IsFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFull
}
