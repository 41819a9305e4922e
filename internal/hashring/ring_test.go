package hashring

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// referenceRing is a slow reference implementation: it holds the sorted points of each owner separately and searches all of
// them, as the routing policy does.
type referenceRing map[uint32][]uint64

func (r referenceRing) nearest(position uint64, weight func(uint32) float64) (owner uint32, weightedDistance float64) {
	weightedDistance = math.Inf(1)
	for candidate, points := range r {
		if len(points) == 0 || weight(candidate) <= 0 {
			continue
		}
		i := sort.Search(len(points), func(i int) bool { return points[i] >= position })
		distance := float64(points[i%len(points)]-position) + 1
		candidateDistance := distance / weight(candidate)
		isNearer := candidateDistance < weightedDistance
		if isNearer || candidateDistance == weightedDistance && candidate < owner {
			owner, weightedDistance = candidate, candidateDistance
		}
	}
	return owner, weightedDistance
}

// TestRingMatchesReference checks that after any changes and with any weights the ring finds the same nearest distance as the
// reference, and holds exactly the points that were added and not removed.
func TestRingMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring, reference, weights := New(), referenceRing{}, map[uint32]float64{}
		owners, hashes := rapid.Uint32Range(0, 40), rapid.SliceOfN(rapid.Uint64(), 1, 30)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				owner, points := owners.Draw(t, "owner"), hashes.Draw(t, "points")
				ring.Add(owner, points)
				all := append(slices.Clone(reference[owner]), points...)
				slices.Sort(all)
				reference[owner] = slices.Compact(all)
				weights[owner] = rapid.Float64Range(0.1, 1).Draw(t, "weight")
			},
			"remove": func(t *rapid.T) {
				owner := owners.Draw(t, "owner")
				ring.Remove(owner, reference[owner])
				delete(reference, owner)
			},
			"setWeight": func(t *rapid.T) {
				weights[owners.Draw(t, "owner")] = float64(rapid.IntRange(0, 4).Draw(t, "quarters")) / 4
			},
			"": func(t *rapid.T) {
				position := rapid.Uint64().Draw(t, "position")
				weight := func(owner uint32) float64 { return weights[owner] }
				_, distance, found := ring.Nearest(position, 1, weight)
				if _, want := reference.nearest(position, weight); distance != want || found == math.IsInf(want, 1) {
					t.Fatalf("weighted distance of the nearest owner: got %g, want %g", distance, want)
				}
				count := 0
				for _, points := range reference {
					count += len(points)
				}
				seen, previous := 0, 0.0
				ring.Walk(position, func(_ uint32, distance float64) bool {
					if distance < previous {
						t.Fatalf("Walk passed distance %g and then %g, want ascending distances", previous, distance)
					}
					seen, previous = seen+1, distance
					return true
				})
				if seen != count || ring.Points() != count {
					t.Fatalf("Walk visited %d points, want %d; Points returned %d, want the same", seen, count, ring.Points())
				}
			},
		})
	})
}

// TestRemovalMovesOnlyTheOwnersPositions checks that when one of many owners is removed, only the positions that it owned move
// to other owners.
func TestRemovalMovesOnlyTheOwnersPositions(t *testing.T) {
	ring, points := newFilledRing(100)
	random := rand.New(rand.NewSource(2))
	equalWeight := func(uint32) float64 { return 1 }
	positions := make([]uint64, 20_000)
	before := make([]uint32, len(positions))
	for i := range positions {
		positions[i] = random.Uint64()
		before[i], _, _ = ring.Nearest(positions[i], 1, equalWeight)
	}
	ring.Remove(7, points[7])
	moved := 0
	for i, position := range positions {
		switch owner, _, _ := ring.Nearest(position, 1, equalWeight); {
		case owner == before[i]:
		case before[i] != 7:
			t.Fatalf("a position moved from owner %d to owner %d when owner 7 was removed", before[i], owner)
		default:
			moved++
		}
	}
	if movedFraction := float64(moved) / float64(len(positions)); movedFraction < 0.005 || movedFraction > 0.02 {
		t.Errorf("share of positions that moved: got %.4f, want 0.005 to 0.02", movedFraction)
	}
}

// newFilledRing returns a ring with 64 random points for each owner, and the points by owner.
func newFilledRing(owners int) (*Ring, [][]uint64) {
	random := rand.New(rand.NewSource(1))
	ring, points := New(), make([][]uint64, owners)
	for owner := range points {
		for range 64 {
			points[owner] = append(points[owner], random.Uint64())
		}
		ring.Add(uint32(owner), points[owner])
	}
	return ring, points
}

func BenchmarkNearest(b *testing.B) {
	for _, owners := range []int{15, 75, 300, 1000, 3000} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			ring, _ := newFilledRing(owners)
			weight := func(owner uint32) float64 { // a fifth in slow start, a tenth ejected
				switch {
				case owner%10 == 3:
					return 0
				case owner%5 == 1:
					return 0.4
				}
				return 1
			}
			random := rand.New(rand.NewSource(2))
			b.ReportAllocs()
			for b.Loop() {
				ring.Nearest(random.Uint64(), 1, weight)
			}
		})
	}
}

func BenchmarkRemoveAndAdd(b *testing.B) {
	ring, points := newFilledRing(3000)
	i := 0
	for b.Loop() {
		owner := uint32(i % 3000)
		ring.Remove(owner, points[owner])
		ring.Add(owner, points[owner])
		i++
	}
}
