package admission

const (
	// tickInterval is the granularity of wait deadlines, and how often the concurrency limit is looked at while a request waits:
	// well inside any latency objective.
	tickInterval = 10 * millisecond
	// timingWheelSlots of a tick each make ten seconds; a request with a later deadline is passed over until its tick comes.
	timingWheelSlots = 1024
)

// timingWheel decides when a waiting request has waited for too long: it holds the waiting requests by their wait deadlines in a
// list for each tick, so that adding and removing cost the same however many requests wait. A request expires up to two ticks
// before its deadline and never after it. waitingRequests adds and removes requests; the controller lets them expire.
type timingWheel struct {
	slots         [timingWheelSlots]*trackedRequest
	processedTick int64 // the last tick whose requests have expired
	count         int
}

// wheelPlace is where a timingWheel holds a request.
type wheelPlace struct {
	tick     int64           // at which the request expires
	previous *trackedRequest // in the list of its slot, as next
	next     *trackedRequest
}

// add puts a request in by its wait deadline.
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

// remove takes out a request, which has to be in the wheel.
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

// expire passes each request whose deadline is near to handle, which has to remove it from the wheel.
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

// forEach passes every request to handle, which may remove it from the wheel.
func (w *timingWheel) forEach(handle func(*trackedRequest)) {
	for i := range w.slots {
		for request := w.slots[i]; request != nil; {
			next := request.wheelPlace.next
			handle(request)
			request = next
		}
	}
}

// nextTick returns when expire has to be called again; 0: no request is in the wheel.
func (w *timingWheel) nextTick(now Micros) Micros {
	if w.count == 0 {
		return 0
	}
	return now + tickInterval - now%tickInterval
}
