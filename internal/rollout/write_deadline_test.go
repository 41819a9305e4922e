package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
	"switchfork/internal/policy"
)

// A timed vote whose time has passed is not written, and is reported as such.
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
			t.Error("reported as written")
		}
	default:
		t.Error("not reported as resolved")
	}
	if requests := server.Requests(); len(requests) != 0 {
		t.Errorf("written: %v", requests)
	}
	if updates := r.updates(); len(updates) != 0 {
		t.Errorf("published %+v", updates)
	}
}
