// Package hashring holds the points of one build's appliances on a circle of 64-bit hashes, and finds the owners of the next
// points clockwise from a spot. It owns the points; it must never know why an appliance may or may not be taken.
//
// The points lie in buckets by their highest bits, so that a look-up takes a bucket and not a search of all, and a change of
// one appliance touches its own points' buckets only. Use: one Ring a build, from one goroutine; no I/O, no clock.
package hashring

import (
	"math"
	"math/bits"
	"slices"
)

// Point is a place on the circle, and whose it is: 16 bytes with the alignment.
type Point struct {
	Hash  uint64
	Owner uint32
}

// Ring is a circle of points.
type Ring struct {
	buckets [][]Point // each sorted by hash, then owner
	shift   uint      // of a hash to its bucket
	points  int
}

const (
	// fill is the mean number of points in a bucket: a few, so that one cache line or two hold it; over fillMost there are
	// twice as many buckets, under fillLeast half.
	fill, fillMost, fillLeast = 4, 8, 1
	firstBuckets              = 16
)

// New makes a circle without points.
func New() *Ring {
	return &Ring{buckets: make([][]Point, firstBuckets), shift: 64 - uint(bits.Len(firstBuckets-1))}
}

// Points is how many there are.
func (r *Ring) Points() int { return r.points }

func order(a, b Point) int {
	switch {
	case a.Hash < b.Hash || a.Hash == b.Hash && a.Owner < b.Owner:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Add puts an owner's points in; a point that is there already stays one.
func (r *Ring) Add(owner uint32, hashes []uint64) {
	for _, h := range hashes {
		p := Point{h, owner}
		b := &r.buckets[h>>r.shift]
		if at, is := slices.BinarySearchFunc(*b, p, order); !is {
			*b = slices.Insert(*b, at, p)
			r.points++
		}
	}
	if r.points > fillMost*len(r.buckets) {
		r.spread(r.points / fill)
	}
}

// Remove takes an owner's points out.
func (r *Ring) Remove(owner uint32, hashes []uint64) {
	for _, h := range hashes {
		b := &r.buckets[h>>r.shift]
		if at, is := slices.BinarySearchFunc(*b, Point{h, owner}, order); is {
			*b = slices.Delete(*b, at, at+1)
			r.points--
		}
	}
	if len(r.buckets) > firstBuckets && r.points < fillLeast*len(r.buckets) {
		r.spread(max(firstBuckets, r.points/fill))
	}
}

// spread puts all points into another number of buckets, a power of two.
func (r *Ring) spread(want int) {
	n := uint(bits.Len(uint(want)))
	old := r.buckets
	r.buckets, r.shift = make([][]Point, 1<<n), 64-n
	for _, b := range old {
		for _, p := range b { // in the circle's order, so each bucket stays sorted
			at := p.Hash >> r.shift
			r.buckets[at] = append(r.buckets[at], p)
		}
	}
}

// Walk goes clockwise from a spot, once round, and tells each point's owner and the way to it; it ends where see says no.
func (r *Ring) Walk(spot uint64, see func(owner uint32, way float64) bool) {
	if r.points == 0 {
		return
	}
	first := int(spot >> r.shift)
	begin, _ := slices.BinarySearchFunc(r.buckets[first], Point{spot, 0}, order)
	for i := 0; i <= len(r.buckets); i++ {
		b := r.buckets[(first+i)%len(r.buckets)]
		switch i {
		case 0:
			b = b[begin:]
		case len(r.buckets):
			b = b[:begin] // the first bucket's beginning is the walk's end
		}
		for _, p := range b {
			if !see(p.Owner, float64(p.Hash-spot)+1) {
				return
			}
		}
	}
}

// Nearest finds the owner whose way over its weight is the least, and that way over weight; of two alike the one met first.
// weight tells an owner's, 0 for one that may not be taken, and is never over most. An owner's first point is its nearest, and
// whoever comes later has a way at least as long: once that is over what the heaviest could make good, no later one can win.
func (r *Ring) Nearest(spot uint64, most float64, weight func(owner uint32) float64) (owner uint32, by float64, found bool) {
	by = math.Inf(1)
	r.Walk(spot, func(o uint32, way float64) bool {
		if way/most >= by {
			return false
		}
		if w := weight(o); w > 0 && way/w < by {
			owner, by, found = o, way/w, true
		}
		return true
	})
	return owner, by, found
}
