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

// rig is a door with the account of a test: what each txn has been told, by its id.
type rig struct {
	*Controller
	now     Micros
	finals  map[uint64]int
	open    map[uint64]bool // arrived, without a final answer
	in      map[uint64]bool
	shares  map[uint64][]uint64
	refused map[uint64]Command
	order   []uint64 // admitted, in order
}

var goods = []RequestClass{{LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 1}, {LatencyObjective: second, Timeout: 3 * second, PriorityWeight: 5, Keyed: true}}

func newRig(shares []float64, room Limits, shared bool) *rig {
	var ts []Tenant
	for _, s := range shares {
		ts = append(ts, Tenant{s})
	}
	return &rig{
		Controller: New(goods, ts, room, RetryAfterLimits{Max: 2 * second}, shared, 7), finals: map[uint64]int{}, open: map[uint64]bool{},
		in: map[uint64]bool{}, shares: map[uint64][]uint64{}, refused: map[uint64]Command{},
	}
}

func (r *rig) final(id uint64) { r.finals[id]++; delete(r.open, id) }

func (r *rig) do(orders []Command) {
	for _, o := range orders {
		switch o.Kind {
		case Admit:
			r.in[o.ID] = true
			r.order = append(r.order, o.ID)
		case Reject:
			r.final(o.ID)
			r.refused[o.ID] = o
		case Coalesce:
			r.shares[o.LeaderID] = append(r.shares[o.LeaderID], o.ID)
		}
	}
}

func (r *rig) arrive(a Arrival) {
	r.open[a.ID] = true
	if a.Deadline == 0 {
		a.Deadline = r.now + goods[a.Class].Timeout
	}
	r.do(r.Arrive(r.now, a))
}

func (r *rig) end(id uint64, how Result) {
	if !r.in[id] {
		return
	}
	delete(r.in, id)
	r.final(id)
	for _, s := range r.shares[id] {
		r.final(s)
	}
	delete(r.shares, id)
	r.do(r.Finish(r.now, id, how))
}

// step lets time pass, with the bells that are due.
func (r *rig) step(by Micros) {
	for end := r.now + by; ; {
		next := r.NextTimer()
		if next == 0 || next > end {
			r.now = end
			return
		}
		r.now = max(r.now, next)
		r.do(r.TimerFired(r.now))
	}
}

func keyOf[V any](t *rapid.T, m map[uint64]V, what string) (uint64, bool) {
	if len(m) == 0 {
		return 0, false
	}
	keys := slices.Sorted(maps.Keys(m))
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, what)], true
}

