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
	buckets    [][]Point // each sorted by hash, then owner
	shift      uint      // of a hash to its bucket
	pointCount int
}

const (
	// targetBucketSize is the mean number of points in a bucket: a few, so that one cache line or two hold it; over fillMost there are
	// twice as many buckets, under fillLeast half.
	targetBucketSize, maxMeanBucketSize, minMeanBucketSize = 4, 8, 1
	minBuckets                                             = 16
)

// New makes a circle without points.
func New() *Ring {
	return &Ring{buckets: make([][]Point, minBuckets), shift: 64 - uint(bits.Len(minBuckets-1))}
}

// Points is how many there are.
func (r *Ring) Points() int { return r.pointCount }

func comparePoints(a, b Point) int {
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
	for _, hash := range hashes {
		point := Point{hash, owner}
		bucket := &r.buckets[hash>>r.shift]
		if index, found := slices.BinarySearchFunc(*bucket, point, comparePoints); !found {
			*bucket = slices.Insert(*bucket, index, point)
			r.pointCount++
		}
	}
	if r.pointCount > maxMeanBucketSize*len(r.buckets) {
		r.rebucket(r.pointCount / targetBucketSize)
	}
}

// Remove takes an owner's points out.
func (r *Ring) Remove(owner uint32, hashes []uint64) {
	for _, hash := range hashes {
		bucket := &r.buckets[hash>>r.shift]
		if index, found := slices.BinarySearchFunc(*bucket, Point{hash, owner}, comparePoints); found {
			*bucket = slices.Delete(*bucket, index, index+1)
			r.pointCount--
		}
	}
	if len(r.buckets) > minBuckets && r.pointCount < minMeanBucketSize*len(r.buckets) {
		r.rebucket(max(minBuckets, r.pointCount/targetBucketSize))
	}
}

// rebucket puts all points into another number of buckets, a power of two.
func (r *Ring) rebucket(wanted int) {
	bucketBits := uint(bits.Len(uint(wanted)))
	old := r.buckets
	r.buckets, r.shift = make([][]Point, 1<<bucketBits), 64-bucketBits
	for _, points := range old {
		for _, point := range points { // in the circle's order, so each bucket stays sorted
			bucket := point.Hash >> r.shift
			r.buckets[bucket] = append(r.buckets[bucket], point)
		}
	}
}

// Walk goes clockwise from a spot, once round, and tells each point's owner and the way to it; it ends where see says no.
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
			points = points[:firstIndex] // the first bucket's beginning is the walk's end
		}
		for _, point := range points {
			if !visit(point.Owner, float64(point.Hash-position)+1) {
				return
			}
		}
	}
}

// Nearest finds the owner whose way over its weight is the least, and that way over weight; of two alike the one met first.
// weight tells an owner's, 0 for one that may not be taken, and is never over most. An owner's first point is its nearest, and
// whoever comes later has a way at least as long: once that is over what the heaviest could make good, no later one can win.
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
