package admission

// joinEarlierAttempt looks for an earlier attempt of an arriving request, and reports whether there is one. If the earlier
// attempt is queued, the arriving attempt takes its place. If an earlier attempt is in progress, the arriving attempt shares its
// answer or waits until it has finished.
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

// replaceWaiting puts a retry in the queue place of its earlier attempt, and rejects the earlier attempt.
func (c *Controller) replaceWaiting(earlier, retry *trackedRequest) {
	retry.firstArrival = earlier.firstArrival
	// An earlier attempt that arrived after its deadline has a wait deadline before its arrival, which must not apply to the retry.
	retry.waitDeadline = min(max(earlier.waitDeadline, earlier.firstArrival), retry.Deadline)
	c.waiting.replace(earlier, retry)
	c.retries.register(retry)
	c.emit(Command{Kind: Reject, ID: earlier.ID, Reason: Replaced})
	c.requests.release(earlier)
}

// followInProgress attaches a retry to an earlier attempt that is in progress, because two attempts of a request must not be in
// progress at the same time. The retry shares the answer, or waits until the earlier attempt has finished. It waits, too, if it has the
// earlier attempt's idempotency key but asks for something else.
func (c *Controller) followInProgress(leader, retry *trackedRequest) {
	if c.coalescesRetries && retry.sharesAnswer(&leader.Arrival) {
		c.Counters.Coalesced++
		c.emit(Command{Kind: Coalesce, ID: retry.ID, LeaderID: leader.ID})
		c.requests.release(retry)
		return
	}
	if previous := leader.follower; previous != nil {
		c.reject(previous, Replaced)
	}
	retry.waitDeadline = retry.Deadline
	if c.drain.isAnnounced() {
		retry.waitDeadline = min(retry.waitDeadline, c.drain.deadline)
	}
	c.waiting.follow(leader, retry)
}

// enqueueFollower puts the retry that has been waiting for a finished request, if there is one, into a queue.
func (c *Controller) enqueueFollower(finished *trackedRequest) {
	follower := finished.follower
	if follower == nil {
		return
	}
	follower.cost = c.costs.estimate(&follower.Arrival)
	c.waiting.enqueueFollower(follower)
	c.retries.register(follower)
}