// Over any interleaving of arrivals, endings, clients that go and a drain, each txn gets one final answer, nobody is in
// twice under one reference, and the bound holds.
func TestEveryTxnEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.Bool().Draw(t, "shared")
		room := Limits{Requests: rapid.IntRange(3, 60).Draw(t, "room"), Bytes: 20000, Queues: 4}
		r := newRig([]float64{0.5, 0.3, 0.2}, room, shared)
		ref := map[uint64]uint64{} // of those in
		drained := false
		for id := uint64(1); id < 400; id++ {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				a := Arrival{
					ID: id, Tenant: rapid.IntRange(-1, 4).Draw(t, "tenant"), Client: rapid.Uint64Range(1, 9).Draw(t, "client"),
					Class: rapid.IntRange(0, 1).Draw(t, "product"), Key: rapid.Uint64Range(0, 12).Draw(t, "key"),
					IsRetry: rapid.Bool().Draw(t, "repeat"), CostHint: rapid.Int64Range(0, 50*ms).Draw(t, "work"),
					Deadline: r.now + rapid.Int64Range(1, 3*second).Draw(t, "expires"), Bytes: rapid.IntRange(0, 900).Draw(t, "bytes"),
				}
				r.arrive(a)
				if a.Class == 1 && a.Key > 0 {
					ref[id] = a.Key<<8 | uint64(a.Tenant&7)
				}
			case 5, 6, 7:
				if some, is := keyOf(t, r.in, "ended"); is {
					if rapid.Bool().Draw(t, "sent") {
						r.do(r.AttemptSent(r.now, some))
					}
					r.end(some, Result(rapid.IntRange(0, 3).Draw(t, "how")))
				}
			case 8:
				if some, is := keyOf(t, r.open, "gone"); is && !r.in[some] {
					shares := false
					for _, of := range r.shares {
						for _, s := range of {
							shares = shares || s == some
						}
					}
					if !shares {
						r.final(some)
						r.do(r.Abandon(r.now, some))
					}
				}
			case 9:
				r.step(rapid.Int64Range(1, 300*ms).Draw(t, "time"))
				if id > 300 && !drained {
					drained = true
					r.do(r.Drain(r.now, r.now+second))
				}
			}
			s := r.Status()
			if s.Waiting+s.InProgress > room.Requests && s.InProgress <= room.Requests || s.Bytes > room.Bytes && s.Waiting > 0 {
				t.Fatalf("bound %+v is passed: %+v", room, s)
			}
			if s.InProgress != len(r.in) {
				t.Fatalf("%d are in, the door counts %d", len(r.in), s.InProgress)
			}
			held := map[uint64]uint64{}
			for in := range r.in {
				if k := ref[in]; k != 0 && held[k] != 0 {
					t.Fatalf("%d and %d of one reference are in together", held[k], in)
				}
				held[ref[in]] = in
			}
		}
		for id := range r.in {
			r.end(id, Succeeded)
		}
		for range 40 {
			r.step(200 * ms)
			for id := range r.in {
				r.end(id, Succeeded)
			}
		}
		if s := r.Status(); s.Waiting+s.InProgress > 0 || len(r.open) > 0 || s.Bytes != 0 || len(r.tickets)+len(r.tries) > 0 {
			t.Fatalf("left at the end: %+v, %d open, %d tickets, %d tries", s, len(r.open), len(r.tickets), len(r.tries))
		}
		for id, n := range r.finals {
			if n != 1 {
				t.Fatalf("txn %d has %d final answers", id, n)
			}
		}
	})
}

// Two tenants that always wait get work by their weights: the difference stays within the dearest txn of each, whatever
// their txns cost and however many they send.
func TestFairByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := []float64{rapid.Float64Range(0.1, 1).Draw(t, "w0"), rapid.Float64Range(0.1, 1).Draw(t, "w1")}
		r := newRig(w, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		r.limit.now, r.limit.quick = 1, false
		r.took = float64(ms)
		costs, most, id := map[uint64]float64{}, [2]float64{}, uint64(0)
		feed := func(tenant int) {
			for r.tenants[tenant].n < 30 {
				id++
				work := rapid.Int64Range(20*ms, 60*ms).Draw(t, "work")
				costs[id], most[tenant] = float64(work)/w[tenant], max(most[tenant], float64(work)/w[tenant])
				r.arrive(Arrival{ID: id, Tenant: tenant, Client: id % uint64(3+20*tenant), CostHint: work, Deadline: r.now + 1000*second})
			}
		}
		r.products[0].LatencyObjective = 1000 * second
		defer func() { goods[0].LatencyObjective = second }()
		r.usual[0] = float64(40 * ms)
		served, of := [2]float64{}, map[uint64]int{}
		for range 150 {
			for tenant := range 2 {
				before := id
				feed(tenant)
				for n := before + 1; n <= id; n++ {
					of[n] = tenant
				}
			}
			last := r.order[len(r.order)-1]
			served[of[last]] += costs[last]
			r.end(last, Succeeded)
			r.limit.now = 1
			if gap := math.Abs(served[0] - served[1]); gap > most[0]+most[1]+1 {
				t.Fatalf("work by weight %v differs by %.0f, the dearest are %v", served, gap, most)
			}
		}
	})
}

// flood fills the door with txns of one tenant.
func flood(r *rig, tenant, many int, from uint64) uint64 {
	for i := range many {
		r.arrive(Arrival{ID: from + uint64(i), Tenant: tenant, Client: uint64(i) % 50, CostHint: 20 * ms})
	}
	return from + uint64(many)
}

func narrow(r *rig, most float64) {
	r.limit = limit{now: most, cap: most, roundAt: math.MaxInt64 / 2}
	r.took = 20000
}

