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
	var summary strings.Builder
	for _, coalescesRetries := range []bool{false, true} {
		for _, limits := range []Limits{{Requests: 20, Bytes: 20000, Queues: 4}, {Requests: 300, Bytes: 300000, Queues: 16}} {
			for seed := int64(1); seed <= 3; seed++ {
				random := rand.New(rand.NewSource(seed))
				c := New([]RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}, {LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 5, Keyed: true}},
					[]Tenant{{0.5}, {0.3}, {0.2}}, limits, RetryAfterLimits{Max: 2 * second}, coalescesRetries, seed)
				digest := golden.NewDigest(Command{}, Status{}, Counters{}, TenantStatus{}, Micros(0))
				now, commandCount := 1000*second, 0
				var inProgress, waiting []uint64
				record := func(commands []Command) {
					for _, command := range commands {
						commandCount++
						digest.Add(command)
						switch command.Kind {
						case Admit:
							inProgress = append(inProgress, command.ID)
						case Reject, Coalesce:
						}
					}
				}
				remove := func(from *[]uint64) uint64 {
					i := random.Intn(len(*from))
					id := (*from)[i]
					*from = append((*from)[:i], (*from)[i+1:]...)
					return id
				}
				for id := uint64(1); id <= goldenSteps; id++ {
					for next := c.NextTimer(); next > 0 && next <= now; next = c.NextTimer() {
						record(c.TimerFired(now))
					}
					digest.Add(c.NextTimer())
					switch action := random.Intn(20); {
					case action < 9:
						waiting = append(waiting, id)
						record(c.Arrive(now, Arrival{
							ID: id, Tenant: random.Intn(6) - 1, Client: uint64(1 + random.Intn(9)), Class: random.Intn(2),
							Key: uint64(random.Intn(40)), IsRetry: random.Intn(3) == 0, CostHint: Micros(random.Int63n(int64(50 * millisecond))),
							Deadline: now + Micros(random.Int63n(int64(3*second))), Bytes: random.Intn(900),
						}))
					case action < 15:
						if len(inProgress) > 0 {
							picked := remove(&inProgress)
							if random.Intn(2) == 0 {
								record(c.AttemptSent(now, picked))
							}
							record(c.Finish(now, picked, Result(random.Intn(4))))
						}
					case action < 16:
						if len(waiting) > 0 {
							record(c.Abandon(now, remove(&waiting)))
						}
					case action < 17:
						c.SetWeights([]Tenant{{0.1 + random.Float64()}, {0.3}, {0.2}})
					default:
						now += Micros(random.Int63n(int64(120 * millisecond)))
					}
					if id == goldenSteps*9/10 {
						record(c.Drain(now, now+2*second))
					}
				}
				digest.Add(c.Status())
				digest.Add(c.Counters)
				for tenant := range 4 {
					digest.Add(c.Tenant(tenant))
				}
				fmt.Fprintf(&summary, "shared %t room %d seed %d: %d orders %s\n", coalescesRetries, limits.Requests, seed, commandCount, digest)
			}
		}
	}
	golden.Check(t, "decisions.golden", summary.String())
}
