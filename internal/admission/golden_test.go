package admission

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenSteps of a stream: enough for queues to fill, promises to be kept and broken, and a drain.
const goldenSteps = 8000

// The same calls give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, shared := range []bool{false, true} {
		for _, room := range []Room{{Txns: 20, Bytes: 20000, Queues: 4}, {Txns: 300, Bytes: 300000, Queues: 16}} {
			for seed := int64(1); seed <= 3; seed++ {
				chance := rand.New(rand.NewSource(seed))
				d := New([]Product{{SLA: second, Expiry: 3 * second, Revenue: 1}, {SLA: second, Expiry: 3 * second, Revenue: 5, Referenced: true}},
					[]Tenant{{0.5}, {0.3}, {0.2}}, room, Waits{Most: 2 * second}, shared, seed)
				digest := golden.NewDigest(Order{}, State{}, Count{}, Line{}, Micros(0))
				now, orders := 1000*second, 0
				var in, waiting []uint64
				carry := func(list []Order) {
					for _, o := range list {
						orders++
						digest.Add(o)
						switch o.Kind {
						case Admit:
							in = append(in, o.ID)
						case Refuse, Share:
						}
					}
				}
				remove := func(from *[]uint64) uint64 {
					i := chance.Intn(len(*from))
					id := (*from)[i]
					*from = append((*from)[:i], (*from)[i+1:]...)
					return id
				}
				for id := uint64(1); id <= goldenSteps; id++ {
					for next := d.Next(); next > 0 && next <= now; next = d.Next() {
						carry(d.Bell(now))
					}
					digest.Add(d.Next())
					switch n := chance.Intn(20); {
					case n < 9:
						waiting = append(waiting, id)
						carry(d.Arrive(now, Arrival{ID: id, Tenant: chance.Intn(6) - 1, Client: uint64(1 + chance.Intn(9)), Product: chance.Intn(2),
							Key: uint64(chance.Intn(40)), Repeat: chance.Intn(3) == 0, Work: Micros(chance.Int63n(int64(50 * ms))),
							Expires: now + Micros(chance.Int63n(int64(3*second))), Bytes: chance.Intn(900)}))
					case n < 15:
						if len(in) > 0 {
							some := remove(&in)
							if chance.Intn(2) == 0 {
								carry(d.Sent(now, some))
							}
							carry(d.Ended(now, some, How(chance.Intn(4))))
						}
					case n < 16:
						if len(waiting) > 0 {
							carry(d.Gone(now, remove(&waiting)))
						}
					case n < 17:
						d.Reshare([]Tenant{{0.1 + chance.Float64()}, {0.3}, {0.2}})
					default:
						now += Micros(chance.Int63n(int64(120 * ms)))
					}
					if id == goldenSteps*9/10 {
						carry(d.Drain(now, now+2*second))
					}
				}
				digest.Add(d.State())
				digest.Add(d.Count)
				for tenant := range 4 {
					digest.Add(d.Line(tenant))
				}
				fmt.Fprintf(&out, "shared %t room %d seed %d: %d orders %s\n", shared, room.Txns, seed, orders, digest)
			}
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}
