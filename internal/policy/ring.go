package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"switchfork/internal/hashing"
)

// unitInterval maps a hash to a number from 0 up to 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// endpointPoints returns the places of an endpoint on the ring, sorted.
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

// slotPhase spreads the agents' slots at an endpoint evenly over the interval from 0 to 1 (golden ratio sequence).
func slotPhase(agent int, endpointID uint32) float64 {
	_, phase := math.Modf(float64(agent)*math.Phi + float64(hashing.Mix64(uint64(endpointID))>>40)/(1<<24))
	return phase
}

// selectAgents draws some of the agents' indices, the same on every agent.
func selectAgents(agents, count int) []int {
	all := make([]int, agents)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		return cmp.Compare(hashing.Mix64(uint64(a)^ringSalt), hashing.Mix64(uint64(b)^ringSalt))
	})
	return all[:count]
}
