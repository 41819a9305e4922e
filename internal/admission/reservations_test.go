package admission

import (
	"math/rand"
	"testing"
)

// A rejected client is sent a Retry-After time of at most RetryAfterLimits.Max. Of the clients that have a reservation
// and return at that time, at least nine in ten are admitted at once.
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
					t.Fatalf("got Retry-After %d, want 2 s at most", command.RetryAfter)
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
				hasReservation := c.reservations.byRetryKey[c.retries.keyOf(&client.arrival)] != nil
				arrive(client.arrival)
				if hasReservation {
					returned++
					honored += int(c.Counters.ReservationsHonored - before)
				}
			}
		}
		if random.Float64() < 0.8 { // the new requests are twice the capacity, and all are of one tenant
			id++
			arrive(Arrival{ID: id, Tenant: 0, Client: id, Key: id, Class: 1, CostHint: 20 * millisecond})
		}
	}
	if returned < 100 || float64(honored) < 0.9*float64(returned) {
		t.Errorf("%d of %d clients that returned on time were admitted at once, want nine of ten, and 100 clients at least; counters: %+v", honored, returned, c.Counters)
	}
}

// A reservation can be claimed once. An early claim releases the reserved cost; a claim that is on time or late does not.
func TestReservationIsClaimedByTimeOfReturn(t *testing.T) {
	const retryKey = 5
	request := &trackedRequest{cost: 1000, retryKey: retryKey}
	for _, test := range []struct {
		name     string
		returnAt func(*reservation) Micros
		want     claimResult
		cost     float64 // cost that is still reserved after the claim
	}{
		{"early", func(r *reservation) Micros { return r.returnAt - earlyTolerance - 1 }, claimedEarly, 0},
		{"early within the tolerance", func(r *reservation) Micros { return r.returnAt - earlyTolerance }, claimedOnTime, 1000},
		{"at the end of the grace time", func(r *reservation) Micros { return r.returnAt + 2*second/calendarSlots + reservationGrace }, claimedOnTime, 1000},
		{"late", func(r *reservation) Micros { return r.returnAt + 2*second/calendarSlots + reservationGrace + 1 }, claimedLate, 1000},
	} {
		table := newReservationTable(10, 1, 2*second, rand.New(rand.NewSource(1)))
		now := 50 * second
		retryAfter, isReserved := table.reserve(now, request, 1, 0)
		granted := table.byRetryKey[retryKey]
		if !isReserved || granted == nil || now+retryAfter != granted.returnAt {
			t.Fatalf("%s: got Retry-After %d and reservation %+v, want a reservation whose return time is the end of the Retry-After", test.name, retryAfter, granted)
		}
		reserved := &table.calendars[0]
		if got := table.claim(test.returnAt(granted), retryKey); got != test.want || reserved.total() != test.cost {
			t.Errorf("%s: got claim result %d and a remaining cost of %v, want %d and %v", test.name, got, reserved.total(), test.want, test.cost)
		}
		if got := table.claim(now, retryKey); got != notReserved || table.count() != 0 {
			t.Errorf("%s: got claim result %d for a second claim, want notReserved", test.name, got)
		}
	}
}

// Without capacity, nothing is reserved, and the client is sent a Retry-After time near maxRetryAfter. If maxRetryAfter is 0, the
// client is sent no Retry-After.
func TestRetryAfterWithoutReservation(t *testing.T) {
	request := &trackedRequest{cost: 1000}
	full := newReservationTable(0, 1, 2*second, rand.New(rand.NewSource(1)))
	for range 1000 {
		retryAfter, isReserved := full.reserve(0, request, 1, 0)
		if isReserved || retryAfter < 1500*millisecond || retryAfter > 2*second {
			t.Fatalf("full table: got Retry-After %d, reserved %t, want 1.5 to 2 s and nothing reserved", retryAfter, isReserved)
		}
	}
	none := newReservationTable(10, 1, 0, rand.New(rand.NewSource(1)))
	if retryAfter, isReserved := none.reserve(0, request, 1, 0); isReserved || retryAfter != 0 {
		t.Errorf("maximum 0: got Retry-After %d, reserved %t, want neither", retryAfter, isReserved)
	}
}

// Reserved cost increases the time to serve other requests.
func TestTimeToServePassesOverReservedTime(t *testing.T) {
	const rate = 2.0
	table := newReservationTable(10, 1, 2*second, rand.New(rand.NewSource(1)))
	cost := float64(200 * millisecond)
	if got := table.timeToServe(0, 0, cost, rate); got != 100*millisecond {
		t.Errorf("without reservations: got %d, want 100 ms", got)
	}
	reservedCost := float64(50 * millisecond)
	if _, isReserved := table.reserve(0, &trackedRequest{cost: reservedCost}, rate, 0); !isReserved {
		t.Fatal("no capacity was reserved")
	}
	if got := table.timeToServe(0, 0, cost, rate); got < 120*millisecond || got > 130*millisecond {
		t.Errorf("with a reservation of 50 ms of work: got %d, want about 125 ms", got)
	}
}