// When there is no room, the one who came last is not the one to go, unless it is his tenant that fills it.
func TestNoRoomTakesFromWhoFills(t *testing.T) {
	r := newRig([]float64{0.5, 0.5}, Limits{Requests: 40, Bytes: 1 << 20, Queues: 8}, false)
	narrow(r, 10)
	id := flood(r, 0, 40, 1)
	for i := range 5 {
		r.arrive(Arrival{ID: id + uint64(i), Tenant: 1, Client: uint64(i), CostHint: 20 * ms})
	}
	if r.Tenant(1).Waiting != 5 {
		t.Errorf("of five quiet txns %d wait; refused %v", r.Tenant(1).Waiting, r.Counters.Rejected)
	}
	for i := range 5 {
		if o, is := r.refused[id+uint64(i)]; is {
			t.Errorf("quiet txn was refused: %+v", o)
		}
	}
}

// One noisy client of a tenant does not spoil the others' queues.
func TestNoisyClientKeepsItsHands(t *testing.T) {
	r := newRig([]float64{1}, Limits{Requests: 2000, Bytes: 1 << 30, Queues: 64}, false)
	narrow(r, 4)
	r.products = []RequestClass{{LatencyObjective: 1000 * second, Timeout: 1000 * second, PriorityWeight: 1}}
	for id := uint64(1); id <= 400; id++ {
		r.arrive(Arrival{ID: id, Client: 1, CostHint: 20 * ms, Deadline: 1000 * second})
	}
	spoilt := 0
	for c := uint64(2); c < 102; c++ {
		r.arrive(Arrival{ID: 1000 + c, Client: c, CostHint: 20 * ms, Deadline: 1000 * second})
		if q := r.tickets[1000+c].queue; q.n > 20 {
			spoilt++
		}
	}
	if spoilt > 2 {
		t.Errorf("%d of 100 clients stand behind the noisy one", spoilt)
	}
}

