package simprotocol

import (
	"math"

	"switchfork/internal/policy"
)

const (
	recordLengthBytes = 4
	initialReplyBytes = 256
)

// writer encodes a frame of records.
type writer struct{ buf []byte }

// newFrameWriter returns a writer that reserves space for the frame's length. The frame method fills the length in.
func newFrameWriter() *writer {
	return &writer{buf: make([]byte, frameHeaderBytes, initialReplyBytes)}
}

func (w *writer) frame() []byte {
	byteOrder.PutUint32(w.buf, uint32(len(w.buf)))
	return w.buf
}

// record writes one record of an instance. It fills in the record's length after writeFields has written the fields.
func (w *writer) record(kind commandKind, instance int, writeFields func()) {
	w.buf = append(w.buf, byte(kind), 0, 0, 0, 0)
	start := len(w.buf)
	w.u16(instance)
	writeFields()
	byteOrder.PutUint32(w.buf[start-recordLengthBytes:], uint32(len(w.buf)-start))
}

func (w *writer) u8(v int)     { w.buf = append(w.buf, byte(v)) }
func (w *writer) u16(v int)    { w.buf = byteOrder.AppendUint16(w.buf, uint16(v)) }
func (w *writer) u32(v uint32) { w.buf = byteOrder.AppendUint32(w.buf, v) }
func (w *writer) u64(v uint64) { w.buf = byteOrder.AppendUint64(w.buf, v) }

// micros writes a time in microseconds as milliseconds.
func (w *writer) micros(v policy.Micros) {
	w.u64(math.Float64bits(float64(v) / microsPerMilli))
}

// bytes writes the length of v as a 16-bit number, followed by v.
func (w *writer) bytes(v []byte) {
	w.u16(len(v))
	w.buf = append(w.buf, v...)
}
