package admission

// calendarSlots is the number of slots that the longest Retry-After time is divided into. A calendar has one slot more, since
// the current slot has partly passed.
const calendarSlots = 32

// calendar holds the reserved cost of one tenant in each time slot, as a ring buffer. Slot 0 starts at time 0. reservationTable
// owns the calendar, and advances it before reading or changing it.
type calendar struct {
	costs     [calendarSlots + 1]float64
	firstSlot int64 // earlier slots have been cleared
}

// advance clears the slots before currentSlot.
func (c *calendar) advance(currentSlot int64) {
	for slot := max(c.firstSlot, currentSlot-calendarSlots-1); slot < currentSlot; slot++ {
		*c.at(slot) = 0
	}
	c.firstSlot = max(c.firstSlot, currentSlot)
}

// at returns a pointer to the reserved cost of a slot.
func (c *calendar) at(slot int64) *float64 { return &c.costs[slot%int64(len(c.costs))] }

// release subtracts a cost from the reserved cost of a slot, unless the slot has been cleared.
func (c *calendar) release(slot int64, cost float64) {
	if slot >= c.firstSlot {
		reserved := c.at(slot)
		*reserved = max(0, *reserved-cost)
	}
}

// total returns the sum of the reserved costs of all slots that have not been cleared.
func (c *calendar) total() float64 {
	total := 0.0
	for _, cost := range c.costs {
		total += cost
	}
	return total
}
