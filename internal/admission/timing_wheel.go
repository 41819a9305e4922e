package admission

// This file owns the tickets that wait, by the time at which they give up: a wheel of lists, one for each beat, so that
// coming and going cost the same however many wait. A ticket is found up to two beats before its time and never after it.

// timingWheelSlots of a beat each: ten seconds; who gives up later is passed over until its turn of the wheel.
const timingWheelSlots = 1024

type timingWheel struct {
	slots         [timingWheelSlots]*trackedRequest
	processedTick int64 // the beat up to which all have been found
	count         int
}

func (w *timingWheel) add(request *trackedRequest) {
	request.deadlineTick = max(request.waitDeadline/tickInterval-1, w.processedTick+1)
	head := &w.slots[request.deadlineTick%timingWheelSlots]
	if request.slotNext = *head; request.slotNext != nil {
		request.slotNext.slotPrevious = request
	}
	request.slotPrevious, *head = nil, request
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
	request.slotPrevious, request.slotNext, request.deadlineTick = nil, nil, -1
	w.count--
}

// expire hands over each ticket whose time is near; what is done with it takes it out of the wheel.
func (w *timingWheel) expire(now Micros, handle func(*trackedRequest)) {
	currentTick := now / tickInterval
	if w.count == 0 {
		w.processedTick = max(w.processedTick, currentTick)
		return
	}
	for tick := max(w.processedTick+1, currentTick-timingWheelSlots+1); tick <= currentTick; tick++ {
		for request := w.slots[tick%timingWheelSlots]; request != nil; {
			next := request.slotNext
			if request.deadlineTick <= currentTick {
				handle(request)
			}
			request = next
		}
	}
	w.processedTick = max(w.processedTick, currentTick)
}

// forEach hands over every ticket; what is done may take it out.
func (w *timingWheel) forEach(handle func(*trackedRequest)) {
	for i := range w.slots {
		for request := w.slots[i]; request != nil; {
			next := request.slotNext
			handle(request)
			request = next
		}
	}
}
