// Package hashring is a consistent-hash ring: it holds the points of endpoints on a circle of 64-bit hashes and finds the owners
// of the next points clockwise from a position, or the nearest owner by weighted distance. It does not know why an endpoint must
// not be chosen; the caller gives such an endpoint a weight of 0.
//
// No package imports hashring yet. The routing policy searches the points of each endpoint separately, at a cost that grows with
// the number of endpoints; this ring is the groundwork for a larger ring there.
//
// The points lie in buckets by their highest bits, so that a lookup reads a bucket instead of searching all points, and a
// change of one endpoint affects only the buckets of its points. A Ring is not safe for concurrent use; it does no I/O and
// reads no clock.
package hashring

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Point is a position on the ring and its owner. It takes 16 bytes with padding.
type Point struct {
	Hash  uint64
	Owner uint32
}

// Ring is a consistent-hash ring. Create it with New.
type Ring struct {
	buckets    [][]Point // each sorted by hash, then owner
	shift      uint      // hash>>shift is the index of the hash's bucket
	pointCount int
}

const (
	// targetBucketSize bounds the mean number of points in a bucket after a resize: few enough for one or two cache lines.
	targetBucketSize = 4
	// maxMeanBucketSize is the mean number of points in a bucket above which the number of buckets grows.
	maxMeanBucketSize = 8
	// minMeanBucketSize is the mean number of points in a bucket below which the number of buckets shrinks.
	minMeanBucketSize = 1
	// minBuckets is the lowest number of buckets. The number of buckets is always a power of two.
	minBuckets = 16
	// hashBits is the width of a point's hash.
	hashBits = 64
)

// New returns a ring without points.
func New() *Ring {
	return &Ring{buckets: make([][]Point, minBuckets), shift: hashBits - uint(bits.Len(minBuckets-1))}
}

// Points returns the number of points of all owners.
func (r *Ring) Points() int { return r.pointCount }

func comparePoints(a, b Point) int {
	if order := cmp.Compare(a.Hash, b.Hash); order != 0 {
		return order
	}
	return cmp.Compare(a.Owner, b.Owner)
}

// Add adds points of an owner. A point that is already on the ring is not added again.
func (r *Ring) Add(owner uint32, hashes []uint64) {
	for _, hash := range hashes {
		point := Point{hash, owner}
		bucket := &r.buckets[hash>>r.shift]
		if index, found := slices.BinarySearchFunc(*bucket, point, comparePoints); !found {
			*bucket = slices.Insert(*bucket, index, point)
			r.pointCount++
		}
	}
	if r.pointCount > maxMeanBucketSize*len(r.buckets) {
		r.resize(r.pointCount / targetBucketSize)
	}
}

// Remove removes points of an owner. A point that is not on the ring is ignored.
func (r *Ring) Remove(owner uint32, hashes []uint64) {
	for _, hash := range hashes {
		bucket := &r.buckets[hash>>r.shift]
		if index, found := slices.BinarySearchFunc(*bucket, Point{hash, owner}, comparePoints); found {
			*bucket = slices.Delete(*bucket, index, index+1)
			r.pointCount--
		}
	}
	if len(r.buckets) > minBuckets && r.pointCount < minMeanBucketSize*len(r.buckets) {
		r.resize(max(minBuckets, r.pointCount/targetBucketSize))
	}
}

// resize distributes all points over a new number of buckets, which is the next power of two above bucketCount.
func (r *Ring) resize(bucketCount int) {
	bucketBits := uint(bits.Len(uint(bucketCount)))
	previous := r.buckets
	r.buckets = make([][]Point, 1<<bucketBits)
	r.shift = hashBits - bucketBits
	for _, points := range previous {
		for _, point := range points { // in the order of the ring, so that each new bucket is sorted
			bucket := &r.buckets[point.Hash>>r.shift]
			*bucket = append(*bucket, point)
		}
	}
}

// Walk goes clockwise from a position once around the ring and passes each point's owner and distance to visit. It ends early
// if visit returns false.
func (r *Ring) Walk(position uint64, visit func(owner uint32, distance float64) bool) {
	if r.pointCount == 0 {
		return
	}
	firstBucket := int(position >> r.shift)
	firstIndex, _ := slices.BinarySearchFunc(r.buckets[firstBucket], Point{position, 0}, comparePoints)
	for i := 0; i <= len(r.buckets); i++ {
		points := r.buckets[(firstBucket+i)%len(r.buckets)]
		switch i {
		case 0:
			points = points[firstIndex:]
		case len(r.buckets):
			points = points[:firstIndex] // the beginning of the first bucket is the end of the walk
		}
		for _, point := range points {
			if !visit(point.Owner, float64(point.Hash-position)+1) {
				return
			}
		}
	}
}

// Nearest returns the owner with the least distance divided by its weight, and that weighted distance. Of owners with the same
// weighted distance it returns the first one clockwise. weight returns an owner's weight, which is 0 for an owner that must not
// be chosen, and never more than maxWeight.
//
// The walk reaches the nearest point of each owner first, and its distances never decrease. Once the distance is too long even
// for an owner with maxWeight, no later owner can be nearer and the walk ends.
func (r *Ring) Nearest(position uint64, maxWeight float64, weight func(owner uint32) float64) (owner uint32, weightedDistance float64, found bool) {
	weightedDistance = math.Inf(1)
	r.Walk(position, func(candidate uint32, distance float64) bool {
		if distance/maxWeight >= weightedDistance {
			return false
		}
		if candidateWeight := weight(candidate); candidateWeight > 0 && distance/candidateWeight < weightedDistance {
			owner, weightedDistance, found = candidate, distance/candidateWeight, true
		}
		return true
	})
	return owner, weightedDistance, found
}
