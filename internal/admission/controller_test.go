package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testController is a door with the account of a test: what each txn has been told, by its id.
type testController struct {
	*Controller
	now          Micros
	finalAnswers map[uint64]int
	unanswered   map[uint64]bool // arrived, without a final answer
	inProgress   map[uint64]bool
	coalesced    map[uint64][]uint64
	rejected     map[uint64]Command
	admitted     []uint64 // admitted, in order
}

var testClasses = []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}, {LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 5, Keyed: true}}

func newTestController(weights []float64, limits Limits, coalescesRetries bool) *testController {
	var tenants []Tenant
	for _, weight := range weights {
		tenants = append(tenants, Tenant{weight})
	}
	return &testController{
		Controller: New(testClasses, tenants, limits, RetryAfterLimits{Max: 2 * second}, coalescesRetries, 7), finalAnswers: map[uint64]int{}, unanswered: map[uint64]bool{},
		inProgress: map[uint64]bool{}, coalesced: map[uint64][]uint64{}, rejected: map[uint64]Command{},
	}
}

func (c *testController) recordFinalAnswer(id uint64) { c.finalAnswers[id]++; delete(c.unanswered, id) }

func (c *testController) apply(commands []Command) {
	for _, command := range commands {
		switch command.Kind {
		case Admit:
			c.inProgress[command.ID] = true
			c.admitted = append(c.admitted, command.ID)
		case Reject:
			c.recordFinalAnswer(command.ID)
			c.rejected[command.ID] = command
		case Coalesce:
			c.coalesced[command.LeaderID] = append(c.coalesced[command.LeaderID], command.ID)
		}
	}
}

func (c *testController) arrive(arrival Arrival) {
	c.unanswered[arrival.ID] = true
	if arrival.Deadline == 0 {
		arrival.Deadline = c.now + testClasses[arrival.Class].Timeout
	}
	c.apply(c.Arrive(c.now, arrival))
}

func (c *testController) finish(id uint64, result Result) {
	if !c.inProgress[id] {
		return
	}
	delete(c.inProgress, id)
	c.recordFinalAnswer(id)
	for _, follower := range c.coalesced[id] {
		c.recordFinalAnswer(follower)
	}
	delete(c.coalesced, id)
	c.apply(c.Finish(c.now, id, result))
}

// advance lets time pass, with the bells that are due.
func (c *testController) advance(duration Micros) {
	for end := c.now + duration; ; {
		next := c.NextTimer()
		if next == 0 || next > end {
			c.now = end
			return
		}
		c.now = max(c.now, next)
		c.apply(c.TimerFired(c.now))
	}
}

func drawKey[V any](t *rapid.T, values map[uint64]V, label string) (uint64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	keys := slices.Sorted(maps.Keys(values))
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, label)], true
}

