package admission

import (
	"container/heap"
	"math/rand"
)

const (
	// reservableFraction is the fraction of a tenant's rate that may be reserved. The rest is left for waiting requests and for
	// errors of the estimate. The clients of a tenant that floods therefore get the longest Retry-After times, without a
	// reservation.
	reservableFraction = 0.5
	// reservationGrace is added to the width of a calendar slot. A client still counts as on time until this sum has passed after
	// the return time, because clients sleep at least as long as the Retry-After says, and the network adds its delay.
	reservationGrace = 100 * millisecond
	// earlyTolerance is how long before the return time a client already counts as on time.
	earlyTolerance = 2 * millisecond
	// minFallbackFraction is the shortest Retry-After time without a reservation, as a fraction of the longest Retry-After time.
	// Each time is drawn at random between the two, so that a thousand clients that were rejected together don't return together.
	minFallbackFraction = 0.75
)

// reservation is capacity reserved for a rejected client, for when its Retry-After time has passed.
type reservation struct {
	retryKey  uint64
	tenant    int
	cost      float64
	slot      int64  // the calendar slot that contains returnAt
	returnAt  Micros // when the Retry-After time ends
	heapIndex int    // index in reservationTable.byReturnTime
}

// reservationTable decides the Retry-After time of each rejected request, and whether a client has returned on time. The
// Retry-After time depends on the rate and the waiting cost of the request's tenant, and on what is already reserved. Each
// tenant has a calendar of time slots of equal width. A slot has room for a reservation if the sum of the reserved costs up to
// and including this slot, with the new reservation, is at most reservableFraction of the cost that the tenant's rate admits
// until then. A client that returns on time is admitted ahead of the waiting requests.
//
// A reservation is honored if the client returns on time and is admitted at once. It is missed if there is no capacity when the
// client returns on time, given up if the client returns early, and unclaimed if the client returns late or not at all.
//
// The controller calls reservationTable for each rejection and each arrival. Wait estimates allow for the reserved cost.
type reservationTable struct {
	maxRetryAfter Micros // 0 if clients are sent no Retry-After
	slotWidth     Micros
	capacity      int // largest number of reservations at a time
	random        *rand.Rand
	calendars     []calendar // by tenant
	byRetryKey    map[uint64]*reservation
	byReturnTime  reservationHeap
	free          freeList[reservation]
}

// claimResult says whether an arriving request has a reservation, and whether the client has returned on time.
type claimResult int

const (
	// notReserved means that no capacity is reserved for the request.
	notReserved claimResult = iota
	// claimedEarly means that the client has returned too early and has lost its reservation.
	claimedEarly
	// claimedOnTime means that the request may be admitted ahead of the waiting requests.
	claimedOnTime
	// claimedLate means that the client has returned too late and has lost its reservation.
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

// reserve returns the Retry-After time for a rejected request, and reserves capacity for the client's return if a
// calendar slot has enough left. rate and waitingCost are those of the request's tenant. retryAfter is 0 if clients are sent no
// Retry-After.
func (t *reservationTable) reserve(now Micros, request *trackedRequest, rate, waitingCost float64) (retryAfter Micros, isReserved bool) {
	unreserved := t.unreservedRetryAfter() // drawn for each rejection, so that this draw does not depend on what is reserved
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

// unreservedRetryAfter returns a random Retry-After time for a request without a reservation.
func (t *reservationTable) unreservedRetryAfter() Micros {
	if t.maxRetryAfter == 0 {
		return 0
	}
	return t.maxRetryAfter - Micros(t.random.Float64()*(1-minFallbackFraction)*float64(t.maxRetryAfter))
}

// findSlot returns the first slot with enough capacity left for a request. Slots that end before the waiting cost of the
// request's tenant is expected to have been served are left out.
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

// timeToServe returns how long it takes to serve cost with the part of a tenant's rate that is not reserved in the slots.
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

// currentCalendar clears the slots of a tenant's calendar that have passed, and returns the calendar.
func (t *reservationTable) currentCalendar(tenant int, now Micros) *calendar {
	calendar := &t.calendars[tenant]
	calendar.advance(now / t.slotWidth)
	return calendar
}

// claim ends the reservation of an arriving request, if there is one. If the client is early, the reserved cost is released.
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

// expire ends the reservations that were not claimed in time, and returns how many there were.
func (t *reservationTable) expire(now Micros) (expiredCount int) {
	for len(t.byReturnTime) > 0 && t.deadline(t.byReturnTime[0]) < now {
		t.remove(t.byReturnTime[0])
		expiredCount++
	}
	return expiredCount
}

// deadline returns the latest time at which a client can claim a reservation.
func (t *reservationTable) deadline(r *reservation) Micros {
	return r.returnAt + t.slotWidth + reservationGrace
}

// nextDeadline returns the time at which the next reservation expires, or 0 if there is none.
func (t *reservationTable) nextDeadline() Micros {
	if len(t.byReturnTime) == 0 {
		return 0
	}
	return t.deadline(t.byReturnTime[0]) + 1
}

// remove ends a reservation. The fields of the record keep their values until the next reservation is made.
func (t *reservationTable) remove(ended *reservation) {
	heap.Remove(&t.byReturnTime, ended.heapIndex)
	delete(t.byRetryKey, ended.retryKey)
	t.free.put(ended)
}

// reservationHeap orders reservations by their return time. It implements heap.Interface.
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
