package netfault

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// maxQueuedBytes of one direction of a connection wait at the relay at the most; then its sender has to wait, as with a full window.
const maxQueuedBytes = 1 << 20

// segment is a part of a stream that is being relayed; a nil payload is the stream's end.
type segment struct {
	payload   []byte
	deliverAt Micros
}

// direction is one half of a connection.
type direction struct {
	conn     *relayedConn
	link     *Link
	from, to *net.TCPConn
	segments chan segment
	received func(bytes int, now Micros) // records what was read
	sending  func(bytes int, now Micros) // records what is about to be written
	sent     func(bytes int)             // records what was written
}

func newSegmentQueue() chan segment { return make(chan segment, maxQueuedBytes/maxSegmentBytes) }

// read reads what comes, and decides when it is delivered.
func (d *direction) read() {
	defer close(d.segments)
	deliverAt := Micros(0)
	for {
		buffer := make([]byte, d.link.SegmentSize())
		n, err := d.from.Read(buffer)
		now := d.conn.relay.now()
		if n > 0 {
			d.link.add(Counters{Received: 1, ReceivedBytes: int64(n)})
			d.received(n, now)
			deliverAt = d.link.ScheduleSegment(now, n, deliverAt)
			if !d.enqueue(segment{buffer[:n], deliverAt}) {
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.ECONNRESET):
			d.conn.reset() // a sender doesn't retransmit what it has reset: nothing of it is delivered any more
		case errors.Is(err, io.EOF):
			d.enqueue(segment{nil, d.link.ScheduleSegment(now, 0, deliverAt)})
		}
		return
	}
}

// enqueue hands a segment to the writer; false: the connection is closed.
func (d *direction) enqueue(s segment) bool {
	select {
	case d.segments <- s:
		return true
	case <-d.conn.closed:
		return false
	}
}

// writerState is what a writer keeps from segment to segment.
type writerState struct {
	swallowedBytes  bool // in a black hole: the connection can't go on once the fault is over
	faultVersion    int
	bytesUntilReset int // by the fault of this version
}

// write delivers each segment when it is due, as far as the link lets it.
func (d *direction) write() {
	state := writerState{faultVersion: -1}
	var pending *segment
	for {
		fault, version, changed := d.link.Fault()
		if !d.survives(fault, version, &state) {
			return
		}
		if pending != nil && !fault.Drop && d.untilDue(*pending) <= 0 {
			if !d.deliver(*pending, fault, &state) {
				return
			}
			pending = nil
			continue
		}
		incoming, due := d.awaited(pending, fault)
		select {
		case s, isOpen := <-incoming:
			if !isOpen {
				return
			}
			pending = &s
		case <-due:
		case <-changed:
		case <-d.conn.closed:
			return
		}
	}
}

// awaited are what the writer waits for, apart from a change of the fault: the next segment where none is pending, else the time at which
// that is due. A segment that the link drops waits for a change alone.
func (d *direction) awaited(pending *segment, fault Fault) (incoming <-chan segment, due <-chan time.Time) {
	if pending == nil {
		return d.segments, nil
	}
	if fault.Drop {
		d.link.recordFaultHit()
		return nil, nil
	}
	return nil, time.After(d.untilDue(*pending))
}

func (d *direction) untilDue(s segment) time.Duration {
	return time.Duration(s.deliverAt-d.conn.relay.now()) * time.Microsecond
}

// survives resets the connection where a fault refuses it or bytes were swallowed by one that is over, and returns false then. It takes
// over the byte count of a new fault.
func (d *direction) survives(fault Fault, version int, state *writerState) bool {
	if fault.Refuse || state.swallowedBytes && !fault.Blackhole {
		d.link.recordFaultHit()
		d.conn.reset()
		return false
	}
	if version != state.faultVersion {
		state.faultVersion, state.bytesUntilReset = version, fault.ResetAfterBytes
	}
	return true
}

// deliver writes one segment; false ends the direction.
func (d *direction) deliver(s segment, fault Fault, state *writerState) bool {
	if fault.Blackhole {
		d.link.add(Counters{Dropped: 1})
		d.link.recordFaultHit()
		state.swallowedBytes = true
		return true
	}
	if s.payload == nil {
		_ = d.to.CloseWrite() // it fails only where the other side is gone already
		return false
	}
	payload := s.payload
	isReset := fault.ResetAfterBytes > 0 && len(payload) >= state.bytesUntilReset
	if isReset {
		payload = payload[:state.bytesUntilReset]
	}
	n, err := d.writePayload(payload)
	if err != nil {
		d.conn.reset()
		return false
	}
	state.bytesUntilReset -= n
	if isReset {
		d.link.recordFaultHit()
		d.conn.reset()
		return false
	}
	return true
}

func (d *direction) writePayload(payload []byte) (n int, err error) {
	if len(payload) == 0 {
		return 0, nil
	}
	d.sending(len(payload), d.conn.relay.now()) // recorded before: the receiver may act before the system's call returns
	n, err = d.to.Write(payload)
	d.sent(n)
	d.link.add(Counters{Delivered: 1, DeliveredBytes: int64(n)})
	return n, err
}
