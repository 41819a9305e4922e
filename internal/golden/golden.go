// Package golden compares the output of a test with a file in testdata. It also computes digests of streams of values, so that a
// change of any value, such as a decision of the code under test, shows as a changed digest.
//
// A digest depends on the values and on the order of struct fields. It does not depend on the names of types and fields, so they
// may be renamed.
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

// Check compares got with testdata/name and fails the test if they differ.
func Check(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatalf("creating the directory of golden files: %v", err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatalf("updating the golden file: %v", err)
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

// Digest computes a digest of a stream of values. It is not safe for concurrent use.
type Digest struct {
	sum  hash.Hash64
	tags map[reflect.Type]uint64 // position of the type in the arguments of NewDigest, from 1
}

// NewDigest returns a digest that accepts values of the given types. It tells the types apart by their position in the list.
func NewDigest(types ...any) *Digest {
	d := &Digest{sum: fnv.New64a(), tags: map[reflect.Type]uint64{}}
	for i, value := range types {
		d.tags[reflect.TypeOf(value)] = uint64(i + 1)
	}
	return d
}

// Add adds a value. It panics if NewDigest was not given a value of the same type.
func (d *Digest) Add(value any) {
	tag, known := d.tags[reflect.TypeOf(value)]
	if !known {
		panic(fmt.Sprintf("golden: type %T was not given to NewDigest", value))
	}
	d.number(tag)
	d.write(reflect.ValueOf(value))
}

// String returns the digest in hexadecimal digits.
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
		panic("golden: cannot digest a value of kind " + kind.String())
	}
}

func (d *Digest) bool(value bool) {
	if value {
		d.number(1)
	} else {
		d.number(0)
	}
}