// A next try takes its first one's place while that waits, waits for its end while it is in, and is a txn of its own
// when that is over.
func TestNextTryJoinsItsFirst(t *testing.T) {
	for _, shared := range []bool{false, true} {
		r := newRig([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, shared)
		narrow(r, 1)
		r.arrive(Arrival{ID: 1, Client: 1, Class: 1, Key: 5, CostHint: 5 * ms})
		r.arrive(Arrival{ID: 2, Client: 2, Class: 1, Key: 6, CostHint: 5 * ms})
		r.arrive(Arrival{ID: 3, Client: 3, Class: 1, Key: 7, CostHint: 5 * ms})
		r.step(50 * ms)
		r.arrive(Arrival{ID: 4, Client: 2, Class: 1, Key: 6, CostHint: 5 * ms, Deadline: r.now + second})
		if o := r.refused[2]; o.Reason != Replaced {
			t.Fatalf("first try was told %+v", o)
		}
		if at := r.tickets[4]; at.came != 0 || at.giveUp != 500*ms {
			t.Errorf("next try has its own time: came %d, gives up %d", at.came, at.giveUp)
		}
		r.arrive(Arrival{ID: 5, Client: 1, Class: 1, Key: 5}) // its first is in
		if len(r.in) != 1 {
			t.Fatalf("two of one reference are in: %v", r.in)
		}
		r.end(1, Succeeded)
		switch {
		case shared && r.finals[5] != 1:
			t.Error("next try did not get its first one's answer")
		case !shared && (r.finals[5] != 0 || r.tickets[5] == nil):
			t.Error("next try is not in line after its first one's end")
		}
		for range 3 {
			for id := range r.in {
				r.end(id, Succeeded)
			}
		}
		r.arrive(Arrival{ID: 9, Client: 1, Class: 1, Key: 5})
		if !r.in[9] {
			t.Error("a reference that is over was not let in anew")
		}
		if want := []uint64{1, 4}; fmt.Sprint(r.order[:2]) != fmt.Sprint(want) {
			t.Errorf("went in %v, want %v first", r.order, want)
		}
	}
}

// Inquiries of many clients on one thing are their own: only one that is marked as a next try joins.
func TestInquiriesOnOneThingDoNotJoin(t *testing.T) {
	r := newRig([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, false)
	narrow(r, 1)
	for id := uint64(1); id <= 4; id++ {
		r.arrive(Arrival{ID: id, Client: 3, Key: 9, CostHint: 5 * ms, IsRetry: id == 4})
	}
	if r.Counters.Rejoined != 1 || r.refused[3].Reason != Replaced || len(r.refused) != 1 {
		t.Errorf("joined %d, refused %v", r.Counters.Rejoined, r.refused)
	}
}

// Who is turned away is told a time, and goes in at once when it comes then; the calendar books no more than its tenant's part.
func TestPromisesAreKept(t *testing.T) {
	r := newRig([]float64{0.5, 0.5}, Limits{Requests: 60, Bytes: 1 << 20, Queues: 8}, false)
	narrow(r, 8)
	chance := rand.New(rand.NewSource(3))
	type back struct {
		at Micros
		a  Arrival
	}
	var due []back
	id, kept, came := uint64(1), 0, 0
	ends := map[uint64]Micros{}
	for now := Micros(0); now < 20*second; now += ms {
		r.step(now - r.now)
		for in := range r.in {
			if at, is := ends[in]; !is {
				ends[in] = now + 20*ms
			} else if now >= at {
				r.do(r.AttemptSent(now, in))
				r.end(in, Succeeded)
				delete(ends, in)
			}
		}
		arrive := func(a Arrival, returned bool) {
			r.arrive(a)
			if o, is := r.refused[a.ID]; is && o.RetryAfter > 0 {
				if o.RetryAfter > 2*second {
					t.Fatalf("told %d, over the longest wait", o.RetryAfter)
				}
				due = append(due, back{now + o.RetryAfter, a})
			}
		}
		for i := 0; i < len(due); i++ {
			if b := due[i]; now >= b.at {
				due = append(due[:i], due[i+1:]...)
				i--
				before := r.Counters.ReservationsHonored
				id++
				b.a.ID = id
				b.a.Deadline = 0
				promised := r.promises.by[r.whoOf(&b.a)] != nil
				arrive(b.a, true)
				if promised {
					came++
					kept += int(r.Counters.ReservationsHonored - before)
				}
			}
		}
		if chance.Float64() < 0.8 { // twice what the door lets in, all of one tenant
			id++
			arrive(Arrival{ID: id, Tenant: 0, Client: id, Key: id, Class: 1, CostHint: 20 * ms}, false)
		}
	}
	if came < 100 || float64(kept) < 0.9*float64(came) {
		t.Errorf("%d of %d who came at their time went in at once; %+v", kept, came, r.Counters)
	}
}

// What will not get in in time is told so at once, and what was wrongly hoped for at its time.
func TestTooLateIsToldAtOnce(t *testing.T) {
	r := newRig([]float64{1}, Limits{Requests: 500, Bytes: 1 << 20, Queues: 8}, false)
	narrow(r, 1)
	r.took = float64(100 * ms)
	for id := uint64(1); id <= 100; id++ {
		r.arrive(Arrival{ID: id, Client: id, CostHint: 100 * ms})
	}
	if n := r.Status().Waiting; n > 8 || n < 2 {
		t.Errorf("%d wait for half a second of work", n)
	}
	r.step(600 * ms)
	if n := r.Status().Waiting; n != 0 {
		t.Errorf("%d still wait after their time", n)
	}
}

// A drain tells those who will not get in at once, and leaves nobody.
func TestDrainEmpties(t *testing.T) {
	r := newRig([]float64{1}, Limits{Requests: 500, Bytes: 1 << 20, Queues: 8}, false)
	narrow(r, 1)
	flood(r, 0, 20, 1)
	r.do(r.Drain(r.now, r.now+100*ms))
	if n := r.Status().Waiting; n > 8 || n < 2 { // of 19, to within one a queue
		t.Errorf("%d wait when there is time for five", n)
	}
	r.step(150 * ms)
	if n := r.Status().Waiting; n != 0 {
		t.Errorf("%d wait after the drain", n)
	}
	r.arrive(Arrival{ID: 900, Client: 1, CostHint: ms})
	if r.refused[900].Reason == NoReason {
		t.Error("a txn after the drain waits")
	}
}

// The limit follows what finds a way: down when the module holds txns, up again when it doesn't, at any speed of answers.
func TestLimitFollowsTheFleet(t *testing.T) {
	for _, slow := range []Micros{20 * ms, 100 * ms} {
		r := newRig([]float64{1}, Limits{Requests: 4000, Bytes: 1 << 30, Queues: 8}, false)
		r.products = []RequestClass{{LatencyObjective: 2 * second, Timeout: 5 * second, PriorityWeight: 1}}
		slots := 50
		type job struct {
			id uint64
			at Micros
		}
		var held, work []job
		phase := func(slots int, until Micros) {
			for ; r.now < until; r.step(ms) {
				for i := 0; i < len(work); i++ {
					if j := work[i]; r.now >= j.at {
						work = append(work[:i], work[i+1:]...)
						i--
						r.end(j.id, Succeeded)
					}
				}
				for n := r.Status().Waiting; n < 60; n++ {
					id := uint64(r.Counters.Arrived + 1)
					before := len(r.order)
					r.arrive(Arrival{ID: id, Client: id, CostHint: 20 * ms})
					if len(r.order) == before && r.Status().Waiting <= n {
						break
					}
				}
				for _, id := range r.order {
					held = append(held, job{id, r.now})
				}
				r.order = nil
				for len(held) > 0 && len(work) < slots {
					r.do(r.AttemptSent(r.now, held[0].id))
					work, held = append(work, job{held[0].id, r.now + slow}), held[1:]
				}
			}
		}
		phase(slots, 5*second)
		if l := r.Status().Limit; l < 45 || l > 90 {
			t.Errorf("answers in %d us, 50 at a time: the limit is %.0f", slow, l)
		}
		phase(10, 12*second)
		if l := r.Status().Limit; l < 9 || l > 10+keptLeast+4 {
			t.Errorf("answers in %d us, 10 at a time: the limit is %.0f", slow, l)
		}
		phase(50, 20*second)
		if l := r.Status().Limit; l < 45 || l > 90 {
			t.Errorf("answers in %d us, 50 again: the limit is %.0f", slow, l)
		}
	}
}

// Clients that come once leave nothing behind.
func TestNothingGrowsAtTheDoor(t *testing.T) {
	r := newRig([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 16}, false)
	most := 0
	for id := uint64(1); id <= 50000; id++ {
		r.now += ms / 4
		r.arrive(Arrival{ID: id, Client: id, Key: id, Class: 1, CostHint: 20 * ms})
		r.step(0)
		if id%5 == 0 {
			for in := range r.in {
				r.end(in, Succeeded)
				break
			}
		}
		most = max(most, len(r.tickets)+len(r.tries)+len(r.promises.by)+len(r.promises.spare))
		clear(r.refused)
	}
	if most > 500 {
		t.Errorf("%d records are kept", most)
	}
}

// One txn in and out, with some queues and with many.
func BenchmarkInAndOut(b *testing.B) {
	for _, queues := range []int{10, 10000} {
		b.Run(fmt.Sprint(queues), func(b *testing.B) {
			d := New(goods, []Tenant{{0.5}, {0.5}}, Limits{Requests: 100000, Bytes: 1 << 40, Queues: queues}, RetryAfterLimits{}, false, 7)
			d.limit = limit{now: 1, cap: 1, roundAt: math.MaxInt64 / 2}
			d.products = []RequestClass{{LatencyObjective: math.MaxInt64 / 4, Timeout: math.MaxInt64 / 4, PriorityWeight: 1}}
			now, id, first := Micros(1), uint64(0), uint64(1)
			arrive := func() {
				id++
				for _, o := range d.Arrive(now, Arrival{ID: id, Tenant: int(id & 1), Client: id * 7, CostHint: ms, Deadline: math.MaxInt64 / 4}) {
					if o.Kind == Admit {
						first = o.ID
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
				for _, o := range d.Finish(now, first, Succeeded) {
					if o.Kind == Admit {
						first = o.ID
					}
				}
			}
		})
	}
}
