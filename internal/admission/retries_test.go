package admission

import (
	"fmt"
	"testing"
)

// A retry replaces an earlier attempt that is waiting. If the earlier attempt is in progress, the retry shares the answer or waits
// until the earlier attempt has finished. After the earlier attempt has finished, the retry is handled as a new request.
func TestRetryJoinsEarlierAttempt(t *testing.T) {
	for _, coalescesRetries := range []bool{false, true} {
		c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, coalescesRetries)
		fixLimit(c, 1)
		c.arrive(Arrival{ID: 1, Client: 1, Class: 1, Key: 5, CostHint: 5 * millisecond})
		c.arrive(Arrival{ID: 2, Client: 2, Class: 1, Key: 6, CostHint: 5 * millisecond})
		c.arrive(Arrival{ID: 3, Client: 3, Class: 1, Key: 7, CostHint: 5 * millisecond})
		c.advance(50 * millisecond)
		c.arrive(Arrival{ID: 4, Client: 2, Class: 1, Key: 6, CostHint: 5 * millisecond, Deadline: c.now + second})
		if command := c.rejected[2]; command.Reason != Replaced {
			t.Fatalf("earlier attempt: got %+v, want a rejection with reason Replaced", command)
		}
		if retry := c.requests.get(4); retry.firstArrival != 0 || retry.waitDeadline != 500*millisecond {
			t.Errorf("retry: got first arrival %d and wait deadline %d, want those of the earlier attempt, 0 and 500 ms", retry.firstArrival, retry.waitDeadline)
		}
		c.arrive(Arrival{ID: 5, Client: 1, Class: 1, Key: 5}) // its earlier attempt is in progress
		if len(c.inProgress) != 1 {
			t.Fatalf("got requests %v in progress, want only the first attempt", c.inProgress)
		}
		c.finish(1, Succeeded)
		switch {
		case coalescesRetries && c.finalAnswers[5] != 1:
			t.Error("the retry did not get its earlier attempt's answer")
		case !coalescesRetries && (c.finalAnswers[5] != 0 || c.requests.get(5) == nil):
			t.Error("the retry is not queued after its earlier attempt has finished")
		}
		for range 3 {
			for id := range c.inProgress {
				c.finish(id, Succeeded)
			}
		}
		c.arrive(Arrival{ID: 9, Client: 1, Class: 1, Key: 5})
		if !c.inProgress[9] {
			t.Error("a new request with the idempotency key of a finished request was not admitted")
		}
		if want := []uint64{1, 4}; fmt.Sprint(c.admitted[:2]) != fmt.Sprint(want) {
			t.Errorf("got admitted requests %v, want %v first", c.admitted, want)
		}
	}
}

// Requests of one client without an idempotency key that concern the same object are different requests, unless marked as retries.
func TestUnkeyedRequestsJoinOnlyAsRetries(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, false)
	fixLimit(c, 1)
	for id := uint64(1); id <= 4; id++ {
		c.arrive(Arrival{ID: id, Client: 3, Key: 9, CostHint: 5 * millisecond, IsRetry: id == 4})
	}
	if c.Counters.Rejoined != 1 || c.rejected[3].Reason != Replaced || len(c.rejected) != 1 {
		t.Errorf("got %d rejoined requests and rejections %v, want 1 and request 3 rejected as replaced", c.Counters.Rejoined, c.rejected)
	}
}

// A retry shares the answer of an earlier attempt only if it asks for the same: with another target, body or header it may be owed another
// answer. With the idempotency key of an attempt in progress it waits for its end; without a key it is a request of its own.
func TestOnlySameRequestSharesAnswer(t *testing.T) {
	otherContent := func(a *Arrival) { a.Content[0]++ }
	otherHeaders := func(a *Arrival) { a.Headers[0]++ }
	same := func(*Arrival) {}
	for _, test := range []struct {
		name           string
		class          int
		change         func(*Arrival)
		wantCoalesced  bool
		wantInProgress bool
	}{
		{"the same, without a key", unkeyedClass, same, true, false},
		{"the same, with a key", keyedClass, same, true, false},
		{"other content, without a key", unkeyedClass, otherContent, false, true},
		{"other content, with a key", keyedClass, otherContent, false, false},
		{"other headers, without a key", unkeyedClass, otherHeaders, false, false},
		{"other headers, with a key", keyedClass, otherHeaders, false, false},
	} {
		c := newTestController([]float64{1}, Limits{Requests: 100, Bytes: 1 << 20, Queues: 8}, true)
		c.arrive(Arrival{ID: 1, Client: 1, Class: test.class, Key: 5})
		retry := Arrival{ID: 2, Client: 1, Class: test.class, Key: 5, IsRetry: true}
		test.change(&retry)
		c.arrive(retry)
		if c.isCoalesced(2) != test.wantCoalesced || c.inProgress[2] != test.wantInProgress {
			t.Errorf("%s: got coalesced %t and in progress %t, want %t and %t", test.name, c.isCoalesced(2), c.inProgress[2], test.wantCoalesced, test.wantInProgress)
		}
		c.finish(1, Succeeded)
		if c.finalAnswers[2] == 0 && !c.inProgress[2] {
			t.Errorf("%s: the second request is neither answered nor in progress after the first has finished", test.name)
		}
	}
}

// Two questions of one client about one object, both rejected, hold a reservation each. The first to return does not take the other's.
func TestQuestionsAboutOneObjectHaveReservationsOfTheirOwn(t *testing.T) {
	c := newTestController([]float64{1}, Limits{Requests: 2, Bytes: 1 << 20, Queues: 8}, true)
	fixLimit(c, 2)
	for id := uint64(1); id <= 2; id++ {
		c.arrive(Arrival{ID: id, Client: id, CostHint: millisecond})
	}
	for id := uint64(3); id <= 4; id++ {
		c.arrive(Arrival{ID: id, Client: 9, Key: 5, Content: Fingerprint{byte(id)}, CostHint: millisecond})
	}
	if c.reservations.count() != 2 {
		t.Errorf("got %d reservations after the rejections %v, want 2", c.reservations.count(), c.rejected)
	}
}
