package proxy

import (
	"errors"
	"fmt"
	"net/http"

	"switchfork/internal/connlimit"
	"switchfork/internal/ratelog"

	"golang.org/x/sys/unix"
)

// ClientConnBytes is what a connection to a client costs in memory, besides the request that it carries: two goroutines, net/http's buffers
// and the read-ahead buffer.
const ClientConnBytes = 24 << 10

// What a request costs in memory while it is open, beyond its connection. The agent keeps a head as text, as net/http's header, as a copy of
// that for the endpoint and as encoded for the endpoint; and a body as read and as written to an endpoint.
const (
	headByteCost = 5   // bytes for each byte of a head
	fieldCost    = 320 // bytes for each line of a head
	bodyByteCost = 2   // bytes for each byte of a body

	// responseAllowanceBytes is reserved for the body of each response before the request is sent. More is reserved when the length of the
	// response is known.
	responseAllowanceBytes = 16 << 10
)

// outOfMemoryResponse rejects a request whose head is too large for the memory that is left. It is written before the head has been read.
var outOfMemoryResponse = []byte(fmt.Sprintf("HTTP/1.1 %d Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
	http.StatusServiceUnavailable, plainText, len(rejectedBody), rejectedBody))

// errOutOfMemory reports that there is not enough memory for a request. Nothing of the request is forwarded.
var errOutOfMemory = errors.New("no memory left for the request")

// headMeter counts the lines and bytes of a request's head as they arrive.
type headMeter struct {
	lines      int
	bytes      int
	lineLength int
	isComplete bool // the empty line that ends the head has arrived
}

// add counts bytes up to the end of the head.
func (m *headMeter) add(arrived []byte) {
	for _, c := range arrived {
		if m.isComplete {
			return
		}
		m.bytes++
		switch c {
		case '\n':
			m.isComplete = m.lineLength == 0 && m.lines > 0
			m.lines++
			m.lineLength = 0
		case '\r':
		default:
			m.lineLength++
		}
	}
}

// cost returns the memory that the counted head takes.
func (m *headMeter) cost() int64 { return headCost(m.lines, m.bytes) }

func headCost(lines, bytes int) int64 { return int64(lines*fieldCost + bytes*headByteCost) }

// requestCost returns the memory that a request takes whose head has been read.
func requestCost(r *http.Request) int64 {
	lines, bytes := 1, len(r.Method)+len(r.RequestURI)+len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			lines++
			bytes += len(name) + len(value)
		}
	}
	return headCost(lines, bytes) + bodyByteCost*max(0, r.ContentLength) + responseAllowanceBytes
}

// reserveHead reserves the memory for a head of which bytes have been read, and reports whether there was enough. The lock is held.
func (c *clientConn) reserveHead(arrived []byte) bool {
	if c.state != stateReading || c.isHeadRead {
		return true
	}
	c.head.add(arrived)
	return c.memory.RaiseTo(c.head.cost())
}

// rejectHead writes the response to a request that is rejected before its head has been read, and ends the connection's input as a timeout
// does: net/http then writes no response of its own. The lock is held, so the write must not wait for the client.
func (c *clientConn) rejectHead(fd int) {
	logOutOfMemory("head", c.head.cost(), c.listener.memory)
	c.hasWritten = true
	c.timedOut = true
	_, _ = unix.Write(fd, outOfMemoryResponse) // fails if the client has left, or has not read its earlier responses
}

// reserveRequest reserves the memory for a request whose head has been read. It returns an error if there is not enough.
func (p *Proxy) reserveRequest(r *http.Request) error {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return nil
	}
	cost := requestCost(r)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.memory.RaiseTo(cost) {
		return nil
	}
	logOutOfMemory("request", cost, p.listener.memory)
	return errOutOfMemory
}

// requestMemory is the memory of a request that is forwarded. It stays reserved while the event loop has the request, even if its client leaves.
type requestMemory struct {
	reservation *connlimit.Reservation
	cost        int64 // of the request and of responseAllowanceBytes
}

// holdMemory keeps the memory reserved of the request that a connection carries, until release is called.
func holdMemory(r *http.Request) *requestMemory {
	conn, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return nil
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.memory.Hold()
	return &requestMemory{conn.memory, requestCost(r)}
}

// reserveResponse reserves memory for a response's body, and reports whether there was enough.
func (m *requestMemory) reserveResponse(bodyBytes int64) bool {
	if m == nil {
		return true
	}
	cost := m.cost - responseAllowanceBytes + bodyBytes
	if m.reservation.RaiseToFinish(cost) {
		return true
	}
	logOutOfMemory("response", cost, m.reservation.Budget())
	return false
}

func (m *requestMemory) release() {
	if m != nil {
		m.reservation.Release()
	}
}

// releaseMemory ends the connection's hold on the memory of its request. The lock is held.
func (c *clientConn) releaseMemory() {
	if c.memory != nil {
		c.memory.Release()
		c.memory = nil
	}
}

func logOutOfMemory(part string, bytes int64, budget *connlimit.MemoryBudget) {
	ratelog.Warn("request memory "+part, "no memory left for a request", "part", part, "bytes", bytes, "in_use", budget.InUse())
}
