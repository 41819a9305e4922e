package agent

import (
	"switchfork/internal/admission"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// openRequests holds the requests that are not answered yet or have an attempt in flight, and gives each its one final reply.
// The loop's goroutine owns it.
type openRequests struct {
	byID     map[uint64]*Request
	retries  joinedRetries
	activity *activity
}

func newOpenRequests(activity *activity) openRequests {
	return openRequests{byID: map[uint64]*Request{}, retries: newJoinedRetries(), activity: activity}
}

// get returns a request, or nil if it is unknown.
func (r *openRequests) get(id uint64) *Request { return r.byID[id] }

// add adds a request that has arrived.
func (r *openRequests) add(id uint64, request *Request) {
	r.byID[id] = request
	r.activity.arrived++
}

// coalesce makes a retry wait for the reply to the request that it repeats, the leader. It rejects the retry and returns false if the leader is
// already answered.
func (r *openRequests) coalesce(retry *JoinedRetry) bool {
	leader := r.byID[retry.LeaderID]
	if leader == nil || !leader.canBeJoined() {
		retry.Request.Deliver(Reply{Rejected: true}) // no attempt was made for the retry, so the client may repeat it
		if retry.Request.OnDone != nil {
			retry.Request.OnDone()
		}
		return false
	}
	r.retries.add(retry, leader)
	return true
}

// cancel ends a request or a joined retry whose client has gone. It returns true for an open request, which the policy has to forget, and false
// for a joined retry and if the request is unknown or already answered. An attempt in flight goes on: retries that have joined the request
// wait for its response.
func (r *openRequests) cancel(id uint64) bool {
	if r.retries.isJoined(id) {
		r.retries.cancel(id)
		return false
	}
	request := r.byID[id]
	if request == nil || request.answered {
		return false
	}
	r.finishAbandoned(id, request)
	return true
}

// finishAbandoned ends a request whose client has gone.
func (r *openRequests) finishAbandoned(id uint64, request *Request) {
	request.result = admission.ClientGone
	r.activity.cancelledByClient++
	r.finish(id, request)
}

// reply answers a request with the policy's rejection or failure, unless the request is already answered.
func (r *openRequests) reply(id uint64, reply Reply) {
	request := r.byID[id]
	if request == nil || request.answered {
		return
	}
	if reply.Rejected {
		request.result = admission.Rejected
		r.activity.rejected++
	} else {
		request.result = admission.Failed
		r.activity.failed++
	}
	request.Deliver(reply)
	r.retries.reply(request, reply)
	r.finish(id, request)
}

// finishAttempt records the result of an attempt and reports whether its request needs no further attempt. The first successful response
// goes to the client and to the retries that have joined the request. So does a client error, because no other endpoint would accept the
// request.
func (r *openRequests) finishAttempt(finished upstream.AttemptFinished) (requestDone bool) {
	request := r.byID[finished.RequestID]
	if request == nil {
		return true
	}
	request.inFlight--
	request.mayHaveRun = request.mayHaveRun || finished.Result.MayHaveRun()
	if !request.answered && request.clientLeft.Load() { // seen before the attempt was written, so it was not
		// The reply ends the wait of a proxy that can't see the client's close behind unread input.
		request.Deliver(Reply{Rejected: !request.mayHaveRun})
		r.finishAbandoned(finished.RequestID, request)
		return true
	}
	isFinal := finished.Result == protocol.Succeeded || finished.Result == protocol.ClientError
	if !isFinal && !request.answered {
		return false
	}
	if !request.answered {
		request.result = admission.Succeeded
		r.activity.succeeded++
		request.Deliver(Reply{Response: finished.Response})
	}
	if isFinal {
		r.retries.reply(request, Reply{Response: finished.Response})
	}
	r.finish(finished.RequestID, request)
	return true
}

// finish marks a request as answered and removes it once none of its attempts is in flight. It then returns the retries that still wait, after
// the request's OnDone: the client has gone, and its last attempt has brought no response.
func (r *openRequests) finish(id uint64, request *Request) {
	request.answered = true
	request.withdrawn.Store(true)
	if request.inFlight > 0 {
		return
	}
	delete(r.byID, id)
	if request.OnDone != nil {
		request.OnDone()
	}
	r.retries.returnAll(request)
}
