package simprotocol

import (
	"fmt"
	"math"

	"switchfork/internal/policy"
)

const (
	microsPerMilli = 1000
	maxMillis      = 1e12 // greatest absolute value of a time, in milliseconds; about 31 years
	maxFieldBytes  = 8    // length of the longest fixed-length field
	kindUnknown    = -1   // position.kind while the record's kind has not been read yet
)

// position identifies a record in a batch for error messages. It is formatted only if there is an error.
type position struct{ index, count, kind int }

func (p position) String() string {
	switch {
	case p.count == 0:
		return "batch header"
	case p.kind == kindUnknown:
		return fmt.Sprintf("record %d of %d", p.index, p.count)
	}
	return fmt.Sprintf("record %d, code %d", p.index, p.kind)
}

// reader decodes fields in sequence. It keeps the first error, after which all reads return zero values.
type reader struct {
	buf      []byte
	position position
	err      error
}

// fail records an error at the reader's position, unless the reader already has an error.
func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", r.position, fmt.Sprintf(format, args...))
	}
}

// take returns the next length bytes. After an error it returns maxFieldBytes zeros, enough for any fixed-length field.
func (r *reader) take(length int) []byte {
	if length < 0 || length > len(r.buf) {
		r.fail("needs %d more bytes, has %d", length, len(r.buf))
	}
	if r.err != nil {
		return make([]byte, maxFieldBytes)
	}
	field := r.buf[:length]
	r.buf = r.buf[length:]
	return field
}

func (r *reader) u8() int      { return int(r.take(1)[0]) }
func (r *reader) u16() int     { return int(byteOrder.Uint16(r.take(2))) }
func (r *reader) u32() uint32  { return byteOrder.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return byteOrder.Uint64(r.take(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }

// bytes returns the next length bytes without copying them, or nil after an error.
func (r *reader) bytes(length int) []byte {
	field := r.take(length)
	if r.err != nil {
		return nil
	}
	return field
}

// floats reads a list of 32-bit floats. A byte before the list holds the number of floats.
func (r *reader) floats() []float32 {
	count := r.u8()
	values := make([]float32, 0, 4)
	for i := 0; i < count && r.err == nil; i++ {
		values = append(values, float32(r.f32()))
	}
	return values
}

// micros reads a time in milliseconds and returns it in whole microseconds. field is the protocol's name of the
// field, used in error messages.
func (r *reader) micros(field string) policy.Micros {
	millis := r.f64()
	if math.IsNaN(millis) || math.Abs(millis) > maxMillis {
		r.fail("%s is %v, want a time from -1e12 to 1e12 ms", field, millis)
	}
	if r.err != nil {
		return 0
	}
	return policy.Micros(math.Round(millis * microsPerMilli))
}

func (r *reader) outcome() policy.Outcome {
	code := r.u16()
	outcome, ok := outcomesByCode[code]
	if !ok {
		r.fail("unknown outcome code %d", code)
	}
	return outcome
}
