package admission

import (
	"container/heap"
	"math"
)

// This file owns the come-back times. Who is turned away is told when its tenant will have room, and the room is booked:
// for each tenant a calendar of the time ahead in equal slots, each of which holds the work that the tenant's part lets in
// meanwhile. Who comes back in its time goes in before those who wait. A promise is kept, broken, or not claimed.

const (
	// calendarSlots of a calendar, over the longest told wait.
	calendarSlots = 32
	// reservableFraction of its tenant's part of a slot may be promised: the rest is for those who wait and for what is counted
	// wrong. A tenant that floods is told the longest wait then, and nothing is promised.
	reservableFraction = 0.5
	// returnGrace, beside a slot: clients sleep at least as long as they are told, and the way takes its time.
	returnGrace, earlyTolerance = 100 * millisecond, 2 * millisecond
	// minFallbackFraction: the least of the longest wait that is told where no slot is left; the rest is chance, so that a thousand
	// who were refused together don't come back together.
	minFallbackFraction = 0.75
)

type reservation struct {
	retryKey  uint64
	returnAt  Micros // when it was told to be back
	tenant    int
	slot      int64
	cost      float64
	heapIndex int
}

// verdict of a claim.
type claimResult int

const (
	claimNone claimResult = iota
	claimOnTime
	claimEarly
)

// reservationTable holds all promises.
type reservationTable struct {
	slotWidth        Micros // of a slot; 0: nothing is told
	capacity         int    // promises at a time
	byRetryKey       map[uint64]*reservation
	byReturnTime     reservationHeap
	freeReservations []*reservation
	reservedCosts    [][calendarSlots + 1]float64 // by tenant and slot, round and round
	clearedBefore    []int64                      // the slot up to which a tenant's calendar is clean
	count            int
}

func (t *reservationTable) init(capacity, tenants int, maxRetryAfter Micros) {
	t.capacity, t.byRetryKey = capacity, map[uint64]*reservation{}
	t.reservedCosts, t.clearedBefore = make([][calendarSlots + 1]float64, tenants), make([]int64, tenants)
	if maxRetryAfter > 0 {
		t.slotWidth = max(maxRetryAfter/calendarSlots, 1)
	}
}

// reserve tells a ticket that is turned away when to come back; 0 where nothing may be told.
func (t *reservationTable) reserve(c *Controller, request *trackedRequest) Micros {
	if t.slotWidth == 0 {
		return 0
	}
	fallback := c.retryAfter.Max - Micros(c.random.Float64()*(1-minFallbackFraction)*float64(c.retryAfter.Max))
	if c.drainDeadline > 0 || len(t.byRetryKey) >= t.capacity {
		return fallback
	}
	if previous := t.byRetryKey[request.retryKey]; previous != nil {
		t.remove(previous)
	}
	tenant := request.tenant
	rate := c.tenantRate(tenant)
	calendar := t.calendar(request.Tenant, c.now)
	// Behind those who wait, as far as they leave it nothing.
	firstSlot := (c.now + Micros(min(tenant.waitingCost*(1-reservableFraction)/rate, float64(c.retryAfter.Max)))) / t.slotWidth
	currentSlot, lastSlot := c.now/t.slotWidth, (c.now+c.retryAfter.Max)/t.slotWidth
	reserved := 0.0
	for slot := currentSlot + 1; slot < lastSlot; slot++ {
		reserved += calendar[slot%(calendarSlots+1)]
		if slot < firstSlot || reserved+request.cost > reservableFraction*rate*float64(t.slotWidth)*float64(slot-currentSlot) {
			continue
		}
		calendar[slot%(calendarSlots+1)] += request.cost
		granted := t.newReservation()
		*granted = reservation{
			retryKey: request.retryKey, tenant: request.Tenant, slot: slot, cost: request.cost,
			returnAt: slot*t.slotWidth + Micros(c.random.Float64()*float64(t.slotWidth)),
		}
		t.byRetryKey[request.retryKey] = granted
		heap.Push(&t.byReturnTime, granted)
		t.count = len(t.byRetryKey)
		c.Counters.Reserved++
		return max(1, granted.returnAt-c.now)
	}
	return fallback
}

