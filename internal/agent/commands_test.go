package agent

import (
	"testing"
	"time"

	"switchfork/internal/policy"
	"switchfork/internal/protocol"
	"switchfork/internal/upstream"
)

// An attempt that can't be sent is reported as not sent, once. After the report is handled, its request has as many attempts in flight as
// before.
func TestImpossibleAttemptIsReportedAsNotSent(t *testing.T) {
	for name, prepare := range map[string]func(*Request){
		"endpoint not listed":       func(*Request) {},
		"request with an attempt":   func(request *Request) { request.inFlight = 1 },
		"request that is answered":  func(request *Request) { request.answered, request.inFlight = true, 1 },
		"request that is not known": nil,
	} {
		counts := &activity{}
		requests := newOpenRequests(counts)
		endpoints := newEndpointRegistry(nil)
		inFlight := 0
		if prepare != nil {
			request := addTestRequest(&requests)
			prepare(request.Request)
			inFlight = request.inFlight
		}
		var reported []upstream.AttemptFinished
		executor := commandExecutor{
			requests:      &requests,
			endpoints:     &endpoints,
			activity:      counts,
			reportAttempt: func(finished upstream.AttemptFinished) { reported = append(reported, finished) },
		}
		executor.execute(policy.SendAttempt{RequestID: testRequestID, EndpointID: 7}, time.Now())
		if len(reported) != 1 || reported[0].Result != protocol.NotSent || reported[0].RequestID != testRequestID || reported[0].EndpointID != 7 {
			t.Errorf("%s: reported %+v, want the attempt as not sent", name, reported)
			continue
		}
		if counts.attempts != 0 {
			t.Errorf("%s: %d attempts are counted, want none", name, counts.attempts)
		}
		requests.finishAttempt(reported[0])
		if request := requests.get(testRequestID); request != nil && request.inFlight != inFlight {
			t.Errorf("%s: %d attempts are in flight after the report, want %d as before", name, request.inFlight, inFlight)
		}
	}
}

// An attempt times out after its own timeout, and at its request's deadline at the latest.
func TestAttemptDeadlineIsWithinRequest(t *testing.T) {
	decidedAt := time.Now()
	requestDeadline := decidedAt.Add(time.Second)
	for timeout, want := range map[policy.Micros]time.Time{
		0:         requestDeadline,
		300_000:   decidedAt.Add(300 * time.Millisecond),
		1_000_000: requestDeadline,
		5_000_000: requestDeadline,
	} {
		if got := attemptDeadline(requestDeadline, decidedAt, timeout); !got.Equal(want) {
			t.Errorf("timeout %d: the deadline is %v after the decision, want %v", timeout, got.Sub(decidedAt), want.Sub(decidedAt))
		}
	}
}