// Over any interleaving of arrivals, endings, clients that go and a drain, each txn gets one final answer, nobody is in
// twice under one reference, and the bound holds.
func TestEveryRequestGetsOneFinalAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coalescesRetries := rapid.Bool().Draw(t, "shared")
		limits := Limits{Requests: rapid.IntRange(3, 60).Draw(t, "room"), Bytes: 20000, Queues: 4}
		c := newTestController([]float64{0.5, 0.3, 0.2}, limits, coalescesRetries)
		idempotencyKeys := map[uint64]uint64{} // of those in
		isDraining := false
		for id := uint64(1); id < 400; id++ {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				arrival := Arrival{
					ID: id, Tenant: rapid.IntRange(-1, 4).Draw(t, "tenant"), Client: rapid.Uint64Range(1, 9).Draw(t, "client"),
					Class: rapid.IntRange(0, 1).Draw(t, "product"), Key: rapid.Uint64Range(0, 12).Draw(t, "key"),
					IsRetry: rapid.Bool().Draw(t, "repeat"), CostHint: rapid.Int64Range(0, 50*millisecond).Draw(t, "work"),
					Deadline: c.now + rapid.Int64Range(1, 3*second).Draw(t, "expires"), Bytes: rapid.IntRange(0, 900).Draw(t, "bytes"),
				}
				c.arrive(arrival)
				if arrival.Class == 1 && arrival.Key > 0 {
					idempotencyKeys[id] = arrival.Key<<8 | uint64(arrival.Tenant&7)
				}
			case 5, 6, 7:
				if picked, is := drawKey(t, c.inProgress, "ended"); is {
					if rapid.Bool().Draw(t, "sent") {
						c.apply(c.AttemptSent(c.now, picked))
					}
					c.finish(picked, Result(rapid.IntRange(0, 3).Draw(t, "how")))
				}
			case 8:
				if picked, is := drawKey(t, c.unanswered, "gone"); is && !c.inProgress[picked] {
					isCoalesced := false
					for _, followers := range c.coalesced {
						for _, status := range followers {
							isCoalesced = isCoalesced || status == picked
						}
					}
					if !isCoalesced {
						c.recordFinalAnswer(picked)
						c.apply(c.Abandon(c.now, picked))
					}
				}
			case 9:
				c.advance(rapid.Int64Range(1, 300*millisecond).Draw(t, "time"))
				if id > 300 && !isDraining {
					isDraining = true
					c.apply(c.Drain(c.now, c.now+second))
				}
			}
			status := c.Status()
			if status.Waiting+status.InProgress > limits.Requests && status.InProgress <= limits.Requests || status.Bytes > limits.Bytes && status.Waiting > 0 {
				t.Fatalf("bound %+v is passed: %+v", limits, status)
			}
			if status.InProgress != len(c.inProgress) {
				t.Fatalf("%d are in, the door counts %d", len(c.inProgress), status.InProgress)
			}
			holders := map[uint64]uint64{}
			for admitted := range c.inProgress {
				if key := idempotencyKeys[admitted]; key != 0 && holders[key] != 0 {
					t.Fatalf("%d and %d of one reference are in together", holders[key], admitted)
				}
				holders[idempotencyKeys[admitted]] = admitted
			}
		}
		for id := range c.inProgress {
			c.finish(id, Succeeded)
		}
		for range 40 {
			c.advance(200 * millisecond)
			for id := range c.inProgress {
				c.finish(id, Succeeded)
			}
		}
		if status := c.Status(); status.Waiting+status.InProgress > 0 || len(c.unanswered) > 0 || status.Bytes != 0 || len(c.requests)+len(c.byRetryKey) > 0 {
			t.Fatalf("left at the end: %+v, %d open, %d tickets, %d tries", status, len(c.unanswered), len(c.requests), len(c.byRetryKey))
		}
		for id, count := range c.finalAnswers {
			if count != 1 {
				t.Fatalf("txn %d has %d final answers", id, count)
			}
		}
	})
}

// Two tenants that always wait get work by their weights: the difference stays within the dearest txn of each, whatever
// their txns cost and however many they send.
func TestCostIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []float64{rapid.Float64Range(0.1, 1).Draw(t, "w0"), rapid.Float64Range(0.1, 1).Draw(t, "w1")}
		c := newTestController(weights, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		c.concurrency.current, c.concurrency.inSlowStart = 1, false
		c.meanResponseTime = float64(millisecond)
		costs, largest, id := map[uint64]float64{}, [2]float64{}, uint64(0)
		feed := func(tenant int) {
			for c.tenants[tenant].waitingCount < 30 {
				id++
				cost := rapid.Int64Range(20*millisecond, 60*millisecond).Draw(t, "work")
				costs[id], largest[tenant] = float64(cost)/weights[tenant], max(largest[tenant], float64(cost)/weights[tenant])
				c.arrive(Arrival{ID: id, Tenant: tenant, Client: id % uint64(3+20*tenant), CostHint: cost, Deadline: c.now + 1000*second})
			}
		}
		c.classes[0].LatencyObjective = 1000 * second
		defer func() { testClasses[0].LatencyObjective = second }()
		c.meanCosts[0] = float64(40 * millisecond)
		served, tenantOf := [2]float64{}, map[uint64]int{}
		for range 150 {
			for tenant := range 2 {
				before := id
				feed(tenant)
				for n := before + 1; n <= id; n++ {
					tenantOf[n] = tenant
				}
			}
			last := c.admitted[len(c.admitted)-1]
			served[tenantOf[last]] += costs[last]
			c.finish(last, Succeeded)
			c.concurrency.current = 1
			if gap := math.Abs(served[0] - served[1]); gap > largest[0]+largest[1]+1 {
				t.Fatalf("work by weight %v differs by %.0f, the dearest are %v", served, gap, largest)
			}
		}
	})
}

