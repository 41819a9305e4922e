package admission

// joinEarlierAttempt looks for an earlier attempt of an arriving request and joins it; it returns whether there was one.
func (c *Controller) joinEarlierAttempt(retry *trackedRequest) bool {
	earlier := c.retries.earlierAttempt(retry)
	if earlier == nil {
		return false
	}
	c.Counters.Rejoined++
	if earlier.state == stateWaiting {
		c.replaceWaiting(earlier, retry)
		return true
	}
	for earlier.state == stateFollowing {
		earlier = earlier.leader
	}
	c.followInProgress(earlier, retry)
	return true
}

// replaceWaiting gives a waiting request's place in its queue to a retry, and rejects the earlier attempt.
func (c *Controller) replaceWaiting(earlier, retry *trackedRequest) {
	retry.firstArrival = earlier.firstArrival
	// An earlier attempt that arrived past its own deadline has a wait deadline before its arrival, which must not bind the retry.
	retry.waitDeadline = min(max(earlier.waitDeadline, earlier.firstArrival), retry.Deadline)
	c.waiting.replace(earlier, retry)
	c.retries.register(retry)
	c.emit(Command{Kind: Reject, ID: earlier.ID, Reason: Replaced})
	c.requests.release(earlier)
}

// followInProgress attaches a retry to an earlier attempt that is in progress, since no request may be sent twice at a time:
// the retry gets the same answer, or waits for the earlier attempt's end.
func (c *Controller) followInProgress(leader, retry *trackedRequest) {
	if previous := leader.follower; previous != nil {
		c.reject(previous, Replaced)
	}
	if c.coalescesRetries {
		c.Counters.Coalesced++
		c.emit(Command{Kind: Coalesce, ID: retry.ID, LeaderID: leader.ID})
		c.requests.release(retry)
		return
	}
	retry.waitDeadline = retry.Deadline
	if c.drain.isAnnounced() {
		retry.waitDeadline = min(retry.waitDeadline, c.drain.deadline)
	}
	c.waiting.follow(leader, retry)
}

// enqueueFollower puts the retry that waited for a finished request, if there is one, into the queue.
func (c *Controller) enqueueFollower(finished *trackedRequest) {
	follower := finished.follower
	if follower == nil {
		return
	}
	follower.cost = c.costs.estimate(&follower.Arrival)
	c.waiting.enqueueFollower(follower)
	c.retries.register(follower)
}
