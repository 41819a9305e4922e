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
	activity *activity
}

func newOpenRequests(activity *activity) openRequests {
	return openRequests{byID: map[uint64]*Request{}, activity: activity}
}

// get returns a request, or nil if it is unknown.
func (r *openRequests) get(id uint64) *Request { return r.byID[id] }

// add adds a request that has arrived.
func (r *openRequests) add(id uint64, request *Request) {
	r.byID[id] = request
	r.activity.arrived++
}

// coalesce makes a retry wait for the reply to the request that it repeats, the leader.
func (r *openRequests) coalesce(leaderID uint64, retry *Request) {
	leader := r.byID[leaderID]
	if leader == nil || leader.answered {
		retry.replies <- Reply{Rejected: true} // no attempt was made for the retry, so the client may repeat it
		return
	}
	leader.coalesced = append(leader.coalesced, retry.replies)
}

// cancel ends a request whose client has gone. It returns false if the request is unknown or already answered.
func (r *openRequests) cancel(id uint64) bool {
	request := r.byID[id]
	if request == nil || request.answered {
		return false
	}
	request.result = admission.ClientGone
	r.activity.cancelledByClient++
	r.finish(id, request)
	return true
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
	r.finish(id, request)
}

// finishAttempt records the result of an attempt and reports whether its request needs no further attempt. The first successful response
// goes to the client. So does a client error, because no other endpoint would accept the request.
func (r *openRequests) finishAttempt(finished upstream.AttemptFinished) (requestDone bool) {
	request := r.byID[finished.RequestID]
	if request == nil {
		return true
	}
	request.inFlight--
	isFinal := finished.Result == protocol.Succeeded || finished.Result == protocol.ClientError
	if !isFinal && !request.answered {
		return false
	}
	if !request.answered {
		request.result = admission.Succeeded
		r.activity.succeeded++
		request.Deliver(Reply{Response: finished.Response})
	}
	r.finish(finished.RequestID, request)
	return true
}

// finish marks a request as answered and removes it once none of its attempts is in flight.
func (r *openRequests) finish(id uint64, request *Request) {
	request.answered = true
	if request.inFlight > 0 {
		return
	}
	delete(r.byID, id)
	if request.OnDone != nil {
		request.OnDone()
	}
}