// flood fills the door with txns of one tenant.
func flood(c *testController, tenant, count int, firstID uint64) uint64 {
	for i := range count {
		c.arrive(Arrival{ID: firstID + uint64(i), Tenant: tenant, Client: uint64(i) % 50, CostHint: 20 * millisecond})
	}
	return firstID + uint64(count)
}

func fixLimit(c *testController, ceiling float64) {
	c.concurrency = concurrencyLimit{current: ceiling, ceiling: ceiling, roundStart: math.MaxInt64 / 2}
	c.meanResponseTime = 20000
}

// When there is no room, the one who came last is not the one to go, unless it is his tenant that fills it.
func TestOverloadEvictsFromTenantOverItsShare(t *testing.T) {
	c := newTestController([]float64{0.5, 0.5}, Limits{Requests: 40, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 10)
	id := flood(c, 0, 40, 1)
	for i := range 5 {
		c.arrive(Arrival{ID: id + uint64(i), Tenant: 1, Client: uint64(i), CostHint: 20 * millisecond})
	}
	if c.Tenant(1).Waiting != 5 {
		t.Errorf("of five quiet txns %d wait; refused %v", c.Tenant(1).Waiting, c.Counters.Rejected)
	}
	for i := range 5 {
		if command, found := c.rejected[id+uint64(i)]; found {
			t.Errorf("quiet txn was refused: %+v", command)
		}
	}
}

// One noisy client of a tenant does not spoil the others' queues.
func TestNoisyClientIsIsolated(t *testing.T) {
	controller := newTestController([]float64{1}, Limits{Requests: 2000, Bytes: 1 << 30, Queues: 64}, false)
	fixLimit(controller, 4)
	controller.classes = []RequestClass{{LatencyObjective: 1000 * second, Timeout: 1000 * second, PriorityWeight: 1}}
	for id := uint64(1); id <= 400; id++ {
		controller.arrive(Arrival{ID: id, Client: 1, CostHint: 20 * millisecond, Deadline: 1000 * second})
	}
	affected := 0
	for client := uint64(2); client < 102; client++ {
		controller.arrive(Arrival{ID: 1000 + client, Client: client, CostHint: 20 * millisecond, Deadline: 1000 * second})
		if queue := controller.requests[1000+client].queue; queue.length > 20 {
			affected++
		}
	}
	if affected > 2 {
		t.Errorf("%d of 100 clients stand behind the noisy one", affected)
	}
}

// A next try takes its first one's place while that waits, waits for its end while it is in, and is a txn of its own
// when that is over.
func TestRetryJoinsEarlierAttempt(t *testing.T) {
	for _, coalescesRetries := range []bool{false, true} {
		c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, coalescesRetries)
		fixLimit(c, 1)
		c.arrive(Arrival{ID: 1, Client: 1, Class: 1, Key: 5, CostHint: 5 * millisecond})
		c.arrive(Arrival{ID: 2, Client: 2, Class: 1, Key: 6, CostHint: 5 * millisecond})
		c.arrive(Arrival{ID: 3, Client: 3, Class: 1, Key: 7, CostHint: 5 * millisecond})
		c.advance(50 * millisecond)
		c.arrive(Arrival{ID: 4, Client: 2, Class: 1, Key: 6, CostHint: 5 * millisecond, Deadline: c.now + second})
		if command := c.rejected[2]; command.Reason != Replaced {
			t.Fatalf("first try was told %+v", command)
		}
		if retry := c.requests[4]; retry.firstArrival != 0 || retry.waitDeadline != 500*millisecond {
			t.Errorf("next try has its own time: came %d, gives up %d", retry.firstArrival, retry.waitDeadline)
		}
		c.arrive(Arrival{ID: 5, Client: 1, Class: 1, Key: 5}) // its first is in
		if len(c.inProgress) != 1 {
			t.Fatalf("two of one reference are in: %v", c.inProgress)
		}
		c.finish(1, Succeeded)
		switch {
		case coalescesRetries && c.finalAnswers[5] != 1:
			t.Error("next try did not get its first one's answer")
		case !coalescesRetries && (c.finalAnswers[5] != 0 || c.requests[5] == nil):
			t.Error("next try is not in line after its first one's end")
		}
		for range 3 {
			for id := range c.inProgress {
				c.finish(id, Succeeded)
			}
		}
		c.arrive(Arrival{ID: 9, Client: 1, Class: 1, Key: 5})
		if !c.inProgress[9] {
			t.Error("a reference that is over was not let in anew")
		}
		if want := []uint64{1, 4}; fmt.Sprint(c.admitted[:2]) != fmt.Sprint(want) {
			t.Errorf("went in %v, want %v first", c.admitted, want)
		}
	}
}

