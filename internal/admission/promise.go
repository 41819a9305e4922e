package admission

import (
	"container/heap"
	"math"
)

// This file owns the come-back times. Who is turned away is told when its tenant will have room, and the room is booked:
// for each tenant a calendar of the time ahead in equal slots, each of which holds the work that the tenant's part lets in
// meanwhile. Who comes back in its time goes in before those who wait. A promise is kept, broken, or not claimed.

const (
	// slots of a calendar, over the longest told wait.
	slots = 32
	// bookPart of its tenant's part of a slot may be promised: the rest is for those who wait and for what is counted
	// wrong. A tenant that floods is told the longest wait then, and nothing is promised.
	bookPart = 0.5
	// graceFor, beside a slot: clients sleep at least as long as they are told, and the way takes its time.
	graceFor, earlyBy = 100 * ms, 2 * ms
	// mostPart: the least of the longest wait that is told where no slot is left; the rest is chance, so that a thousand
	// who were refused together don't come back together.
	mostPart = 0.75
)

type promise struct {
	who    uint64
	at     Micros // when it was told to be back
	tenant int
	slot   int64
	cost   float64
	place  int
}

// verdict of a claim.
type claimed int

const (
	nothing claimed = iota
	onTime
	early
)

// book holds all promises.
type book struct {
	width   Micros // of a slot; 0: nothing is told
	most    int    // promises at a time
	by      map[uint64]*promise
	dues    promises
	spare   []*promise
	booked  [][slots + 1]float64 // by tenant and slot, round and round
	counted []int64              // the slot up to which a tenant's calendar is clean
	n       int
}

func (b *book) init(most, tenants int, wait Micros) {
	b.most, b.by = most, map[uint64]*promise{}
	b.booked, b.counted = make([][slots + 1]float64, tenants), make([]int64, tenants)
	if wait > 0 {
		b.width = max(wait/slots, 1)
	}
}

// give tells a ticket that is turned away when to come back; 0 where nothing may be told.
func (b *book) give(d *Controller, t *ticket) Micros {
	if b.width == 0 {
		return 0
	}
	far := d.waits.Max - Micros(d.chance.Float64()*(1-mostPart)*float64(d.waits.Max))
	if d.until > 0 || len(b.by) >= b.most {
		return far
	}
	if old := b.by[t.who]; old != nil {
		b.drop(old)
	}
	te := t.tenant
	part := d.part(te)
	cal := b.clean(t.Tenant, d.now)
	// Behind those who wait, as far as they leave it nothing.
	first := (d.now + Micros(min(te.cost*(1-bookPart)/part, float64(d.waits.Max)))) / b.width
	now, last := d.now/b.width, (d.now+d.waits.Max)/b.width
	booked := 0.0
	for s := now + 1; s < last; s++ {
		booked += cal[s%(slots+1)]
		if s < first || booked+t.cost > bookPart*part*float64(b.width)*float64(s-now) {
			continue
		}
		cal[s%(slots+1)] += t.cost
		p := b.fresh()
		*p = promise{
			who: t.who, tenant: t.Tenant, slot: s, cost: t.cost,
			at: s*b.width + Micros(d.chance.Float64()*float64(b.width)),
		}
		b.by[t.who] = p
		heap.Push(&b.dues, p)
		b.n = len(b.by)
		d.Counters.Reserved++
		return max(1, p.at-d.now)
	}
	return far
}

// until is how long a tenant needs for some work beside what it has been promised to others.
func (b *book) until(d *Controller, tenant int, work float64) Micros {
	part := d.part(d.tenants[tenant])
	if b.width == 0 || len(b.by) == 0 {
		return Micros(work / part)
	}
	cal := b.clean(tenant, d.now)
	for s, now := d.now/b.width, d.now; s <= d.now/b.width+slots; s++ {
		end := (s + 1) * b.width
		free := max(0, part*float64(end-now)-cal[s%(slots+1)])
		if free >= work {
			return now - d.now + Micros(work/free*float64(end-now))
		}
		work, now = work-free, end
	}
	return d.waits.Max + Micros(work/part)
}

// ahead is the work that a tenant has been promised room for and that has not come.
func (b *book) ahead(tenant int, now Micros) (work float64) {
	if b.width == 0 {
		return 0
	}
	for _, cost := range b.clean(tenant, now) {
		work += cost
	}
	return work
}

// clean empties the slots of a calendar that are over.
func (b *book) clean(tenant int, now Micros) *[slots + 1]float64 {
	cal, at := &b.booked[tenant], now/b.width
	for s := max(b.counted[tenant], at-slots-1); s < at; s++ {
		cal[s%(slots+1)] = 0
	}
	b.counted[tenant] = max(b.counted[tenant], at)
	return cal
}

// claim looks whether a ticket was told to come, and now.
func (b *book) claim(d *Controller, t *ticket) claimed {
	p := b.by[t.who]
	if p == nil {
		return nothing
	}
	how := onTime
	if d.now < p.at-earlyBy {
		how = early
		d.Counters.EarlyRetries++
		b.free(p)
	} else if d.now > p.at+b.width+graceFor {
		how = nothing
		d.Counters.ReservationsUnclaimed++
	}
	b.drop(p)
	return how
}

// sweep lets go of promises whose time is over.
func (b *book) sweep(d *Controller) {
	for len(b.dues) > 0 && b.dues[0].at+b.width+graceFor < d.now {
		d.Counters.ReservationsUnclaimed++
		b.drop(b.dues[0])
	}
}

// next is when the first promise is over; 0: there is none.
func (b *book) next() Micros {
	if len(b.dues) == 0 {
		return 0
	}
	return b.dues[0].at + b.width + graceFor + 1
}

// free gives a slot back that has not come yet.
func (b *book) free(p *promise) {
	if p.slot >= b.counted[p.tenant] {
		held := &b.booked[p.tenant][p.slot%(slots+1)]
		*held = math.Max(0, *held-p.cost)
	}
}

func (b *book) drop(p *promise) {
	heap.Remove(&b.dues, p.place)
	delete(b.by, p.who)
	b.n = len(b.by)
	b.spare = append(b.spare, p)
}

func (b *book) fresh() *promise {
	if n := len(b.spare); n > 0 {
		p := b.spare[n-1]
		b.spare = b.spare[:n-1]
		return p
	}
	return new(promise)
}

type promises []*promise

func (h promises) Len() int           { return len(h) }
func (h promises) Less(i, j int) bool { return h[i].at < h[j].at }
func (h promises) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *promises) Push(x any) {
	p := x.(*promise)
	p.place = len(*h)
	*h = append(*h, p)
}

func (h *promises) Pop() any {
	old := *h
	p := old[len(old)-1]
	*h = old[:len(old)-1]
	return p
}
