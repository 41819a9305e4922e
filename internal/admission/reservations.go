package admission

import "container/heap"

const (
	// calendarSlots divide the longest Retry-After time. A calendar has one slot more, since the current one has partly passed.
	calendarSlots = 32
	// reservableFraction of what its tenant's rate allows in a slot may be reserved: the rest is for the requests that wait and
	// for errors of the estimate. A tenant that floods is then given the longest time without a reservation.
	reservableFraction = 0.5
	// returnGrace, beside a slot's width, is how long after its time of return a client is still on time: clients sleep at least as
	// long as the Retry-After says, and the network adds its delay.
	returnGrace = 100 * millisecond
	// earlyTolerance is how long before its time of return a client is on time already.
	earlyTolerance = 2 * millisecond
	// minFallbackFraction of the longest Retry-After time is the least that is sent without a reservation; the rest is random,
	// so that a thousand clients that were rejected together don't return together.
	minFallbackFraction = 0.75
)

// reservation is capacity held for a rejected client at the end of the Retry-After that it was sent.
type reservation struct {
	retryKey  uint64
	tenant    int
	cost      float64
	slot      int64
	returnAt  Micros
	heapIndex int
}

// calendar is the reserved cost of one tenant by slot, as a ring.
type calendar [calendarSlots + 1]float64

func (c *calendar) at(slot int64) *float64 { return &c[slot%int64(len(c))] }

// reservationTable holds all reservations. The time ahead of each tenant is a calendar of equal slots, each of which takes the
// cost that the tenant's rate allows to be admitted meanwhile. A client that returns on time is admitted ahead of the
// requests that wait. A reservation ends honored, missed for want of capacity, or unclaimed.
type reservationTable struct {
	slotWidth     Micros // 0: clients are given no time to return
	capacity      int    // reservations at a time
	byRetryKey    map[uint64]*reservation
	byReturnTime  reservationHeap
	free          []*reservation // records to reuse
	calendars     []calendar     // by tenant
	clearedBefore []int64        // by tenant: the calendar's slots before this one are cleared
}

func newReservationTable(capacity, tenants int, maxRetryAfter Micros) reservationTable {
	table := reservationTable{
		capacity:      capacity,
		byRetryKey:    map[uint64]*reservation{},
		calendars:     make([]calendar, tenants),
		clearedBefore: make([]int64, tenants),
	}
	if maxRetryAfter > 0 {
		table.slotWidth = max(maxRetryAfter/calendarSlots, 1)
	}
	return table
}

func (t *reservationTable) count() int { return len(t.byRetryKey) }

// reserve returns the Retry-After time for a request that is rejected, and holds capacity for its return where a slot has some
// left. It returns 0 where clients are given no time.
func (t *reservationTable) reserve(c *Controller, request *trackedRequest) Micros {
	if t.slotWidth == 0 {
		return 0
	}
	fallback := c.retryAfter.Max - Micros(c.random.Float64()*(1-minFallbackFraction)*float64(c.retryAfter.Max))
	if c.drainDeadline > 0 || t.count() >= t.capacity {
		return fallback
	}
	if previous := t.byRetryKey[request.retryKey]; previous != nil {
		t.remove(previous)
	}
	slot, found := t.findSlot(c, request)
	if !found {
		return fallback
	}
	granted := t.newRecord()
	*granted = reservation{
		retryKey: request.retryKey,
		tenant:   request.Tenant,
		cost:     request.cost,
		slot:     slot,
		returnAt: slot*t.slotWidth + Micros(c.random.Float64()*float64(t.slotWidth)),
	}
	*t.calendars[request.Tenant].at(slot) += request.cost
	t.byRetryKey[request.retryKey] = granted
	heap.Push(&t.byReturnTime, granted)
	c.Counters.Reserved++
	return max(1, granted.returnAt-c.now)
}

// findSlot returns the first slot with capacity left for a request, after the time that its tenant's waiting requests take.
func (t *reservationTable) findSlot(c *Controller, request *trackedRequest) (slot int64, found bool) {
	rate := c.tenantRate(request.tenant)
	calendar := t.currentCalendar(request.Tenant, c.now)
	backlog := Micros(min(request.tenant.waitingCost*(1-reservableFraction)/rate, float64(c.retryAfter.Max)))
	firstSlot := (c.now + backlog) / t.slotWidth
	currentSlot, lastSlot := c.now/t.slotWidth, (c.now+c.retryAfter.Max)/t.slotWidth
	reserved := 0.0
	for slot := currentSlot + 1; slot < lastSlot; slot++ {
		reserved += *calendar.at(slot)
		reservable := reservableFraction * rate * float64(t.slotWidth) * float64(slot-currentSlot)
		if slot >= firstSlot && reserved+request.cost <= reservable {
			return slot, true
		}
	}
	return 0, false
}

