package agent

import (
	"switchfork/internal/admission"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// requestTable holds the requests that are not answered yet or have an attempt in flight, and gives each its one final reply.
// The loop's goroutine owns it.
type requestTable struct {
	byID     map[uint64]*Request
	activity *activity
}

func newRequestTable(activity *activity) requestTable {
	return requestTable{byID: map[uint64]*Request{}, activity: activity}
}

// get returns a request; nil: it is not known.
func (t *requestTable) get(id uint64) *Request { return t.byID[id] }

// add adds a request that has arrived.
func (t *requestTable) add(id uint64, request *Request) {
	t.byID[id] = request
	t.activity.arrived++
}

// coalesce adds a retry to those that wait for its request's reply.
func (t *requestTable) coalesce(leaderID uint64, retry *Request) {
	leader := t.byID[leaderID]
	if leader == nil || leader.answered {
		retry.replies <- Reply{Rejected: true} // no attempt was made for the retry, so the client may repeat it
		return
	}
	leader.coalesced = append(leader.coalesced, retry.replies)
}

// cancel ends a request whose client has gone. It returns false for one that is not known or already answered.
func (t *requestTable) cancel(id uint64) bool {
	request := t.byID[id]
	if request == nil || request.answered {
		return false
	}
	request.result = admission.ClientGone
	t.activity.cancelledByClient++
	t.finish(id, request)
	return true
}

// reply answers a request that has no answer yet with the policy's own reply.
func (t *requestTable) reply(id uint64, reply Reply) {
	request := t.byID[id]
	if request == nil || request.answered {
		return
	}
	if reply.Rejected {
		request.result = admission.Rejected
		t.activity.rejected++
	} else {
		request.result = admission.Failed
		t.activity.failed++
	}
	request.Deliver(reply)
	t.finish(id, request)
}

// finishAttempt takes in the result of an attempt and returns whether its request needs no other one. The first successful response is
// the client's, and so is a client error: no other endpoint would accept the request.
func (t *requestTable) finishAttempt(finished upstream.AttemptFinished) (requestDone bool) {
	request := t.byID[finished.RequestID]
	if request == nil {
		return true
	}
	request.inFlight--
	isFinal := finished.Result == protocol.Succeeded || finished.Result == protocol.ClientError
	if isFinal && !request.answered {
		request.result = admission.Succeeded
		t.activity.succeeded++
		request.Deliver(Reply{Response: finished.Response})
		request.answered = true
	}
	if request.answered {
		t.finish(finished.RequestID, request)
	}
	return request.answered
}

// finish marks a request as answered and forgets it once none of its attempts is in flight.
func (t *requestTable) finish(id uint64, request *Request) {
	request.answered = true
	if request.inFlight > 0 {
		return
	}
	delete(t.byID, id)
	if request.OnDone != nil {
		request.OnDone()
	}
}
