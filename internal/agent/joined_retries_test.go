package agent

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"switchfork/internal/protocol"
)

// testRetry is a retry that counts what happens to it.
type testRetry struct {
	*JoinedRetry
	doneCount     int
	returnedCount int
}

func newTestRetry(id, leaderID uint64) *testRetry {
	retry := &testRetry{}
	request := NewRequest(nil, time.Now().Add(time.Minute), func() { retry.doneCount++ })
	retry.JoinedRetry = &JoinedRetry{ID: id, LeaderID: leaderID, Request: request, Return: func() { retry.returnedCount++ }}
	return retry
}

// firstRetryID is the ID of the first retry that a test adds.
const firstRetryID = 100

// A retry that has joined a request is answered or returned though the client of the request leaves: with the response of the attempt in
// flight if that succeeds, or else returned to be admitted by itself.
func TestJoinedRetryOutlivesClientOfLeader(t *testing.T) {
	for name, test := range map[string]struct {
		inFlight  int
		result    protocol.Result
		joinsLate bool
		wantReply bool
	}{
		"attempt succeeds":                    {1, protocol.Succeeded, false, true},
		"attempt succeeds, retry joins late":  {1, protocol.Succeeded, true, true},
		"attempt fails":                       {1, protocol.LostAfterSent, false, false},
		"attempt fails, retry joins late":     {1, protocol.TimedOut, true, false},
		"no attempt":                          {0, protocol.Succeeded, false, false},
		"request is invalid to the endpoint":  {1, protocol.ClientError, false, true},
		"request is invalid, retry is behind": {1, protocol.ClientError, true, true},
	} {
		requests := newOpenRequests(&activity{})
		leader := addTestRequest(&requests)
		leader.inFlight = test.inFlight
		retry := newTestRetry(firstRetryID, testRequestID)
		if !test.joinsLate {
			requests.coalesce(retry.JoinedRetry)
		}
		if !requests.cancel(testRequestID) {
			t.Errorf("%s: the policy is not told that the client has gone", name)
		}
		if test.joinsLate {
			requests.coalesce(retry.JoinedRetry)
		}
		if test.inFlight > 0 {
			requests.finishAttempt(attemptResult(testRequestID, test.result))
		}
		hasReply, wasReturned := len(retry.Request.replies) == 1, retry.returnedCount == 1
		if hasReply != test.wantReply || wasReturned == test.wantReply || retry.doneCount != len(retry.Request.replies) {
			t.Errorf("%s: got reply %t, returned %t, %d calls of OnDone; want reply %t, and returned if not", name, hasReply, wasReturned, retry.doneCount, test.wantReply)
		}
		if leader.doneCount != 1 || len(leader.replies) != 0 || len(requests.byID)+len(requests.retries.byID) != 0 {
			t.Errorf("%s: the request whose client has gone was answered or is still open", name)
		}
	}
}

// A joined retry is answered at its own deadline though the request that it has joined stays open: rejected only if no attempt was made.
func TestJoinedRetryIsAnsweredAtItsDeadline(t *testing.T) {
	for _, attempts := range []int{0, 1} {
		requests := newOpenRequests(&activity{})
		leader := addTestRequest(&requests)
		leader.attempts = attempts
		retry := newTestRetry(firstRetryID, testRequestID)
		requests.coalesce(retry.JoinedRetry)
		requests.retries.expire(retry.ID)
		requests.retries.expire(retry.ID) // a timer that fired as the retry was answered
		if len(retry.Request.replies) != 1 || retry.doneCount != 1 || (<-retry.Request.replies).Rejected != (attempts == 0) {
			t.Errorf("%d attempts: got %+v and %d calls of OnDone, want one reply, a rejection if there was no attempt", attempts, retry.Request, retry.doneCount)
		}
		requests.reply(testRequestID, Reply{})
		if len(leader.replies) != 1 || len(retry.Request.replies) != 0 {
			t.Errorf("%d attempts: the leader has %d replies and the retry %d more, want 1 and 0", attempts, len(leader.replies), len(retry.Request.replies))
		}
	}
}

