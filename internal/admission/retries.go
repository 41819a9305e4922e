package admission

import "switchfork/internal/hashing"

// retryKeyOf returns the key that all attempts of one request have in common: of the idempotency key where the class has
// one, else of the object that the request concerns together with the client. A request without either is never found
// by its retry key; the key then only identifies the client's reservation.
func (c *Controller) retryKeyOf(arrival *Arrival) uint64 {
	hash := hashing.Mix64(c.hashSeed ^ uint64(arrival.Tenant)<<32 ^ uint64(arrival.Class))
	switch {
	case arrival.Key != 0 && c.classes[arrival.Class].Keyed:
		return hashing.Mix64(hash ^ arrival.Key)
	case arrival.Key != 0:
		return hashing.Mix64(hashing.Mix64(hash^arrival.Key) + arrival.Client)
	}
	return hashing.Mix64(hashing.Mix64(hash) + arrival.Client)
}

// registerRetryKey makes a request known to its later attempts. One without a key cannot be told from its client's other
// requests and is not registered.
func (c *Controller) registerRetryKey(request *trackedRequest) {
	if request.Key != 0 {
		c.byRetryKey[request.retryKey] = request
	}
}

// joinEarlierAttempt looks for an earlier attempt of a request and joins it; it returns whether there was one.
//
// Requests without an idempotency key that concern one object may come from one client at the same time and be meant
// apart, so they join only where the client marked them as retries.
func (c *Controller) joinEarlierAttempt(request *trackedRequest) bool {
	if request.Key == 0 || !request.IsRetry && !c.classes[request.Class].Keyed {
		return false
	}
	earlier := c.byRetryKey[request.retryKey]
	if earlier == nil {
		return false
	}
	c.Counters.Rejoined++
	if earlier.state == stateWaiting {
		c.replaceWaiting(earlier, request)
		return true
	}
	for earlier.state == stateFollowing {
		earlier = earlier.leader
	}
	c.follow(earlier, request)
	return true
}

// replaceWaiting gives a waiting request's place in its queue to a retry, and rejects the earlier attempt.
func (c *Controller) replaceWaiting(earlier, retry *trackedRequest) {
	retry.firstArrival = earlier.firstArrival
	retry.waitDeadline = min(max(earlier.waitDeadline, earlier.firstArrival), retry.Deadline)
	c.replaceInQueue(earlier, retry)
	c.registerRetryKey(retry)
	c.emit(Command{Kind: Reject, ID: earlier.ID, Reason: Replaced})
	c.release(earlier)
}

// follow attaches a retry to an earlier attempt that is in progress, since no request may be sent twice at a time: the
// retry gets the same answer, or waits for the earlier attempt's end.
func (c *Controller) follow(leader, retry *trackedRequest) {
	if previous := leader.follower; previous != nil {
		c.reject(previous, Replaced)
	}
	if c.coalescesRetries {
		c.Counters.Coalesced++
		c.emit(Command{Kind: Coalesce, ID: retry.ID, LeaderID: leader.ID})
		c.release(retry)
		return
	}
	leader.follower, retry.leader = retry, leader
	retry.state = stateFollowing
	retry.waitDeadline = retry.Deadline
	if c.drainDeadline > 0 {
		retry.waitDeadline = min(retry.waitDeadline, c.drainDeadline)
	}
	c.waitingCount++
	c.deadlines.add(retry)
}

// enqueueFollower puts the retry that waited for a finished request, if there is one, into the queue.
func (c *Controller) enqueueFollower(finished *trackedRequest) {
	follower := finished.follower
	if follower == nil {
		return
	}
	finished.follower, follower.leader = nil, nil
	follower.state = stateWaiting
	follower.cost = c.estimatedCost(follower)
	c.waitingCount-- // enqueue counts it again
	c.enqueue(follower)
	c.registerRetryKey(follower)
}
