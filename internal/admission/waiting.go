package admission

// waitingRequests holds every request that waits, with its wait deadline: the requests in the queues, and the retries that
// follow an earlier attempt in progress. It keeps the two together and counts them; the queues decide the order. The
// controller puts a request in when it cannot admit it at once, and takes it out to admit or to reject it.
type waitingRequests struct {
	queues    fairQueues
	deadlines timingWheel
	count     int
}

// enqueue puts a request into its tenant's queues.
func (w *waitingRequests) enqueue(request *trackedRequest) {
	request.state = stateWaiting
	w.queues.enqueue(request)
	w.deadlines.add(request)
	w.count++
}

// follow lets a retry wait for the end of its earlier attempt.
func (w *waitingRequests) follow(leader, retry *trackedRequest) {
	leader.follower = retry
	retry.leader = leader
	retry.state = stateFollowing
	w.deadlines.add(retry)
	w.count++
}

// enqueueFollower puts a retry whose earlier attempt has ended into its tenant's queues. Its wait deadline stays.
func (w *waitingRequests) enqueueFollower(follower *trackedRequest) {
	detachFollower(follower)
	follower.state = stateWaiting
	w.queues.enqueue(follower)
}

// next takes out the request that is served next and charges its flows; nil: no queue holds a request.
func (w *waitingRequests) next() *trackedRequest {
	request := w.queues.next()
	if request != nil {
		w.forget(request)
	}
	return request
}

// takeAhead takes a request out of its queue ahead of its turn, and charges its flows as if it had been served.
func (w *waitingRequests) takeAhead(request *trackedRequest) {
	w.remove(request)
	w.queues.charge(request)
}

// remove takes out a request that is not served. One that is in progress does not wait and is left as it is.
func (w *waitingRequests) remove(request *trackedRequest) {
	switch request.state {
	case stateWaiting:
		w.queues.remove(request)
	case stateFollowing:
		detachFollower(request)
	case stateInProgress:
		return
	}
	w.forget(request)
}

// replace puts a request into the place of another one that waits in a queue.
func (w *waitingRequests) replace(old, request *trackedRequest) {
	request.state = stateWaiting
	w.queues.replace(old, request)
	w.deadlines.remove(old)
	w.deadlines.add(request)
}

// evictionCandidate returns the request to reject when a limit is reached; nil: none waits.
func (w *waitingRequests) evictionCandidate() *trackedRequest {
	candidate := w.queues.evictionCandidate()
	if candidate == nil {
		// Only retries that follow a request in progress are left.
		w.deadlines.forEach(func(follower *trackedRequest) { candidate = follower })
	}
	return candidate
}

func (w *waitingRequests) forget(request *trackedRequest) {
	w.deadlines.remove(request)
	w.count--
}

func detachFollower(follower *trackedRequest) {
	follower.leader.follower = nil
	follower.leader = nil
}