// Inquiries of many clients on one thing are their own: only one that is marked as a next try joins.
func TestUnkeyedRequestsJoinOnlyAsRetries(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 1)
	for id := uint64(1); id <= 4; id++ {
		c.arrive(Arrival{ID: id, Client: 3, Key: 9, CostHint: 5 * millisecond, IsRetry: id == 4})
	}
	if c.Counters.Rejoined != 1 || c.rejected[3].Reason != Replaced || len(c.rejected) != 1 {
		t.Errorf("joined %d, refused %v", c.Counters.Rejoined, c.rejected)
	}
}

// Who is turned away is told a time, and goes in at once when it comes then; the calendar books no more than its tenant's part.
func TestReservationsAreHonored(t *testing.T) {
	c := newTestController([]float64{0.5, 0.5}, Limits{Requests: 60, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 8)
	random := rand.New(rand.NewSource(3))
	type returningClient struct {
		at Micros
		a  Arrival
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
		arrive := func(arrival Arrival, returned bool) {
			c.arrive(arrival)
			if command, found := c.rejected[arrival.ID]; found && command.RetryAfter > 0 {
				if command.RetryAfter > 2*second {
					t.Fatalf("told %d, over the longest wait", command.RetryAfter)
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
				client.a.ID = id
				client.a.Deadline = 0
				hasReservation := c.reservations.byRetryKey[c.retryKeyOf(&client.a)] != nil
				arrive(client.a, true)
				if hasReservation {
					returned++
					honored += int(c.Counters.ReservationsHonored - before)
				}
			}
		}
		if random.Float64() < 0.8 { // twice what the door lets in, all of one tenant
			id++
			arrive(Arrival{ID: id, Tenant: 0, Client: id, Key: id, Class: 1, CostHint: 20 * millisecond}, false)
		}
	}
	if returned < 100 || float64(honored) < 0.9*float64(returned) {
		t.Errorf("%d of %d who came at their time went in at once; %+v", honored, returned, c.Counters)
	}
}

// What will not get in in time is told so at once, and what was wrongly hoped for at its time.
func TestRequestThatCannotMeetItsDeadlineIsRejectedOnArrival(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 500, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 1)
	c.meanResponseTime = float64(100 * millisecond)
	for id := uint64(1); id <= 100; id++ {
		c.arrive(Arrival{ID: id, Client: id, CostHint: 100 * millisecond})
	}
	if waiting := c.Status().Waiting; waiting > 8 || waiting < 2 {
		t.Errorf("%d wait for half a second of work", waiting)
	}
	c.advance(600 * millisecond)
	if waiting := c.Status().Waiting; waiting != 0 {
		t.Errorf("%d still wait after their time", waiting)
	}
}

// A drain tells those who will not get in at once, and leaves nobody.
func TestDrainEmptiesTheQueues(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 500, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 1)
	flood(c, 0, 20, 1)
	c.apply(c.Drain(c.now, c.now+100*millisecond))
	if waiting := c.Status().Waiting; waiting > 8 || waiting < 2 { // of 19, to within one a queue
		t.Errorf("%d wait when there is time for five", waiting)
	}
	c.advance(150 * millisecond)
	if waiting := c.Status().Waiting; waiting != 0 {
		t.Errorf("%d wait after the drain", waiting)
	}
	c.arrive(Arrival{ID: 900, Client: 1, CostHint: millisecond})
	if c.rejected[900].Reason == NoReason {
		t.Error("a txn after the drain waits")
	}
}

