package connlimit

import "sync"

const (
	// smallReservationBytes is the largest reservation that may use the whole of a memory budget. Larger ones leave a part of it free, so that
	// small requests are served beside large ones that are held up.
	smallReservationBytes = 32 << 10
	// largeShare is the part of a memory budget that large reservations may fill.
	largeShare = 0.75
	// finishingShare is the part that requests may fill which will end once they have their memory.
	finishingShare = 0.85
)

// MemoryBudget bounds the memory that clients' requests take together.
type MemoryBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// NewMemoryBudget returns a budget of limit bytes, none of which is in use.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// InUse returns the bytes that are reserved.
func (b *MemoryBudget) InUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reserve returns an empty reservation with one holder.
func (b *MemoryBudget) Reserve() *Reservation { return &Reservation{budget: b, holders: 1} }

// Reservation is the memory that one request takes. It ends when its last holder has released it.
type Reservation struct {
	budget  *MemoryBudget
	bytes   int64
	holders int
}

// RaiseTo makes a reservation at least as large as bytes, and reports whether the budget had as much left. If it had not, the reservation is
// unchanged.
func (r *Reservation) RaiseTo(bytes int64) bool {
	limit := r.budget.limit
	if bytes > smallReservationBytes {
		limit = int64(largeShare * float64(limit))
	}
	return r.raise(bytes, limit)
}

// RaiseToFinish is RaiseTo for a request that will end once it has the memory. Requests that are still to be sent leave a part of the budget to
// those.
func (r *Reservation) RaiseToFinish(bytes int64) bool {
	return r.raise(bytes, int64(finishingShare*float64(r.budget.limit)))
}

func (r *Reservation) raise(bytes, limit int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	added := bytes - r.bytes
	if added <= 0 {
		return true
	}
	if b.used+added > limit {
		return false
	}
	b.used += added
	r.bytes = bytes
	return true
}

// Budget returns the budget of which a reservation is a part.
func (r *Reservation) Budget() *MemoryBudget { return r.budget }

// Hold adds a holder.
func (r *Reservation) Hold() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.holders++
}

// Release removes a holder. The last one returns the memory to the budget.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.holders--
	if r.holders == 0 {
		r.budget.used -= r.bytes
		r.bytes = 0
	}
}
