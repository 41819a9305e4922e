package admission

import (
	"container/heap"
	"math/rand"
)

const (
	// reservableFraction of what its tenant's rate allows in a slot may be reserved: the rest is for the requests that wait and
	// for errors of the estimate. A tenant that floods is then given the longest time without a reservation.
	reservableFraction = 0.5
	// reservationGrace, beside a slot's width, is how long after its time of return a client is still on time: clients sleep at least as
	// long as the Retry-After says, and the network adds its delay.
	reservationGrace = 100 * millisecond
	// earlyTolerance is how long before its time of return a client is on time already.
	earlyTolerance = 2 * millisecond
	// minFallbackFraction of the longest Retry-After time is the least that is sent without a reservation; the rest is random,
	// so that a thousand clients that were rejected together don't return together.
	minFallbackFraction = 0.75
)

// reservation is capacity reserved for a rejected client at the end of the Retry-After that it was sent.
type reservation struct {
	retryKey  uint64
	tenant    int
	cost      float64
	slot      int64
	returnAt  Micros
	heapIndex int
}

// reservationTable decides the Retry-After of rejected requests and whether a client has returned on time: from the rate and the
// waiting cost of the request's tenant and from what is reserved already. The time ahead of each tenant is a calendar of equal
// slots, each of which takes the cost that the tenant's rate allows to be admitted meanwhile. A client that returns on time is
// admitted ahead of the requests that wait. A reservation ends honored, missed for want of capacity, or unclaimed.
//
// The controller calls it for each rejection and each arrival; wait estimates take from it what is reserved for others.
type reservationTable struct {
	maxRetryAfter Micros // 0: clients are sent no Retry-After
	slotWidth     Micros
	capacity      int // reservations at a time
	random        *rand.Rand
	calendars     []calendar // by tenant
	byRetryKey    map[uint64]*reservation
	byReturnTime  reservationHeap
	free          freeList[reservation]
}

// claimResult says what an arriving request has reserved.
type claimResult int

const (
	// notReserved means that no capacity is reserved for the request.
	notReserved claimResult = iota
	// claimedEarly means that the client has returned before its time, which ends its reservation.
	claimedEarly
	// claimedOnTime means that the request may be admitted ahead of those that wait.
	claimedOnTime
	// claimedLate means that the client has returned after its time, which ends its reservation.
	claimedLate
)

func newReservationTable(capacity, tenants int, maxRetryAfter Micros, random *rand.Rand) reservationTable {
	return reservationTable{
		maxRetryAfter: max(maxRetryAfter, 0),
		slotWidth:     max(maxRetryAfter/calendarSlots, 1),
		capacity:      capacity,
		random:        random,
		calendars:     make([]calendar, tenants),
		byRetryKey:    map[uint64]*reservation{},
	}
}

func (t *reservationTable) count() int { return len(t.byRetryKey) }

// reserve returns the Retry-After time for a request that is rejected, and reserves capacity for its return where a slot has
// some left, at the rate and behind the waiting cost of its tenant. It returns 0 where clients are sent no time.
func (t *reservationTable) reserve(now Micros, request *trackedRequest, rate, waitingCost float64) (retryAfter Micros, isReserved bool) {
	unreserved := t.unreservedRetryAfter() // drawn for each rejection: the draws don't depend on what is reserved
	if t.maxRetryAfter == 0 || t.count() >= t.capacity {
		return unreserved, false
	}
	if previous := t.byRetryKey[request.retryKey]; previous != nil {
		t.remove(previous)
	}
	slot, found := t.findSlot(now, request, rate, waitingCost)
	if !found {
		return unreserved, false
	}
	granted := t.free.take()
	*granted = reservation{
		retryKey: request.retryKey,
		tenant:   request.Tenant,
		cost:     request.cost,
		slot:     slot,
		returnAt: slot*t.slotWidth + Micros(t.random.Float64()*float64(t.slotWidth)),
	}
	*t.calendars[request.Tenant].at(slot) += request.cost
	t.byRetryKey[request.retryKey] = granted
	heap.Push(&t.byReturnTime, granted)
	return max(1, granted.returnAt-now), true
}

