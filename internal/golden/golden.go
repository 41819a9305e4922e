// Package golden compares what a test produced with a file of testdata, and digests streams of values so that a change of a
// decision shows as another number.
//
// A digest depends on values alone. Names of types and fields do not count, so that code can be renamed under it; the order of
// the fields does.
package golden

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// updateVariable names the environment variable that, when set, rewrites the golden files instead of comparing with them.
const updateVariable = "SWITCHFORK_UPDATE_GOLDEN"

// Check compares got with testdata/name and fails the test where they differ.
func Check(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatalf("making the directory of golden files: %v", err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatalf("updating a golden file: %v", err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the golden file (%s=1 writes it): %v", updateVariable, err)
	}
	if string(want) != got {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// Digest sums up a stream of values. It is not safe for concurrent use.
type Digest struct {
	sum  hash.Hash64
	tags map[reflect.Type]uint64
}

// NewDigest makes a digest that tells the given values' types apart, by their order. Any other type fails the stream.
func NewDigest(types ...any) *Digest {
	d := &Digest{sum: fnv.New64a(), tags: map[reflect.Type]uint64{}}
	for i, value := range types {
		d.tags[reflect.TypeOf(value)] = uint64(i + 1)
	}
	return d
}

// Add adds a value of one of the types that NewDigest was given.
func (d *Digest) Add(value any) {
	tag, known := d.tags[reflect.TypeOf(value)]
	if !known {
		panic(fmt.Sprintf("golden: a value of type %T, which NewDigest was not given", value))
	}
	d.number(tag)
	d.write(reflect.ValueOf(value))
}

// String returns the sum in hexadecimal digits.
func (d *Digest) String() string { return fmt.Sprintf("%016x", d.sum.Sum64()) }

func (d *Digest) number(n uint64) {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], n)
	d.sum.Write(raw[:])
}

func (d *Digest) write(v reflect.Value) {
	kind := v.Kind()
	switch {
	case kind == reflect.Bool:
		d.bool(v.Bool())
	case v.CanInt():
		d.number(uint64(v.Int()))
	case v.CanUint():
		d.number(v.Uint())
	case v.CanFloat():
		d.number(math.Float64bits(v.Float()))
	case kind == reflect.String:
		d.number(uint64(v.Len()))
		d.sum.Write([]byte(v.String()))
	case kind == reflect.Slice || kind == reflect.Array:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			d.write(v.Index(i))
		}
	case kind == reflect.Struct:
		for i := range v.NumField() {
			d.write(v.Field(i))
		}
	default:
		panic("golden: no digest of a value of kind " + kind.String())
	}
}

func (d *Digest) bool(value bool) {
	if value {
		d.number(1)
	} else {
		d.number(0)
	}
}