// The limit follows what finds a way: down when the module holds txns, up again when it doesn't, at any speed of answers.
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
					id := uint64(c.Counters.Arrived + 1)
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
			t.Errorf("answers in %d us, 50 at a time: the limit is %.0f", responseTime, limit)
		}
		runUntil(10, 12*second)
		if limit := c.Status().Limit; limit < 9 || limit > 10+minUnsentAllowance+4 {
			t.Errorf("answers in %d us, 10 at a time: the limit is %.0f", responseTime, limit)
		}
		runUntil(50, 20*second)
		if limit := c.Status().Limit; limit < 45 || limit > 90 {
			t.Errorf("answers in %d us, 50 again: the limit is %.0f", responseTime, limit)
		}
	}
}

// Clients that come once leave nothing behind.
func TestRecordsStayBounded(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 16}, false)
	peak := 0
	for id := uint64(1); id <= 50000; id++ {
		c.now += millisecond / 4
		c.arrive(Arrival{ID: id, Client: id, Key: id, Class: 1, CostHint: 20 * millisecond})
		c.advance(0)
		if id%5 == 0 {
			for admitted := range c.inProgress {
				c.finish(admitted, Succeeded)
				break
			}
		}
		peak = max(peak, len(c.requests)+len(c.byRetryKey)+len(c.reservations.byRetryKey)+len(c.reservations.free))
		clear(c.rejected)
	}
	if peak > 500 {
		t.Errorf("%d records are kept", peak)
	}
}

// One txn in and out, with some queues and with many.
func BenchmarkAdmitAndFinish(b *testing.B) {
	for _, queues := range []int{10, 10000} {
		b.Run(fmt.Sprint(queues), func(b *testing.B) {
			c := New(testClasses, []Tenant{{0.5}, {0.5}}, Limits{Requests: 100000, Bytes: 1 << 40, Queues: queues}, RetryAfterLimits{}, false, 7)
			c.concurrency = concurrencyLimit{current: 1, ceiling: 1, roundStart: math.MaxInt64 / 2}
			c.classes = []RequestClass{{LatencyObjective: math.MaxInt64 / 4, Timeout: math.MaxInt64 / 4, PriorityWeight: 1}}
			now, id, admitted := Micros(1), uint64(0), uint64(1)
			arrive := func() {
				id++
				for _, command := range c.Arrive(now, Arrival{ID: id, Tenant: int(id & 1), Client: id * 7, CostHint: millisecond, Deadline: math.MaxInt64 / 4}) {
					if command.Kind == Admit {
						admitted = command.ID
					}
				}
			}
			for range 2*queues + 10 {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 10
				arrive()
				for _, command := range c.Finish(now, admitted, Succeeded) {
					if command.Kind == Admit {
						admitted = command.ID
					}
				}
			}
		})
	}
}
