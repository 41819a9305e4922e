package agent

import (
	"testing"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// testRequest is an open request that counts the calls of its OnDone.
type testRequest struct {
	*Request
	doneCount int
}

// testRequestID is the ID of the one request that a test adds.
const testRequestID = 1

func addTestRequest(requests *openRequests) *testRequest {
	test := &testRequest{}
	test.Request = NewRequest(nil, time.Now().Add(time.Minute), func() { test.doneCount++ })
	requests.add(testRequestID, test.Request)
	return test
}

// attemptResult returns the result of an attempt, without a response unless it succeeded.
func attemptResult(id uint64, result protocol.Result) upstream.AttemptFinished {
	finished := upstream.AttemptFinished{AttemptResult: policy.AttemptResult{RequestID: id}, Result: result}
	if result == protocol.Succeeded {
		finished.Response = &protocol.Response{}
	}
	return finished
}

// wantReply fails the test if the request has no reply, or if the reply differs from wantRejected or the result from wantResult.
func wantReply(t *testing.T, name string, request *Request, wantRejected bool, wantResult admission.Result) {
	t.Helper()
	select {
	case reply := <-request.Replies():
		if reply.Rejected != wantRejected || request.Result() != wantResult {
			t.Errorf("%s: got reply %+v and result %d, want rejected %t and %d", name, reply, request.Result(), wantRejected, wantResult)
		}
	default:
		t.Errorf("%s: got no reply", name)
	}
}

// A request gets one final reply, from the first event that ends it, and is removed once none of its attempts is in flight.
func TestRequestGetsOneFinalReply(t *testing.T) {
	for name, test := range map[string]struct {
		end          func(*openRequests)
		wantRejected bool
		wantResult   admission.Result
	}{
		"rejected":  {func(requests *openRequests) { requests.reply(testRequestID, Reply{Rejected: true}) }, true, admission.Rejected},
		"failed":    {func(requests *openRequests) { requests.reply(testRequestID, Reply{}) }, false, admission.Failed},
		"succeeded": {func(requests *openRequests) { requests.finishAttempt(attemptResult(testRequestID, protocol.Succeeded)) }, false, admission.Succeeded},
		"client error": {func(requests *openRequests) {
			requests.finishAttempt(attemptResult(testRequestID, protocol.ClientError))
		}, false, admission.Succeeded},
	} {
		requests := newOpenRequests(&activity{})
		request := addTestRequest(&requests)
		request.inFlight = 1
		test.end(&requests)
		requests.reply(testRequestID, Reply{Rejected: !test.wantRejected})
		if requests.cancel(testRequestID) {
			t.Errorf("%s: an answered request was cancelled", name)
		}
		if request.inFlight > 0 { // the reply came while the attempt was in flight
			if requests.get(testRequestID) == nil || request.doneCount > 0 {
				t.Errorf("%s: removed or done while an attempt is in flight", name)
			}
			if !requests.finishAttempt(attemptResult(testRequestID, protocol.Succeeded)) {
				t.Errorf("%s: an answered request needs a further attempt", name)
			}
		}
		wantReply(t, name, request.Request, test.wantRejected, test.wantResult)
		if requests.get(testRequestID) != nil || request.doneCount != 1 || len(request.replies) > 0 {
			t.Errorf("%s: got %d open requests, %d calls of OnDone and %d more replies, want 0, 1 and 0", name, len(requests.byID), request.doneCount, len(request.replies))
		}
	}
}

// A failed attempt leaves its request open for another attempt.
func TestFailedAttemptLeavesRequestOpen(t *testing.T) {
	requests := newOpenRequests(&activity{})
	request := addTestRequest(&requests)
	request.inFlight = 1
	if requests.finishAttempt(attemptResult(testRequestID, protocol.NotSent)) || request.answered || request.doneCount > 0 {
		t.Errorf("a failed attempt ended its request: %+v", request.Request)
	}
	if !requests.finishAttempt(attemptResult(2, protocol.Succeeded)) {
		t.Error("an unknown request needs a further attempt")
	}
}

// A coalesced retry gets the reply of the request that it repeats. If that request is already answered, the retry is rejected.
func TestCoalescedRetryGetsReply(t *testing.T) {
	requests := newOpenRequests(&activity{})
	leader := addTestRequest(&requests)
	retry := NewRequest(nil, time.Now(), nil)
	requests.coalesce(&JoinedRetry{ID: 2, LeaderID: testRequestID, Request: retry})
	requests.reply(testRequestID, Reply{})
	wantReply(t, "the request", leader.Request, false, admission.Failed)
	select {
	case reply := <-retry.Replies():
		if reply.Rejected {
			t.Errorf("got reply %+v to the retry, want that of the request", reply)
		}
	default:
		t.Error("got no reply to the retry")
	}
	late := NewRequest(nil, time.Now(), nil)
	requests.coalesce(&JoinedRetry{ID: 3, LeaderID: testRequestID, Request: late})
	if reply := <-late.Replies(); !reply.Rejected {
		t.Errorf("got reply %+v to a retry of an answered request, want a rejection", reply)
	}
}

// A cancelled request ends without a reply.
func TestCancelledRequestHasNoReply(t *testing.T) {
	requests := newOpenRequests(&activity{})
	request := addTestRequest(&requests)
	if !requests.cancel(testRequestID) || request.Result() != admission.ClientGone || request.doneCount != 1 || len(request.replies) > 0 {
		t.Errorf("cancelled: got result %d, %d calls of OnDone and %d replies, want ClientGone, 1 and 0", request.Result(), request.doneCount, len(request.replies))
	}
	if requests.cancel(testRequestID) {
		t.Error("an unknown request was cancelled")
	}
}
