package admission

const (
	// tickInterval is the granularity of wait deadlines, and the interval at which the concurrency limit is checked while any request
	// waits. It is short compared with any latency objective.
	tickInterval = 10 * millisecond
	// timingWheelSlots is the number of slots of the wheel. A slot is one tick long, and all slots together cover ten seconds. A
	// request with a later deadline shares its slot with requests of an earlier tick, and is skipped until its own tick is due.
	timingWheelSlots = 1024
)

// timingWheel finds the waiting requests that are about to reach their wait deadlines. It has a list of requests for each tick, so
// that adding and removing take the same time however many requests wait. A request expires up to two ticks before its deadline,
// and never after it. waitingRequests adds and removes requests; the controller calls expire.
type timingWheel struct {
	slots         [timingWheelSlots]*trackedRequest // first request in the list of each slot
	processedTick int64                             // the last tick whose requests have expired
	count         int
}

// wheelPlace is the place of a request in a timingWheel.
type wheelPlace struct {
	tick     int64           // the tick at which the request expires
	previous *trackedRequest // previous request in the list of the wheel's slot
	next     *trackedRequest // next request in the list of the wheel's slot
}

// add adds a request, which expires shortly before its wait deadline.
func (w *timingWheel) add(request *trackedRequest) {
	place := &request.wheelPlace
	place.tick = max(request.waitDeadline/tickInterval-1, w.processedTick+1)
	head := &w.slots[place.tick%timingWheelSlots]
	place.previous = nil
	place.next = *head
	if place.next != nil {
		place.next.wheelPlace.previous = request
	}
	*head = request
	w.count++
}

// remove removes a request, which has to be in the wheel.
func (w *timingWheel) remove(request *trackedRequest) {
	place := &request.wheelPlace
	if place.previous != nil {
		place.previous.wheelPlace.next = place.next
	} else {
		w.slots[place.tick%timingWheelSlots] = place.next
	}
	if place.next != nil {
		place.next.wheelPlace.previous = place.previous
	}
	*place = wheelPlace{}
	w.count--
}

// expire calls handle for each request that has expired at now. handle has to remove the request from the wheel.
func (w *timingWheel) expire(now Micros, handle func(*trackedRequest)) {
	currentTick := now / tickInterval
	if w.count > 0 {
		firstTick := max(w.processedTick+1, currentTick-timingWheelSlots+1)
		for tick := firstTick; tick <= currentTick; tick++ {
			w.expireSlot(tick%timingWheelSlots, currentTick, handle)
		}
	}
	w.processedTick = max(w.processedTick, currentTick)
}

func (w *timingWheel) expireSlot(slot, currentTick int64, handle func(*trackedRequest)) {
	for request := w.slots[slot]; request != nil; {
		next := request.wheelPlace.next
		if request.wheelPlace.tick <= currentTick {
			handle(request)
		}
		request = next
	}
}

// forEach calls handle for each request. handle may remove the request from the wheel.
func (w *timingWheel) forEach(handle func(*trackedRequest)) {
	for i := range w.slots {
		for request := w.slots[i]; request != nil; {
			next := request.wheelPlace.next
			handle(request)
			request = next
		}
	}
}

// nextTick returns the time at which expire has to be called again, or 0 if the wheel is empty.
func (w *timingWheel) nextTick(now Micros) Micros {
	if w.count == 0 {
		return 0
	}
	return now + tickInterval - now%tickInterval
}
