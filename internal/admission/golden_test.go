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
		for _, room := range []Limits{{Requests: 20, Bytes: 20000, Queues: 4}, {Requests: 300, Bytes: 300000, Queues: 16}} {
			for seed := int64(1); seed <= 3; seed++ {
				chance := rand.New(rand.NewSource(seed))
				d := New([]RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}, {LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 5, Keyed: true}},
					[]Tenant{{0.5}, {0.3}, {0.2}}, room, RetryAfterLimits{Max: 2 * second}, shared, seed)
				digest := golden.NewDigest(Command{}, Status{}, Counters{}, TenantStatus{}, Micros(0))
				now, orders := 1000*second, 0
				var in, waiting []uint64
				carry := func(list []Command) {
					for _, o := range list {
						orders++
						digest.Add(o)
						switch o.Kind {
						case Admit:
							in = append(in, o.ID)
						case Reject, Coalesce:
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
					for next := d.NextTimer(); next > 0 && next <= now; next = d.NextTimer() {
						carry(d.TimerFired(now))
					}
					digest.Add(d.NextTimer())
					switch n := chance.Intn(20); {
					case n < 9:
						waiting = append(waiting, id)
						carry(d.Arrive(now, Arrival{
							ID: id, Tenant: chance.Intn(6) - 1, Client: uint64(1 + chance.Intn(9)), Class: chance.Intn(2),
							Key: uint64(chance.Intn(40)), IsRetry: chance.Intn(3) == 0, CostHint: Micros(chance.Int63n(int64(50 * ms))),
							Deadline: now + Micros(chance.Int63n(int64(3*second))), Bytes: chance.Intn(900),
						}))
					case n < 15:
						if len(in) > 0 {
							some := remove(&in)
							if chance.Intn(2) == 0 {
								carry(d.AttemptSent(now, some))
							}
							carry(d.Finish(now, some, Result(chance.Intn(4))))
						}
					case n < 16:
						if len(waiting) > 0 {
							carry(d.Abandon(now, remove(&waiting)))
						}
					case n < 17:
						d.SetWeights([]Tenant{{0.1 + chance.Float64()}, {0.3}, {0.2}})
					default:
						now += Micros(chance.Int63n(int64(120 * ms)))
					}
					if id == goldenSteps*9/10 {
						carry(d.Drain(now, now+2*second))
					}
				}
				digest.Add(d.Status())
				digest.Add(d.Counters)
				for tenant := range 4 {
					digest.Add(d.Tenant(tenant))
				}
				fmt.Fprintf(&out, "shared %t room %d seed %d: %d orders %s\n", shared, room.Requests, seed, orders, digest)
			}
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}
