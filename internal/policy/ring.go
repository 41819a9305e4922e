package policy

import (
	"slices"
	"sort"

	"switchfork/internal/hashing"
)

// unitInterval maps a hash to a number from 0 to below 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// endpointPoints returns the points of an endpoint on the ring, sorted.
func endpointPoints(id uint32, count int, salt uint64) []uint64 {
	points := make([]uint64, count)
	for i := range points {
		points[i] = hashing.Mix64(hashing.Mix64(uint64(id)^salt) + uint64(i))
	}
	slices.Sort(points)
	return points
}

// ringDistance returns the distance clockwise from a position to the endpoint's nearest point.
func (e *endpointRecord) ringDistance(position uint64) float64 {
	i := sort.Search(len(e.ringPoints), func(i int) bool { return e.ringPoints[i] >= position })
	return float64(e.ringPoints[i%len(e.ringPoints)]-position) + 1
}
