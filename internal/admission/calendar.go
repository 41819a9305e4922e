package admission

// calendarSlots divide the longest Retry-After time. A calendar has one slot more, since the current one has partly passed.
const calendarSlots = 32

// calendar is the reserved cost of one tenant by slot of time, as a ring. Slots are numbered from time 0. reservationTable owns
// it and advances it before it reads or changes it.
type calendar struct {
	costs     [calendarSlots + 1]float64
	firstSlot int64 // the slots before this one are cleared
}

// advance clears the slots that have passed.
func (c *calendar) advance(currentSlot int64) {
	for slot := max(c.firstSlot, currentSlot-calendarSlots-1); slot < currentSlot; slot++ {
		*c.at(slot) = 0
	}
	c.firstSlot = max(c.firstSlot, currentSlot)
}

// at returns the reserved cost of a slot.
func (c *calendar) at(slot int64) *float64 { return &c.costs[slot%int64(len(c.costs))] }

// release gives back a reserved cost, unless its slot has been cleared.
func (c *calendar) release(slot int64, cost float64) {
	if slot >= c.firstSlot {
		reserved := c.at(slot)
		*reserved = max(0, *reserved-cost)
	}
}

// total returns the cost that is reserved in all slots that have not been cleared.
func (c *calendar) total() float64 {
	total := 0.0
	for _, cost := range c.costs {
		total += cost
	}
	return total
}
