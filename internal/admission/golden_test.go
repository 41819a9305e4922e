package admission

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenSteps is the number of steps of a stream: enough for queues to fill, for reservations to be honored and missed, and for a
// drain.
const goldenSteps = 8000

// goldenStream makes random calls to a controller and computes a digest of all commands and states that it returns.
type goldenStream struct {
	controller   *Controller
	random       *rand.Rand
	digest       *golden.Digest
	commandCount int
	now          Micros
	arrived      []uint64 // IDs
	inProgress   []uint64 // IDs
}

func newGoldenStream(limits Limits, coalescesRetries bool, seed int64) *goldenStream {
	return &goldenStream{
		controller: New(Config{
			Classes:         testClasses(),
			Tenants:         []Tenant{{0.5}, {0.3}, {0.2}},
			Limits:          limits,
			RetryAfter:      RetryAfterLimits{Max: 2 * second},
			CoalesceRetries: coalescesRetries,
			Seed:            seed,
		}),
		random: rand.New(rand.NewSource(seed)),
		digest: golden.NewDigest(Command{}, Status{}, Counters{}, TenantStatus{}, Micros(0)),
		now:    1000 * second,
	}
}

func (s *goldenStream) record(commands []Command) {
	for _, command := range commands {
		s.commandCount++
		s.digest.Add(command)
		if command.Kind == Admit {
			s.inProgress = append(s.inProgress, command.ID)
		}
	}
}

// removeRandom removes a random ID from a list.
func (s *goldenStream) removeRandom(ids *[]uint64) uint64 {
	i := s.random.Intn(len(*ids))
	id := (*ids)[i]
	*ids = slices.Delete(*ids, i, i+1)
	return id
}

func (s *goldenStream) arrive(id uint64) {
	s.arrived = append(s.arrived, id)
	s.record(s.controller.Arrive(s.now, Arrival{
		ID:       id,
		Tenant:   s.random.Intn(6) - 1,
		Client:   uint64(1 + s.random.Intn(9)),
		Class:    s.random.Intn(2),
		Key:      uint64(s.random.Intn(40)),
		IsRetry:  s.random.Intn(3) == 0,
		CostHint: s.random.Int63n(50 * millisecond),
		Deadline: s.now + s.random.Int63n(3*second),
		Bytes:    s.random.Intn(900),
	}))
}

func (s *goldenStream) finishOne() {
	if len(s.inProgress) == 0 {
		return
	}
	id := s.removeRandom(&s.inProgress)
	if s.random.Intn(2) == 0 {
		s.record(s.controller.AttemptSent(s.now, id))
	}
	s.record(s.controller.Finish(s.now, id, Result(s.random.Intn(4))))
}

func (s *goldenStream) abandonOne() {
	if len(s.arrived) > 0 {
		s.record(s.controller.Abandon(s.now, s.removeRandom(&s.arrived)))
	}
}

// step fires the timers that are due and makes one call, or lets time pass.
func (s *goldenStream) step(id uint64) {
	for next := s.controller.NextTimer(); next > 0 && next <= s.now; next = s.controller.NextTimer() {
		s.record(s.controller.TimerFired(s.now))
	}
	s.digest.Add(s.controller.NextTimer())
	switch action := s.random.Intn(20); {
	case action < 9:
		s.arrive(id)
	case action < 15:
		s.finishOne()
	case action < 16:
		s.abandonOne()
	case action < 17:
		s.controller.SetWeights([]Tenant{{0.1 + s.random.Float64()}, {0.3}, {0.2}})
	default:
		s.now += s.random.Int63n(120 * millisecond)
	}
	if id == goldenSteps*9/10 {
		s.record(s.controller.Drain(s.now, s.now+2*second))
	}
}

// The same calls produce the same commands as before the package was restructured, when the digests in the golden file were made.
func TestGoldenDecisions(t *testing.T) {
	var summary strings.Builder
	for _, coalescesRetries := range []bool{false, true} {
		for _, limits := range []Limits{{Requests: 20, Bytes: 20000, Queues: 4}, {Requests: 300, Bytes: 300000, Queues: 16}} {
			for seed := int64(1); seed <= 3; seed++ {
				stream := newGoldenStream(limits, coalescesRetries, seed)
				for id := uint64(1); id <= goldenSteps; id++ {
					stream.step(id)
				}
				stream.digest.Add(stream.controller.Status())
				stream.digest.Add(stream.controller.Counters)
				for tenant := range 4 {
					stream.digest.Add(stream.controller.Tenant(tenant))
				}
				fmt.Fprintf(&summary, "coalescing %t limit %d seed %d: %d commands %s\n",
					coalescesRetries, limits.Requests, seed, stream.commandCount, stream.digest)
			}
		}
	}
	golden.Check(t, "decisions.golden", summary.String())
}