// unreservedRetryAfter returns the Retry-After time for a request for which nothing is reserved.
func (t *reservationTable) unreservedRetryAfter() Micros {
	if t.maxRetryAfter == 0 {
		return 0
	}
	return t.maxRetryAfter - Micros(t.random.Float64()*(1-minFallbackFraction)*float64(t.maxRetryAfter))
}

// findSlot returns the first slot with capacity left for a request, after the time that its tenant's waiting cost takes.
func (t *reservationTable) findSlot(now Micros, request *trackedRequest, rate, waitingCost float64) (slot int64, found bool) {
	calendar := t.currentCalendar(request.Tenant, now)
	backlog := Micros(min(waitingCost*(1-reservableFraction)/rate, float64(t.maxRetryAfter)))
	firstSlot := (now + backlog) / t.slotWidth
	currentSlot := now / t.slotWidth
	lastSlot := (now + t.maxRetryAfter) / t.slotWidth
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

// timeToServe returns how long a tenant needs for a cost at its rate, beside what is reserved.
func (t *reservationTable) timeToServe(now Micros, tenant int, cost, rate float64) Micros {
	if t.count() == 0 {
		return Micros(cost / rate)
	}
	calendar := t.currentCalendar(tenant, now)
	currentSlot := now / t.slotWidth
	from := now
	for slot := currentSlot; slot <= currentSlot+calendarSlots; slot++ {
		end := (slot + 1) * t.slotWidth
		unreserved := max(0, rate*float64(end-from)-*calendar.at(slot))
		if unreserved >= cost {
			return from - now + Micros(cost/unreserved*float64(end-from))
		}
		cost -= unreserved
		from = end
	}
	return t.maxRetryAfter + Micros(cost/rate)
}

// outstandingCost returns the cost reserved for a tenant in the current slot and later ones.
func (t *reservationTable) outstandingCost(tenant int, now Micros) float64 {
	return t.currentCalendar(tenant, now).total()
}

// currentCalendar returns a tenant's calendar after it has cleared the slots that have passed.
func (t *reservationTable) currentCalendar(tenant int, now Micros) *calendar {
	calendar := &t.calendars[tenant]
	calendar.advance(now / t.slotWidth)
	return calendar
}

// claim ends the reservation of an arriving request, if it has one. A client that returns early frees the reserved cost.
func (t *reservationTable) claim(now Micros, retryKey uint64) claimResult {
	claimed := t.byRetryKey[retryKey]
	if claimed == nil {
		return notReserved
	}
	t.remove(claimed)
	switch {
	case now < claimed.returnAt-earlyTolerance:
		t.calendars[claimed.tenant].release(claimed.slot, claimed.cost)
		return claimedEarly
	case now > t.deadline(claimed):
		return claimedLate
	}
	return claimedOnTime
}

// expire ends the reservations that were not claimed in time and returns how many.
func (t *reservationTable) expire(now Micros) (expiredCount int) {
	for len(t.byReturnTime) > 0 && t.deadline(t.byReturnTime[0]) < now {
		t.remove(t.byReturnTime[0])
		expiredCount++
	}
	return expiredCount
}

// deadline returns the last moment at which a reservation can be claimed.
func (t *reservationTable) deadline(r *reservation) Micros {
	return r.returnAt + t.slotWidth + reservationGrace
}

// nextDeadline returns when the first reservation will have expired; 0: there is none.
func (t *reservationTable) nextDeadline() Micros {
	if len(t.byReturnTime) == 0 {
		return 0
	}
	return t.deadline(t.byReturnTime[0]) + 1
}

// remove ends a reservation. Its fields stay as they are until another reservation is made.
func (t *reservationTable) remove(ended *reservation) {
	heap.Remove(&t.byReturnTime, ended.heapIndex)
	delete(t.byRetryKey, ended.retryKey)
	t.free.put(ended)
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
