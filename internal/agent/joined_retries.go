package agent

import (
	"slices"
	"time"
)

// JoinedRetry is a client's retry that waits for the reply to the request that it repeats, the leader.
type JoinedRetry struct {
	ID       uint64
	LeaderID uint64
	Request  *Request
	// Return gets the retry back if the leader ends without a reply that the retry could share. The loop's goroutine calls it, and
	// no longer owns Request then.
	Return func()

	leader *Request
	expiry *time.Timer // fires at the retry's deadline
}

// joinedRetries holds the retries that wait for the reply to their leader. Each gets one reply by its own deadline, or is returned. The loop's
// goroutine owns it.
type joinedRetries struct{ byID map[uint64]*JoinedRetry }

func newJoinedRetries() joinedRetries { return joinedRetries{byID: map[uint64]*JoinedRetry{}} }

// add makes a retry wait for the reply to a leader.
func (j *joinedRetries) add(retry *JoinedRetry, leader *Request) {
	retry.leader = leader
	leader.retries = append(leader.retries, retry)
	j.byID[retry.ID] = retry
}

// isJoined reports whether a retry waits.
func (j *joinedRetries) isJoined(id uint64) bool { return j.byID[id] != nil }

// cancel ends a retry whose client has gone.
func (j *joinedRetries) cancel(id uint64) { j.byID[id].end(j) }

// expire answers a retry whose deadline has come. It does nothing if the retry no longer waits.
func (j *joinedRetries) expire(id uint64) {
	retry := j.byID[id]
	if retry == nil {
		return
	}
	neverSent := retry.leader.attempts == 0
	retry.Request.Deliver(Reply{Rejected: neverSent})
	retry.end(j)
}

// reply gives the leader's reply to all retries that wait for it.
func (j *joinedRetries) reply(leader *Request, reply Reply) {
	for _, retry := range slices.Clone(leader.retries) {
		retry.Request.Deliver(reply)
		retry.end(j)
	}
}

// returnAll returns the retries that wait for a leader in the order in which they joined it.
func (j *joinedRetries) returnAll(leader *Request) {
	for _, retry := range slices.Clone(leader.retries) {
		retry.remove(j)
		retry.Return()
	}
}

// end removes a retry and calls its OnDone.
func (r *JoinedRetry) end(j *joinedRetries) {
	r.remove(j)
	if r.Request.OnDone != nil {
		r.Request.OnDone()
	}
}

// remove removes a retry, which no longer waits.
func (r *JoinedRetry) remove(j *joinedRetries) {
	delete(j.byID, r.ID)
	r.leader.retries = slices.DeleteFunc(r.leader.retries, func(other *JoinedRetry) bool { return other == r })
	if r.expiry != nil {
		r.expiry.Stop()
	}
}
