package admission

import (
	"testing"
)

// The limit follows what the endpoints take: down when the dispatcher holds requests unsent, up again when it doesn't, at any
// response time.
func TestConcurrencyLimitTracksCapacity(t *testing.T) {
	for _, responseTime := range []Micros{20 * millisecond, 100 * millisecond} {
		c := newTestController([]float64{1}, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		c.classes = []RequestClass{{LatencyObjective: 2 * second, Timeout: 5 * second, PriorityWeight: 1}}
		slots := 50
		type job struct {
			id uint64
			at Micros
		}
		var unsent, running []job
		runUntil := func(slots int, until Micros) {
			for ; c.now < until; c.advance(millisecond) {
				for i := 0; i < len(running); i++ {
					if finished := running[i]; c.now >= finished.at {
						running = append(running[:i], running[i+1:]...)
						i--
						c.finish(finished.id, Succeeded)
					}
				}
				for waiting := c.Status().Waiting; waiting < 60; waiting++ {
					id := c.Counters.Arrived + 1
					before := len(c.admitted)
					c.arrive(Arrival{ID: id, Client: id, CostHint: 20 * millisecond})
					if len(c.admitted) == before && c.Status().Waiting <= waiting {
						break
					}
				}
				for _, id := range c.admitted {
					unsent = append(unsent, job{id, c.now})
				}
				c.admitted = nil
				for len(unsent) > 0 && len(running) < slots {
					c.apply(c.AttemptSent(c.now, unsent[0].id))
					running, unsent = append(running, job{unsent[0].id, c.now + responseTime}), unsent[1:]
				}
			}
		}
		runUntil(slots, 5*second)
		if limit := c.Status().Limit; limit < 45 || limit > 90 {
			t.Errorf("response time %d us, 50 at a time: the limit is %.0f", responseTime, limit)
		}
		runUntil(10, 12*second)
		if limit := c.Status().Limit; limit < 9 || limit > 10+minUnsentAllowance+4 {
			t.Errorf("response time %d us, 10 at a time: the limit is %.0f", responseTime, limit)
		}
		runUntil(50, 20*second)
		if limit := c.Status().Limit; limit < 45 || limit > 90 {
			t.Errorf("response time %d us, 50 again: the limit is %.0f", responseTime, limit)
		}
	}
}
