package netfault

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// maxQueuedBytes bounds the bytes that wait at the relay in one direction of a connection. At the bound the sender has to wait, as with a
// full TCP window.
const maxQueuedBytes = 1 << 20

// segment is a part of a stream that is being relayed. A nil payload marks the end of the stream.
type segment struct {
	payload   []byte
	deliverAt Micros
}

// direction is one half of a connection: from the client to the server, or back.
type direction struct {
	conn     *relayedConn
	link     *Link
	from, to *net.TCPConn
	segments chan segment
	received func(bytes int, now Micros) // records bytes that were read
	sending  func(bytes int, now Micros) // records bytes that are about to be written
	sent     func(bytes int)             // records bytes that were written
}

func newSegmentQueue() chan segment { return make(chan segment, maxQueuedBytes/maxSegmentBytes) }

// read reads segments from the sender and queues each with the time at which it is to be delivered.
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
			d.conn.reset() // after a reset a sender retransmits nothing, so queued segments are not delivered
		case errors.Is(err, io.EOF):
			d.enqueue(segment{nil, d.link.ScheduleSegment(now, 0, deliverAt)})
		}
		return
	}
}

// enqueue passes a segment to the writer. It returns false if the connection is closed.
func (d *direction) enqueue(s segment) bool {
	select {
	case d.segments <- s:
		return true
	case <-d.conn.closed:
		return false
	}
}

// writerState is the state that write keeps between segments.
type writerState struct {
	hasLostBytes    bool // a black hole has discarded bytes, so the connection cannot continue when the black hole ends
	faultVersion    int
	bytesUntilReset int // bytes left until the fault of faultVersion resets the connection
}

// write delivers each segment when it is due, subject to the fault of the link.
func (d *direction) write() {
	state := writerState{faultVersion: -1}
	var pending *segment
	for {
		fault, version, changed := d.link.Fault()
		if !d.applyFault(fault, version, &state) {
			return
		}
		if pending != nil && !fault.Drop && d.untilDue(*pending) <= 0 {
			if !d.deliver(*pending, fault, &state) {
				return
			}
			pending = nil
			continue
		}
		incoming, due := d.waitChannels(pending, fault)
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

// waitChannels returns the channels on which write waits, besides the channel for a change of the fault. Without a pending segment, write
// waits for the next segment. Otherwise it waits until the pending segment is due. While the link drops everything, the pending segment is
// held and both channels are nil.
func (d *direction) waitChannels(pending *segment, fault Fault) (incoming <-chan segment, due <-chan time.Time) {
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

// applyFault resets the connection and returns false if the fault refuses connections, or if a black hole has discarded bytes and has
// ended. When the fault has changed, applyFault restarts the count of bytes left until a reset.
func (d *direction) applyFault(fault Fault, version int, state *writerState) bool {
	if fault.Refuse || state.hasLostBytes && !fault.Blackhole {
		d.link.recordFaultHit()
		d.conn.reset()
		return false
	}
	if version != state.faultVersion {
		state.faultVersion, state.bytesUntilReset = version, fault.ResetAfterBytes
	}
	return true
}

// deliver writes one segment, or discards it in a black hole. It returns false if the direction has ended.
func (d *direction) deliver(s segment, fault Fault, state *writerState) bool {
	if fault.Blackhole {
		d.link.add(Counters{Dropped: 1})
		d.link.recordFaultHit()
		state.hasLostBytes = true
		return true
	}
	if s.payload == nil {
		_ = d.to.CloseWrite() // fails only if the other side has already closed the connection
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
	d.sending(len(payload), d.conn.relay.now()) // recorded before the write: the receiver may react before the system call returns
	n, err = d.to.Write(payload)
	d.sent(n)
	d.link.add(Counters{Delivered: 1, DeliveredBytes: int64(n)})
	return n, err
}