// timeToServe is how long a tenant needs for some work beside what it has been promised to others.
func (t *reservationTable) timeToServe(c *Controller, tenant int, costLeft float64) Micros {
	rate := c.tenantRate(c.tenants[tenant])
	if t.slotWidth == 0 || len(t.byRetryKey) == 0 {
		return Micros(costLeft / rate)
	}
	calendar := t.calendar(tenant, c.now)
	for slot, from := c.now/t.slotWidth, c.now; slot <= c.now/t.slotWidth+calendarSlots; slot++ {
		end := (slot + 1) * t.slotWidth
		free := max(0, rate*float64(end-from)-calendar[slot%(calendarSlots+1)])
		if free >= costLeft {
			return from - c.now + Micros(costLeft/free*float64(end-from))
		}
		costLeft, from = costLeft-free, end
	}
	return c.retryAfter.Max + Micros(costLeft/rate)
}

// outstandingCost is the work that a tenant has been promised room for and that has not come.
func (t *reservationTable) outstandingCost(tenant int, now Micros) (total float64) {
	if t.slotWidth == 0 {
		return 0
	}
	for _, cost := range t.calendar(tenant, now) {
		total += cost
	}
	return total
}

// calendar empties the slots of a calendar that are over.
func (t *reservationTable) calendar(tenant int, now Micros) *[calendarSlots + 1]float64 {
	calendar, currentSlot := &t.reservedCosts[tenant], now/t.slotWidth
	for slot := max(t.clearedBefore[tenant], currentSlot-calendarSlots-1); slot < currentSlot; slot++ {
		calendar[slot%(calendarSlots+1)] = 0
	}
	t.clearedBefore[tenant] = max(t.clearedBefore[tenant], currentSlot)
	return calendar
}

// claim looks whether a ticket was told to come, and now.
func (t *reservationTable) claim(c *Controller, request *trackedRequest) claimResult {
	held := t.byRetryKey[request.retryKey]
	if held == nil {
		return claimNone
	}
	result := claimOnTime
	if c.now < held.returnAt-earlyTolerance {
		result = claimEarly
		c.Counters.EarlyRetries++
		t.releaseSlot(held)
	} else if c.now > held.returnAt+t.slotWidth+returnGrace {
		result = claimNone
		c.Counters.ReservationsUnclaimed++
	}
	t.remove(held)
	return result
}

// expire lets go of promises whose time is over.
func (t *reservationTable) expire(c *Controller) {
	for len(t.byReturnTime) > 0 && t.byReturnTime[0].returnAt+t.slotWidth+returnGrace < c.now {
		c.Counters.ReservationsUnclaimed++
		t.remove(t.byReturnTime[0])
	}
}

// nextDeadline is when the first promise is over; 0: there is none.
func (t *reservationTable) nextDeadline() Micros {
	if len(t.byReturnTime) == 0 {
		return 0
	}
	return t.byReturnTime[0].returnAt + t.slotWidth + returnGrace + 1
}

// releaseSlot gives a slot back that has not come yet.
func (t *reservationTable) releaseSlot(released *reservation) {
	if released.slot >= t.clearedBefore[released.tenant] {
		reserved := &t.reservedCosts[released.tenant][released.slot%(calendarSlots+1)]
		*reserved = math.Max(0, *reserved-released.cost)
	}
}

func (t *reservationTable) remove(removed *reservation) {
	heap.Remove(&t.byReturnTime, removed.heapIndex)
	delete(t.byRetryKey, removed.retryKey)
	t.count = len(t.byRetryKey)
	t.freeReservations = append(t.freeReservations, removed)
}

func (t *reservationTable) newReservation() *reservation {
	if n := len(t.freeReservations); n > 0 {
		p := t.freeReservations[n-1]
		t.freeReservations = t.freeReservations[:n-1]
		return p
	}
	return new(reservation)
}

type reservationHeap []*reservation

func (h reservationHeap) Len() int           { return len(h) }
func (h reservationHeap) Less(i, j int) bool { return h[i].returnAt < h[j].returnAt }
func (h reservationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *reservationHeap) Push(x any) {
	p := x.(*reservation)
	p.heapIndex = len(*h)
	*h = append(*h, p)
}

func (h *reservationHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	*h = old[:len(old)-1]
	return p
}
