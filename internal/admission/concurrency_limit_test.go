package admission

import (
	"testing"
)

// The limit follows the capacity of the endpoints at any response time: it decreases while the dispatcher has too many unsent
// requests, and increases again afterwards.
func TestConcurrencyLimitTracksCapacity(t *testing.T) {
	for _, responseTime := range []Micros{20 * millisecond, 100 * millisecond} {
		c := newTestController([]float64{1}, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		c.costs.classes = []RequestClass{{LatencyObjective: 2 * second, Timeout: 5 * second, PriorityWeight: 1}}
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
			t.Errorf("response time %d us, capacity 50: got limit %.0f, want 45 to 90", responseTime, limit)
		}
		runUntil(10, 12*second)
		if limit := c.Status().Limit; limit < 9 || limit > 10+minUnsentAllowance+4 {
			t.Errorf("response time %d us, capacity reduced to 10: got limit %.0f, want 9 to 30", responseTime, limit)
		}
		runUntil(50, 20*second)
		if limit := c.Status().Limit; limit < 45 || limit > 90 {
			t.Errorf("response time %d us, capacity back at 50: got limit %.0f, want 45 to 90", responseTime, limit)
		}
	}
}

// In slow start the limit doubles in each round in which it is reached. A round that shows that the limit is too high ends slow
// start. After that the limit grows slowly.
func TestConcurrencyLimitLeavesSlowStart(t *testing.T) {
	limit := newConcurrencyLimit(1000)
	now := Micros(0)
	fill := func() {
		for limit.hasCapacity() {
			limit.recordAdmission(now)
			limit.recordSent(now)
		}
	}
	closeRound := func(result Result) {
		fill()
		now += roundInterval
		limit.recordFinished(now, result, true)
	}
	closeRound(Succeeded)
	if limit.current != 2*initialAdmissionLimit {
		t.Errorf("after a round in slow start: got limit %v, want it doubled", limit.current)
	}
	closeRound(Rejected)
	decreased := limit.current
	if limit.inSlowStart || decreased > 2*initialAdmissionLimit*(1-maxDecreaseFraction)+1 {
		t.Errorf("after a round of rejections: got limit %v, in slow start %t, want it decreased and slow start ended", decreased, limit.inSlowStart)
	}
	closeRound(Succeeded)
	if want := decreased * (1 + increaseFraction); limit.current != want {
		t.Errorf("after slow start, growing from limit %v: got %v, want %v", decreased, limit.current, want)
	}
}

// A limit that is not reached does not grow, and a request that was rejected without having been sent does not lower it.
func TestConcurrencyLimitNeedsEvidence(t *testing.T) {
	limit := newConcurrencyLimit(1000)
	for now := Micros(0); now < 10*second; now += roundInterval {
		limit.recordAdmission(now)
		limit.recordFinished(now, Rejected, false)
	}
	if limit.current != initialAdmissionLimit || !limit.inSlowStart {
		t.Errorf("got limit %v, in slow start %t, want the initial limit in slow start", limit.current, limit.inSlowStart)
	}
}
