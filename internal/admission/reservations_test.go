package admission

import (
	"math/rand"
	"testing"
)

// A rejected client is given a time, and is admitted at once when it returns then; no more is reserved than its tenant's share.
func TestReservationsAreHonored(t *testing.T) {
	c := newTestController([]float64{0.5, 0.5}, Limits{Requests: 60, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 8)
	random := rand.New(rand.NewSource(3))
	type returningClient struct {
		at      Micros
		arrival Arrival
	}
	var returning []returningClient
	id, honored, returned := uint64(1), 0, 0
	finishTimes := map[uint64]Micros{}
	for now := Micros(0); now < 20*second; now += millisecond {
		c.advance(now - c.now)
		for admitted := range c.inProgress {
			if at, found := finishTimes[admitted]; !found {
				finishTimes[admitted] = now + 20*millisecond
			} else if now >= at {
				c.apply(c.AttemptSent(now, admitted))
				c.finish(admitted, Succeeded)
				delete(finishTimes, admitted)
			}
		}
		arrive := func(arrival Arrival) {
			c.arrive(arrival)
			if command, found := c.rejected[arrival.ID]; found && command.RetryAfter > 0 {
				if command.RetryAfter > 2*second {
					t.Fatalf("Retry-After is %d, over the maximum", command.RetryAfter)
				}
				returning = append(returning, returningClient{now + command.RetryAfter, arrival})
			}
		}
		for i := 0; i < len(returning); i++ {
			if client := returning[i]; now >= client.at {
				returning = append(returning[:i], returning[i+1:]...)
				i--
				before := c.Counters.ReservationsHonored
				id++
				client.arrival.ID = id
				client.arrival.Deadline = 0
				hasReservation := c.reservations.byRetryKey[c.retryKeyOf(&client.arrival)] != nil
				arrive(client.arrival)
				if hasReservation {
					returned++
					honored += int(c.Counters.ReservationsHonored - before)
				}
			}
		}
		if random.Float64() < 0.8 { // twice the capacity, all of one tenant
			id++
			arrive(Arrival{ID: id, Tenant: 0, Client: id, Key: id, Class: 1, CostHint: 20 * millisecond})
		}
	}
	if returned < 100 || float64(honored) < 0.9*float64(returned) {
		t.Errorf("%d of %d clients that returned on time were admitted at once; %+v", honored, returned, c.Counters)
	}
}
