package admission

const (
	// tickInterval is the granularity of wait deadlines, and how often the concurrency limit is looked at while a request waits:
	// well inside any latency objective.
	tickInterval = 10 * millisecond
	// timingWheelSlots of a tick each make ten seconds; a request with a later deadline is passed over until its tick comes.
	timingWheelSlots = 1024
)

// timingWheel holds the waiting requests by their wait deadlines in a list for each tick, so that adding and removing cost the
// same however many requests wait. A request expires up to two ticks before its deadline and never after it.
type timingWheel struct {
	slots         [timingWheelSlots]*trackedRequest
	processedTick int64 // the last tick whose requests have expired
	count         int
}

func (w *timingWheel) add(request *trackedRequest) {
	request.deadlineTick = max(request.waitDeadline/tickInterval-1, w.processedTick+1)
	head := &w.slots[request.deadlineTick%timingWheelSlots]
	request.slotPrevious, request.slotNext = nil, *head
	if request.slotNext != nil {
		request.slotNext.slotPrevious = request
	}
	*head = request
	w.count++
}

func (w *timingWheel) remove(request *trackedRequest) {
	if request.slotPrevious != nil {
		request.slotPrevious.slotNext = request.slotNext
	} else {
		w.slots[request.deadlineTick%timingWheelSlots] = request.slotNext
	}
	if request.slotNext != nil {
		request.slotNext.slotPrevious = request.slotPrevious
	}
	request.slotPrevious, request.slotNext = nil, nil
	request.deadlineTick = -1
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
		next := request.slotNext
		if request.deadlineTick <= currentTick {
			handle(request)
		}
		request = next
	}
}

// forEach passes every request to handle, which may remove it from the wheel.
func (w *timingWheel) forEach(handle func(*trackedRequest)) {
	for i := range w.slots {
		for request := w.slots[i]; request != nil; {
			next := request.slotNext
			handle(request)
			request = next
		}
	}
}
