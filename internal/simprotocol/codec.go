// Package simprotocol speaks the simulator's binary protocol and turns it into the
// decision module's events and orders. It decides nothing.
package simprotocol

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

const maxFrameLength = 1 << 30 // a length above this is a broken frame, not a batch

var byteOrder = binary.LittleEndian

// position says where in a batch a reader is, in words only when something is wrong there.
type position struct{ index, count, kind int }

func (p position) String() string {
	switch {
	case p.count == 0:
		return "batch header"
	case p.kind < 0:
		return fmt.Sprintf("record %d of %d", p.index, p.count)
	}
	return fmt.Sprintf("record %d, code %d", p.index, p.kind)
}

// reader takes fields off a record; the first shortfall sticks.
type reader struct {
	buf  []byte
	position position
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.buf)) {
		r.err = fmt.Errorf("%s: needs %d more bytes, has %d", r.position, n, len(r.buf))
	}
	if r.err != nil {
		return make([]byte, 8)
	}
	b := r.buf[:n]
	r.buf = r.buf[n:]
	return b
}

func (r *reader) u8() int      { return int(r.take(1)[0]) }
func (r *reader) u16() int     { return int(byteOrder.Uint16(r.take(2))) }
func (r *reader) u32() uint32  { return byteOrder.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return byteOrder.Uint64(r.take(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }
func (r *reader) text(n int) []byte {
	b := r.take(n)
	if r.err != nil {
		return nil
	}
	return b
}

func (r *reader) floats() []float32 {
	n := r.u8()
	out := make([]float32, 0, 4)
	for i := 0; i < n && r.err == nil; i++ {
		out = append(out, float32(r.f32()))
	}
	return out
}

// micros turns the wire's milliseconds into whole microseconds.
func (r *reader) micros(field string) int64 { return r.whole(field, r.f64()) }

func (r *reader) whole(field string, ms float64) int64 {
	if r.err == nil && (math.IsNaN(ms) || math.Abs(ms) > 1e12) {
		r.err = fmt.Errorf("%s: %s is %v, not a time", r.position, field, ms)
	}
	if r.err != nil {
		return 0
	}
	return int64(math.Round(ms * 1000))
}

// writer builds a reply; each record's length is filled in when it is done.
type writer struct{ buf []byte }

func (w *writer) record(code byte, who int, fields func()) {
	w.buf = append(w.buf, code, 0, 0, 0, 0)
	at := len(w.buf)
	w.u16(who)
	if fields != nil {
		fields()
	}
	byteOrder.PutUint32(w.buf[at-4:], uint32(len(w.buf)-at))
}

func (w *writer) u8(v int)      { w.buf = append(w.buf, byte(v)) }
func (w *writer) u16(v int)     { w.buf = byteOrder.AppendUint16(w.buf, uint16(v)) }
func (w *writer) u32(v uint32)  { w.buf = byteOrder.AppendUint32(w.buf, v) }
func (w *writer) u64(v uint64)  { w.buf = byteOrder.AppendUint64(w.buf, v) }
func (w *writer) micros(v int64)    { w.u64(math.Float64bits(float64(v) / 1000)) }
func (w *writer) text(b []byte) { w.u16(len(b)); w.buf = append(w.buf, b...) }

// readFrame returns the body of the next batch, after its length.
func readFrame(in io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header cut short: %w", err)
	}
	n := byteOrder.Uint32(head[:])
	if n < 16 || n > maxFrameLength {
		return nil, fmt.Errorf("batch length %d is not between 16 and %d", n, maxFrameLength)
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, fmt.Errorf("batch of %d bytes cut short: %w", n, err)
	}
	return body, nil
}
