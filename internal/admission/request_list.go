package admission

// requestList is a doubly linked list of the requests of one queue and priority, in the order of their arrival. The links are in
// trackedRequest.queuePlace.
type requestList struct {
	head *trackedRequest
	tail *trackedRequest
}

// append adds a request at the end of the list.
func (l *requestList) append(request *trackedRequest) {
	request.queuePlace.previous = l.tail
	request.queuePlace.next = nil
	l.link(request)
}

// remove removes a request from the list.
func (l *requestList) remove(request *trackedRequest) {
	place := &request.queuePlace
	if place.previous != nil {
		place.previous.queuePlace.next = place.next
	} else {
		l.head = place.next
	}
	if place.next != nil {
		place.next.queuePlace.previous = place.previous
	} else {
		l.tail = place.previous
	}
	place.previous = nil
	place.next = nil
}

// replace puts request in the place of old. The links of old stay as they are.
func (l *requestList) replace(old, request *trackedRequest) {
	request.queuePlace.previous = old.queuePlace.previous
	request.queuePlace.next = old.queuePlace.next
	l.link(request)
}

// link makes the neighbours of a request point to the request. A request without a previous neighbour becomes the head, and a
// request without a next neighbour the tail.
func (l *requestList) link(request *trackedRequest) {
	if previous := request.queuePlace.previous; previous != nil {
		previous.queuePlace.next = request
	} else {
		l.head = request
	}
	if next := request.queuePlace.next; next != nil {
		next.queuePlace.previous = request
	} else {
		l.tail = request
	}
}