// timeToServe returns how long a tenant needs for a cost beside what is reserved for others.
func (t *reservationTable) timeToServe(c *Controller, tenant int, cost float64) Micros {
	rate := c.tenantRate(c.tenants[tenant])
	if t.slotWidth == 0 || t.count() == 0 {
		return Micros(cost / rate)
	}
	calendar := t.currentCalendar(tenant, c.now)
	currentSlot, from := c.now/t.slotWidth, c.now
	for slot := currentSlot; slot <= currentSlot+calendarSlots; slot++ {
		end := (slot + 1) * t.slotWidth
		unreserved := max(0, rate*float64(end-from)-*calendar.at(slot))
		if unreserved >= cost {
			return from - c.now + Micros(cost/unreserved*float64(end-from))
		}
		cost -= unreserved
		from = end
	}
	return c.retryAfter.Max + Micros(cost/rate)
}

// outstandingCost returns the cost reserved for a tenant in the current slot and later ones.
func (t *reservationTable) outstandingCost(tenant int, now Micros) (total float64) {
	if t.slotWidth == 0 {
		return 0
	}
	for _, cost := range t.currentCalendar(tenant, now) {
		total += cost
	}
	return total
}

// currentCalendar returns a tenant's calendar after it has cleared the slots that have passed.
func (t *reservationTable) currentCalendar(tenant int, now Micros) *calendar {
	calendar, currentSlot := &t.calendars[tenant], now/t.slotWidth
	for slot := max(t.clearedBefore[tenant], currentSlot-calendarSlots-1); slot < currentSlot; slot++ {
		*calendar.at(slot) = 0
	}
	t.clearedBefore[tenant] = max(t.clearedBefore[tenant], currentSlot)
	return calendar
}

// claim ends the reservation of an arriving request, if it has one, and returns whether the client returned on time. A client
// that returns early frees the reserved cost.
func (t *reservationTable) claim(c *Controller, request *trackedRequest) (isOnTime bool) {
	held := t.byRetryKey[request.retryKey]
	if held == nil {
		return false
	}
	defer t.remove(held)
	switch {
	case c.now < held.returnAt-earlyTolerance:
		c.Counters.EarlyRetries++
		t.releaseCost(held)
		return false
	case c.now > t.deadline(held):
		c.Counters.ReservationsUnclaimed++
		return false
	}
	return true
}

// expire ends the reservations that were not claimed in time.
func (t *reservationTable) expire(c *Controller) {
	for len(t.byReturnTime) > 0 && t.deadline(t.byReturnTime[0]) < c.now {
		c.Counters.ReservationsUnclaimed++
		t.remove(t.byReturnTime[0])
	}
}

// deadline returns the last moment at which a reservation can be claimed.
func (t *reservationTable) deadline(held *reservation) Micros {
	return held.returnAt + t.slotWidth + returnGrace
}

// nextDeadline returns when the first reservation will have expired; 0: there is none.
func (t *reservationTable) nextDeadline() Micros {
	if len(t.byReturnTime) == 0 {
		return 0
	}
	return t.deadline(t.byReturnTime[0]) + 1
}

// releaseCost gives back the cost of a reservation whose slot has not been cleared yet.
func (t *reservationTable) releaseCost(held *reservation) {
	if held.slot >= t.clearedBefore[held.tenant] {
		reserved := t.calendars[held.tenant].at(held.slot)
		*reserved = max(0, *reserved-held.cost)
	}
}

func (t *reservationTable) remove(ended *reservation) {
	heap.Remove(&t.byReturnTime, ended.heapIndex)
	delete(t.byRetryKey, ended.retryKey)
	t.free = append(t.free, ended)
}

func (t *reservationTable) newRecord() *reservation {
	last := len(t.free) - 1
	if last < 0 {
		return new(reservation)
	}
	record := t.free[last]
	t.free = t.free[:last]
	return record
}

// reservationHeap orders reservations by their time of return; it implements heap.Interface.
type reservationHeap []*reservation

func (h reservationHeap) Len() int           { return len(h) }
func (h reservationHeap) Less(i, j int) bool { return h[i].returnAt < h[j].returnAt }
func (h reservationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *reservationHeap) Push(x any) {
	added := x.(*reservation)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

func (h *reservationHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
