package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A vote that never reached the controller does not count as written. What happened: a connection that was refused, or did not come up in
// time, resolved the vote as written, as only a write deadline that had passed counted as not written; casts_total rose by a vote that nobody
// has, and the log said nothing of it.
func TestRefusedVoteIsNotWritten(t *testing.T) {
	closed := agenttest.Listen(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	r := newRig(t, closed.Addr().String())
	resolved := make(chan bool, 1)
	r.client.castTimedVote(r.Context(), r.client.apiURL, TimedVote{
		Vote: policy.Vote{Build: 4}, WriteBefore: time.Now().Add(agenttest.WaitTimeout), Resolved: func(wrote bool) { resolved <- wrote },
	})
	select {
	case wrote := <-resolved:
		if wrote {
			t.Error("a vote whose connection was refused counts as written")
		}
	default:
		t.Error("not resolved")
	}
}
