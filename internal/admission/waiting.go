package admission

// waitingRequests holds all waiting requests, with their wait deadlines. These are the requests in the queues, and the retries
// that follow an earlier attempt in progress. It counts these requests, and keeps queues and deadlines consistent. The queues
// decide the order. The controller adds a request when it arrives, and removes it to admit or to reject it.
type waitingRequests struct {
	queues    fairQueues
	deadlines timingWheel
	count     int // queued requests and followers
}

// enqueue puts a request into its tenant's queues.
func (w *waitingRequests) enqueue(request *trackedRequest) {
	request.state = stateWaiting
	w.queues.enqueue(request)
	w.deadlines.add(request)
	w.count++
}

// follow makes a retry wait until its earlier attempt, the leader, has finished.
func (w *waitingRequests) follow(leader, retry *trackedRequest) {
	leader.follower = retry
	retry.leader = leader
	retry.state = stateFollowing
	w.deadlines.add(retry)
	w.count++
}

// enqueueFollower puts a retry whose earlier attempt has finished into its tenant's queues. Its wait deadline does not change.
func (w *waitingRequests) enqueueFollower(follower *trackedRequest) {
	detachFollower(follower)
	follower.state = stateWaiting
	w.queues.enqueue(follower)
}

// dequeue removes the request to serve next, charges its queue and its tenant, and returns it. It returns nil if all queues are
// empty.
func (w *waitingRequests) dequeue() *trackedRequest {
	request := w.queues.dequeue()
	if request != nil {
		w.forget(request)
	}
	return request
}

// dequeueOutOfOrder removes a request that is served out of order. The request's queue and tenant are charged as usual.
func (w *waitingRequests) dequeueOutOfOrder(request *trackedRequest) {
	w.remove(request)
	w.queues.charge(request)
}

// remove removes a waiting request without charging its queue and its tenant. It does nothing if the request is in progress.
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

// replace puts request in the place of old, which is queued.
func (w *waitingRequests) replace(old, request *trackedRequest) {
	request.state = stateWaiting
	w.queues.replace(old, request)
	w.deadlines.remove(old)
	w.deadlines.add(request)
}

// evictionCandidate returns the request to reject when a limit is exceeded, or nil if no request is waiting.
func (w *waitingRequests) evictionCandidate() *trackedRequest {
	candidate := w.queues.evictionCandidate()
	if candidate == nil {
		// All queues are empty, so only retries that follow a request in progress are waiting.
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
