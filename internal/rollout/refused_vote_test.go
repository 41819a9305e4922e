package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// A vote that never reached the controller is not counted as written. A vote used to count as not written only if its write deadline had
// passed. A vote whose connection was refused, or was not established in time, was resolved as written: casts_total counted a vote that the
// controller had never received, and nothing was logged.
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
		t.Error("the vote was not resolved")
	}
}
