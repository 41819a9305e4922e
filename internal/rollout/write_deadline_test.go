package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
)

// A timed vote whose write deadline has passed is not written, and is resolved as not written.
func TestTimedVoteIsNotWrittenAfterItsDeadline(t *testing.T) {
	server := agenttest.NewScriptedServer(t, fakes.NeverRespond)
	r := newRig(t, server.Addr())
	resolved := make(chan bool, 1)
	r.client.castTimedVote(r.Context(), r.client.apiURL, TimedVote{
		Vote:        policy.Vote{Build: 42, Verdict: policy.Advance},
		WriteBefore: time.Now().Add(-time.Millisecond),
		Resolved:    func(wrote bool) { resolved <- wrote },
	})
	select {
	case wrote := <-resolved:
		if wrote {
			t.Error("the vote was resolved as written")
		}
	default:
		t.Error("the vote was not resolved")
	}
	if requests := server.Requests(); len(requests) != 0 {
		t.Errorf("the server received %v, want nothing", requests)
	}
	if updates := r.updates(); len(updates) != 0 {
		t.Errorf("got updates %+v, want none", updates)
	}
}
