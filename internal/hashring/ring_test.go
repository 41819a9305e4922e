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

// plain is the slow reference: each owner's points apart, and a look at all of them, as the module does it.
type plain map[uint32][]uint64

func (p plain) nearest(spot uint64, weight func(uint32) float64) (owner uint32, by float64) {
	by = math.Inf(1)
	for o, points := range p {
		if len(points) == 0 || weight(o) <= 0 {
			continue
		}
		i := sort.Search(len(points), func(i int) bool { return points[i] >= spot })
		way := float64(points[i%len(points)]-spot) + 1
		if b := way / weight(o); b < by || b == by && o < owner {
			owner, by = o, b
		}
	}
	return owner, by
}

// After any changes the ring finds what a look at all finds, at any weights, and holds exactly the points that were put in.
func TestAsTheSlowReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, ref, weights := New(), plain{}, map[uint32]float64{}
		owners, hashes := rapid.Uint32Range(0, 40), rapid.SliceOfN(rapid.Uint64(), 1, 30)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				o, h := owners.Draw(t, "owner"), hashes.Draw(t, "points")
				r.Add(o, h)
				all := append(slices.Clone(ref[o]), h...)
				slices.Sort(all)
				ref[o] = slices.Compact(all)
				weights[o] = rapid.Float64Range(0.1, 1).Draw(t, "weight")
			},
			"remove": func(t *rapid.T) {
				o := owners.Draw(t, "owner")
				r.Remove(o, ref[o])
				delete(ref, o)
			},
			"weigh": func(t *rapid.T) {
				weights[owners.Draw(t, "owner")] = float64(rapid.IntRange(0, 4).Draw(t, "quarters")) / 4
			},
			"": func(t *rapid.T) {
				spot := rapid.Uint64().Draw(t, "spot")
				weight := func(o uint32) float64 { return weights[o] }
				_, by, found := r.Nearest(spot, 1, weight)
				if _, want := ref.nearest(spot, weight); by != want || found == math.IsInf(want, 1) {
					t.Fatalf("the nearest is at %g, want %g", by, want)
				}
				n := 0
				for _, p := range ref {
					n += len(p)
				}
				seen, last := 0, 0.0
				r.Walk(spot, func(_ uint32, way float64) bool {
					if way < last {
						t.Fatalf("the walk goes back from %g to %g", last, way)
					}
					seen, last = seen+1, way
					return true
				})
				if seen != n || r.Points() != n {
					t.Fatalf("a walk meets %d points of %d, %d are counted", seen, n, r.Points())
				}
			},
		})
	})
}

// When one of many goes, only what it had moves.
func TestOnlyItsOwnMoves(t *testing.T) {
	chance := rand.New(rand.NewSource(1))
	r, points := New(), map[uint32][]uint64{}
	for o := range uint32(100) {
		for range 64 {
			points[o] = append(points[o], chance.Uint64())
		}
		r.Add(o, points[o])
	}
	even := func(uint32) float64 { return 1 }
	spots := make([]uint64, 20_000)
	before := make([]uint32, len(spots))
	for i := range spots {
		spots[i] = chance.Uint64()
		before[i], _, _ = r.Nearest(spots[i], 1, even)
	}
	r.Remove(7, points[7])
	moved := 0
	for i, s := range spots {
		switch now, _, _ := r.Nearest(s, 1, even); {
		case now == before[i]:
		case before[i] != 7:
			t.Fatalf("a spot has moved from %d to %d when 7 went", before[i], now)
		default:
			moved++
		}
	}
	if share := float64(moved) / float64(len(spots)); share < 0.005 || share > 0.02 {
		t.Errorf("%.4f of the spots have moved, about 0.01 is wanted", share)
	}
}

func filled(boxes int) (*Ring, [][]uint64) {
	chance := rand.New(rand.NewSource(1))
	r, points := New(), make([][]uint64, boxes)
	for o := range points {
		for range 64 {
			points[o] = append(points[o], chance.Uint64())
		}
		r.Add(uint32(o), points[o])
	}
	return r, points
}

func BenchmarkNearest(b *testing.B) {
	for _, boxes := range []int{15, 75, 300, 1000, 3000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			r, _ := filled(boxes)
			weight := func(o uint32) float64 { // a fifth cold, a tenth not to be taken
				switch {
				case o%10 == 3:
					return 0
				case o%5 == 1:
					return 0.4
				}
				return 1
			}
			chance := rand.New(rand.NewSource(2))
			b.ReportAllocs()
			for b.Loop() {
				r.Nearest(chance.Uint64(), 1, weight)
			}
		})
	}
}

func BenchmarkChange(b *testing.B) {
	r, points := filled(3000)
	i := 0
	for b.Loop() {
		o := uint32(i % 3000)
		r.Remove(o, points[o])
		r.Add(o, points[o])
		i++
	}
}
