package admission

// clientQueue is one queue of a tenant, and a flow in the tenant's queueScheduler. It serves its requests by priority, and requests
// of the same priority in the order of their arrival. fairQueues owns it.
type clientQueue struct {
	flow       fairFlow[*clientQueue]
	priorities []requestList // one list per priority, served in this order; nil until the queue is first used
	length     int
	cost       float64
}

// init makes a queue ready for its first request.
func (q *clientQueue) init(priorityCount int) {
	q.priorities = make([]requestList, priorityCount)
	q.flow.owner = q
	q.flow.heapIndex = -1
}

// append adds a request behind all others of its priority.
func (q *clientQueue) append(request *trackedRequest) {
	q.priorities[request.queuePlace.priority].append(request)
	q.length++
	q.cost += request.cost
}

// remove removes a request from the queue.
func (q *clientQueue) remove(request *trackedRequest) {
	q.priorities[request.queuePlace.priority].remove(request)
	q.length--
	q.cost -= request.cost
	if q.length == 0 {
		q.cost = 0 // so that rounding errors do not accumulate
	}
}

// first returns the request that the queue serves next, or nil if the queue is empty.
func (q *clientQueue) first() *trackedRequest {
	for i := range q.priorities {
		if request := q.priorities[i].head; request != nil {
			return request
		}
	}
	return nil
}

// last returns the request that the queue would serve last, or nil if the queue is empty.
func (q *clientQueue) last() *trackedRequest {
	for i := len(q.priorities) - 1; i >= 0; i-- {
		if request := q.priorities[i].tail; request != nil {
			return request
		}
	}
	return nil
}

// costThrough returns the total cost of a request and of all requests that the queue serves before it.
func (q *clientQueue) costThrough(request *trackedRequest) float64 {
	if q.isKnownLast(request) {
		return q.cost
	}
	cost := 0.0
	for i := range request.queuePlace.priority {
		for other := q.priorities[i].head; other != nil; other = other.queuePlace.next {
			cost += other.cost
		}
	}
	for other := request; other != nil; other = other.queuePlace.previous {
		cost += other.cost
	}
	return cost
}

// isKnownLast reports whether a request is the last in the list of the lowest priority, and therefore the last that the queue
// serves. The check searches no list. If the list of the lowest priority is empty, isKnownLast returns false for every request.
func (q *clientQueue) isKnownLast(request *trackedRequest) bool {
	priority := request.queuePlace.priority
	return priority+1 == len(q.priorities) && q.priorities[priority].tail == request
}
