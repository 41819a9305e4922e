// Package simulation plays the agent's own modules in simulated time, among modelled appliances and clients, for experiments at
// sizes that sockets don't reach. It owns the model and its account of what became of every txn; the module and the door
// run in it untouched. The same day and seed give the same figures.
package simulation

import (
	"container/heap"
	"math/rand"

	"switchfork/internal/admission"
	"switchfork/internal/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Day is what is played.
type Day struct {
	Seed       int64
	Seconds    int
	Appliances int
	Slots      int     // txns that an appliance works on at a time
	Work       int64   // mean work, in microseconds
	Load       float64 // of all tenants at their share, as a part of what the appliances can do
	Shares     []float64
	Noisy      []int   // tenants that send Times their share
	Times      float64 // 1: nobody does
	OneOff     int     // clients that come once, spread over the day
	FreshNames bool    // the noisy come under a new client name each time
	All        float64 // every tenant sends so many times its share; 0: as Load says
	SlowFrom   int64   // appliances are SlowBy times slower from then to SlowTo
	SlowTo     int64
	SlowBy     float64
}

// SLA and expiry of the one product that the days have, as multiples of its work: a txn has time for some queueing.
const slaWorks, expiryWorks = 20, 60

// Account is what became of a tenant's txns.
type Account struct {
	Offered, InTime, GivenUp int
	Settled                  int // within the day
	Tries, Refused           int
	Took                     *hdrhistogram.Histogram // from its coming, in microseconds
}

// Result is a day's outcome.
type Result struct {
	Tenants []Account
	Served  []float64 // work let in by tenant
	Count   admission.Counters
	Told    []float64 // of those turned away: what they were told over what was needed
	Limit   []float64 // once a second
}

// gate is what stands before the module: the door in one of its forms.
type gate struct {
	*admission.Controller
	tenant func(int) int // how the door sees a tenant
	told   int64         // what a refusal without a time tells; 0: nothing
	pass   func(now int64, tenant int) bool
}

// Kind of a gate.
type Kind string

const (
	Fair       Kind = "fair queues"
	NoCalendar Kind = "fair queues, no calendar"
	Fifo       Kind = "first in, first out"
	Bucket     Kind = "token bucket a tenant"
)

// txn is a client's txn, through all its tries.
type txn struct {
	tenant  int
	client  uint64
	key     uint64
	first   int64
	came    int64
	expires int64
	work    int64
	tries   int
	id      uint64
	on      *box
	done    bool
}

type box struct {
	id    uint32
	busy  int
	queue []*job
	slots int
}

type job struct {
	t    *txn
	id   uint64
	seq  int
	sent int64
}

type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type world struct {
	Day
	now    int64
	seq    int
	due    events
	chance *rand.Rand
	module policy.Router
	gate   gate
	boxes  []*box
	open   map[uint64]*txn
	nextID uint64
	bell   int64
	result *Result
	needs  [][]need // by tenant: who was turned away and when its room came
}

type need struct {
	target, told float64
	at           int64
}

// longestWait is what clients follow; backTries how often they come back.
const longestWait, backTries = 2 * second, 3

// Play plays a day before a kind of gate.
func Play(day Day, kind Kind) *Result {
	w := &world{Day: day, chance: rand.New(rand.NewSource(day.Seed)), open: map[uint64]*txn{}, result: &Result{}, bell: 1 << 60}
	n := len(day.Shares)
	w.needs = make([][]need, n)
	for range n {
		w.result.Tenants = append(w.result.Tenants, Account{Took: hdrhistogram.New(1, 100*second, 3)})
	}
	w.makeModule()
	w.makeGate(kind)
	w.arrivals()
	end := int64(day.Seconds) * second
	for s := int64(1); s <= int64(day.Seconds); s++ {
		w.at(s*second, func() { w.result.Limit = append(w.result.Limit, w.gate.Status().Limit) })
	}
	for len(w.due) > 0 {
		e := heap.Pop(&w.due).(event)
		if e.at > end+expiryWorks*day.Work+longestWait*backTries {
			break
		}
		w.now = e.at
		e.do()
	}
	w.result.Count = w.gate.Counters
	for i := range n {
		w.result.Served = append(w.result.Served, w.gate.Tenant(w.gate.tenant(i)).AdmittedCost)
	}
	return w.result
}

func (w *world) at(at int64, do func()) {
	w.seq++
	heap.Push(&w.due, event{max(at, w.now), w.seq, do})
}

// capacity is the work that the appliances do in a microsecond.
func (d *Day) capacity() float64 { return float64(d.Appliances * d.Slots) }

func (w *world) makeModule() {
	product := policy.RequestClass{Idempotency: policy.Idempotent, LatencyObjective: slaWorks * w.Work, Timeout: expiryWorks * w.Work, PriorityWeight: 1}
	w.module = policy.New(policy.Instance{Agents: 1, Seed: w.Seed}, []policy.RequestClass{product},
		policy.RolloutPlan{Caps: []float64{1}}, policy.VotingRules{Rule: policy.TimedStages, VoteLifetime: 4 * second, VotesToRollBack: 1},
		policy.ExposureLimit{Window: 4 * second, Allowance: 3}, policy.SlowStart{InitialCapacity: 0.3, Duration: 5 * second, OverloadMultiple: 2, OverloadAfter: 1500 * ms},
		policy.RetryLimits{MaxAttempts: 3, MaxRetryAfter: longestWait}, policy.Capabilities{HealthChecks: true}, policy.CostWeights{})
	list := policy.EndpointUpdate{Full: true}
	for i := range w.Appliances {
		w.boxes = append(w.boxes, &box{id: uint32(i + 1), slots: w.Slots})
		list.Endpoints = append(list.Endpoints, policy.Endpoint{ID: uint32(i + 1), Build: 1, State: policy.Ready, Weight: 1})
	}
	w.tell(list)
	w.tell(policy.RolloutUpdate{Build: 1, Phase: policy.Released, Cap: 1, Age: 100 * second})
}

func (w *world) makeGate(kind Kind) {
	products := []admission.RequestClass{{LatencyObjective: slaWorks * w.Work, Timeout: expiryWorks * w.Work, PriorityWeight: 1}}
	room := admission.Limits{Requests: 1000, Bytes: 1 << 30, Queues: 64}
	var shares []admission.Tenant
	for _, s := range w.Shares {
		shares = append(shares, admission.Tenant{Weight: s})
	}
	g := gate{tenant: func(t int) int { return t }, pass: func(int64, int) bool { return true }}
	waits := admission.RetryAfterLimits{Max: longestWait}
	switch kind {
	case NoCalendar:
		waits.Max, g.told = 0, longestWait
	case Fifo, Bucket:
		// One tenant with one queue is a line: who comes first goes first.
		shares, room.Queues, waits.Max, g.told = nil, 1, 0, longestWait
		g.tenant = func(int) int { return 0 }
	}
	if kind == Bucket {
		// Each tenant may send its share of what the appliances can do, and a second of it at once.
		full := make([]float64, len(w.Shares))
		last := make([]int64, len(w.Shares))
		for i, s := range w.Shares {
			full[i] = s * w.capacity() * float64(second)
		}
		g.pass = func(now int64, t int) bool {
			rate := w.Shares[t] * w.capacity()
			full[t] = min(full[t]+rate*float64(now-last[t]), rate*float64(second))
			last[t] = now
			if full[t] < float64(w.Work) {
				return false
			}
			full[t] -= float64(w.Work)
			return true
		}
	}
	g.Controller = admission.New(products, shares, room, waits, false, w.Seed)
	w.gate = g
}

// arrivals draws the day's txns ahead: they don't wait for answers.
func (w *world) arrivals() {
	noisy := map[int]bool{}
	for _, t := range w.Noisy {
		noisy[t] = w.Times > 1
	}
	for t, share := range w.Shares {
		own := rand.New(rand.NewSource(w.Seed*1000 + int64(t))) // the others' txns are the same with and without the noise
		rate := w.Load * share * w.capacity() / float64(w.Work)
		if w.All > 0 {
			rate = w.All * share * w.capacity() / float64(w.Work)
		}
		if noisy[t] {
			rate *= w.Times
		}
		var draw func(at int64)
		serial := uint64(0)
		draw = func(at int64) {
			if at > int64(w.Seconds)*second {
				return
			}
			w.at(at, func() {
				serial++
				client := uint64(t)<<32 + serial%20
				if noisy[t] && w.FreshNames {
					client = uint64(t)<<32 + serial + 1000
				}
				w.come(&txn{tenant: t, client: client, key: uint64(t)<<40 + serial, work: int64(own.ExpFloat64()*float64(w.Work)) + 1})
				draw(at + int64(own.ExpFloat64()/rate) + 1)
			})
		}
		draw(int64(own.ExpFloat64() / rate))
	}
	for i := range w.OneOff {
		w.at(int64(float64(i)/float64(w.OneOff)*float64(w.Seconds)*float64(second)), func() {
			w.come(&txn{tenant: i % len(w.Shares), client: 1<<50 + uint64(i), key: 1<<50 + uint64(i), work: int64(w.chance.ExpFloat64()*float64(w.Work)) + 1})
		})
	}
}

// come is a client's try.
func (w *world) come(t *txn) {
	a := &w.result.Tenants[t.tenant]
	if t.tries == 0 {
		t.first = w.now
		a.Offered++
	}
	t.tries++
	a.Tries++
	w.nextID++
	t.id, t.came, t.expires, t.done, t.on = w.nextID, w.now, w.now+expiryWorks*w.Work, false, nil
	w.open[t.id] = t
	if !w.gate.pass(w.now, t.tenant) {
		w.refused(t, w.gate.told)
		return
	}
	w.carry(w.gate.Arrive(w.now, admission.Arrival{
		ID: t.id, Tenant: w.gate.tenant(t.tenant), Client: t.client, Key: t.key,
		IsRetry: t.tries > 1, Deadline: t.expires, Bytes: 400,
	}))
}

// refused sends a client away, to come back when it was told, or never.
func (w *world) refused(t *txn, wait int64) {
	a := &w.result.Tenants[t.tenant]
	a.Refused++
	delete(w.open, t.id)
	if t.tries > backTries || wait == 0 {
		a.GivenUp++
		return
	}
	w.at(w.now+wait+int64(w.chance.Float64()*float64(3*ms)), func() { w.come(t) })
}

func (w *world) carry(orders []admission.Command) {
	for _, o := range orders {
		t := w.open[o.ID]
		if t == nil {
			continue
		}
		switch o.Kind {
		case admission.Admit:
			w.tell(policy.RequestArrived{ID: o.ID, Deadline: t.expires, ArrivedAt: t.came})
		case admission.Reject:
			wait := o.RetryAfter
			if w.gate.told > 0 && o.Reason != admission.Replaced {
				wait = w.gate.told
			}
			line := w.gate.Tenant(w.gate.tenant(t.tenant))
			if o.RetryAfter > 0 {
				w.needs[t.tenant] = append(w.needs[t.tenant], need{line.AdmittedCost + line.Cost + line.ReservedCost, float64(o.RetryAfter), w.now})
			}
			w.refused(t, wait)
		}
	}
	for i := range w.needs {
		served := w.gate.Tenant(w.gate.tenant(i)).AdmittedCost
		for len(w.needs[i]) > 0 && served >= w.needs[i][0].target {
			n := w.needs[i][0]
			w.needs[i] = w.needs[i][1:]
			if took := float64(w.now - n.at); took > 0 {
				w.result.Told = append(w.result.Told, n.told/took)
			}
		}
	}
	if next := w.gate.NextTimer(); next > 0 && next < w.bell {
		w.bell = next
		w.at(next, func() {
			if w.bell <= w.now {
				w.bell = 1 << 60
				w.carry(w.gate.TimerFired(w.now))
			}
		})
	}
}

// over tells the door that a txn's answer is out.
func (w *world) over(t *txn, how admission.Result) {
	if t.done {
		return
	}
	t.done = true
	a := &w.result.Tenants[t.tenant]
	id := t.id
	delete(w.open, id)
	switch how {
	case admission.Succeeded:
		if w.now <= int64(w.Seconds)*second {
			a.Settled++
		}
		took := w.now - t.came
		a.Took.RecordValue(took)
		if took <= slaWorks*w.Work {
			a.InTime++
		}
	case admission.Rejected:
		w.refused(t, longestWait)
	default:
		a.GivenUp++
	}
	w.at(w.now, func() { w.carry(w.gate.Finish(w.now, id, how)) })
}

// tell hands an event to the module and carries its orders out.
func (w *world) tell(ev policy.Event) {
	for _, o := range w.module.Handle(w.now, ev) {
		switch o := o.(type) {
		case policy.SetTimer:
			w.at(o.At, func() { w.tell(policy.TimerFired{Token: o.Token}) })
		case policy.SendAttempt:
			w.submit(o)
		case policy.Reject:
			if t := w.open[o.RequestID]; t != nil {
				w.over(t, admission.Rejected)
			}
		case policy.Fail:
			if t := w.open[o.RequestID]; t != nil {
				w.over(t, admission.Failed)
			}
		case policy.CheckHealth:
			w.at(w.now+ms, func() { w.tell(policy.HealthCheckResult{EndpointID: o.EndpointID, Elapsed: ms}) })
		}
	}
}

// wire is the way to an appliance, and back.
const wire = ms / 4

func (w *world) submit(o policy.SendAttempt) {
	t := w.open[o.RequestID]
	if t == nil {
		return
	}
	if t.on == nil {
		id := t.id
		w.at(w.now, func() { w.carry(w.gate.AttemptSent(w.now, id)) })
	}
	b := w.boxes[o.EndpointID-1]
	t.on = b
	j := &job{t: t, id: t.id, sent: w.now}
	if o.Timeout > 0 || t.expires > 0 {
		until := t.expires
		if o.Timeout > 0 {
			until = min(until, w.now+o.Timeout)
		}
		w.at(until, func() { w.answer(b, j, policy.TimedOut) })
	}
	w.at(w.now+wire, func() {
		if len(b.queue) >= 8*b.slots {
			w.at(w.now+wire, func() { w.answer(b, j, policy.Rejected) })
			return
		}
		b.queue = append(b.queue, j)
		w.work(b)
	})
}

func (w *world) work(b *box) {
	for b.busy < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.busy++
		took := float64(j.t.work)
		if w.SlowBy > 1 && w.now >= w.SlowFrom && w.now < w.SlowTo {
			took *= w.SlowBy
		}
		w.at(w.now+int64(took), func() {
			b.busy--
			w.at(w.now+wire, func() { w.answer(b, j, policy.OK) })
			w.work(b)
		})
	}
}

// answer ends a submission, once.
func (w *world) answer(b *box, j *job, how policy.Outcome) {
	if j.seq > 0 {
		return
	}
	j.seq = 1
	t := w.open[j.id]
	ended := policy.AttemptResult{RequestID: j.id, EndpointID: b.id, Outcome: how, Elapsed: w.now - j.sent, RequestDone: t == nil || how == policy.OK}
	if t != nil && how == policy.OK {
		w.over(t, admission.Succeeded)
	}
	w.tell(ended)
}