// A joined retry whose client leaves takes nobody with it.
func TestCancelledRetryLeavesOthers(t *testing.T) {
	requests := newOpenRequests(&activity{})
	leader := addTestRequest(&requests)
	leaves, stays := newTestRetry(firstRetryID, testRequestID), newTestRetry(firstRetryID+1, testRequestID)
	requests.coalesce(leaves.JoinedRetry)
	requests.coalesce(stays.JoinedRetry)
	if requests.cancel(leaves.ID) {
		t.Error("the policy is told of a retry that it does not know")
	}
	requests.reply(testRequestID, Reply{})
	if len(leader.replies) != 1 || len(stays.Request.replies) != 1 || len(leaves.Request.replies) != 0 || leaves.doneCount != 1 {
		t.Errorf("got %d, %d and %d replies to the leader, the retry that stays and the one that has left, want 1, 1 and 0",
			len(leader.replies), len(stays.Request.replies), len(leaves.Request.replies))
	}
}

// drawnRequests holds the requests of one random sequence.
type drawnRequests struct {
	openRequests
	leaders map[uint64]*testRequest
	retries map[uint64]*testRetry
	left    map[uint64]bool // retries whose clients have left
}

func (d *drawnRequests) addLeader(id uint64) {
	leader := &testRequest{}
	leader.Request = NewRequest(nil, time.Now().Add(time.Minute), func() { leader.doneCount++ })
	d.add(id, leader.Request)
	d.leaders[id] = leader
}

// step performs a random action. nextID is the ID of a request that the action may add.
func (d *drawnRequests) step(t *rapid.T, nextID uint64) {
	leaderID := rapid.SampledFrom(slices.Sorted(maps.Keys(d.leaders))).Draw(t, "leader")
	leader := d.leaders[leaderID]
	switch rapid.IntRange(0, 6).Draw(t, "action") {
	case 0:
		d.addLeader(nextID)
	case 1:
		if leader.canAttempt() {
			leader.inFlight++
			leader.attempts++
		}
	case 2:
		if leader.inFlight > 0 {
			results := []protocol.Result{protocol.Succeeded, protocol.ClientError, protocol.LostAfterSent, protocol.ConnectionRefused}
			d.finishAttempt(attemptResult(leaderID, rapid.SampledFrom(results).Draw(t, "result")))
		}
	case 3:
		d.reply(leaderID, Reply{Rejected: leader.attempts == 0})
	case 4:
		d.cancel(leaderID)
	case 5:
		retry := newTestRetry(nextID, leaderID)
		d.retries[nextID] = retry
		d.coalesce(retry.JoinedRetry)
	case 6:
		if len(d.retries) == 0 {
			return
		}
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(d.retries))).Draw(t, "retry")
		if rapid.Bool().Draw(t, "expires") {
			d.openRequests.retries.expire(id)
			return
		}
		d.left[id] = d.left[id] || d.openRequests.retries.isJoined(id)
		d.cancel(id)
	}
}

// check fails the test unless each retry waits for a request that is open, or has ended in one way: with one reply, returned, or without
// either because its client has left.
func (d *drawnRequests) check(t *rapid.T) {
	for id, retry := range d.retries {
		ends := len(retry.Request.replies) + retry.returnedCount
		if d.left[id] {
			ends++
		}
		isWaiting := d.openRequests.retries.isJoined(id)
		if isWaiting && d.get(retry.LeaderID) == nil {
			t.Fatalf("retry %d waits for request %d, which has ended", id, retry.LeaderID)
		}
		if isWaiting == (ends == 1) || ends > 1 || !isWaiting && retry.doneCount+retry.returnedCount != 1 {
			t.Fatalf("retry %d: waits %t, %d replies, returned %d times, client has left %t, %d calls of OnDone", id, isWaiting,
				len(retry.Request.replies), retry.returnedCount, d.left[id], retry.doneCount)
		}
	}
}

// For any order of attempts, replies, deadlines and clients that leave, each retry that joins a request gets one reply or is returned once.
func TestRandomJoinedRetriesEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawnRequests{newOpenRequests(&activity{}), map[uint64]*testRequest{}, map[uint64]*testRetry{}, map[uint64]bool{}}
		d.addLeader(1)
		for id := uint64(2); id < 80; id++ {
			d.step(t, id)
			d.check(t)
		}
		for id, leader := range d.leaders {
			d.cancel(id)
			if leader.inFlight > 0 {
				d.finishAttempt(attemptResult(id, protocol.TimedOut))
			}
			if leader.doneCount != 1 || len(leader.replies) > 1 {
				t.Fatalf("request %d: got %d calls of OnDone and %d replies", id, leader.doneCount, len(leader.replies))
			}
		}
		d.check(t)
		if len(d.byID)+len(d.openRequests.retries.byID) != 0 {
			t.Fatalf("%d requests and %d retries are left", len(d.byID), len(d.openRequests.retries.byID))
		}
	})
}
