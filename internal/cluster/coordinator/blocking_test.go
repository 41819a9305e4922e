package coordinator

import (
	"testing"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// returnsSoon reports whether a call returns, and does not wait for somebody to empty the mailbox.
func returnsSoon(call func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	select {
	case <-done:
		return true
	case <-time.After(2 * time.Second):
		return false
	}
}

// What the rest of the agent tells the coordinator never makes it wait. What happened: all messages shared one channel with room for 1,024,
// and behind so many frames of other agents Recommend, which the event loop calls, waited for room: a trial had it blocked after 500 ms.
// While the event loop waits the whole agent stands still, and once Serve has ended it waits for good.
func TestCallersNeverWait(t *testing.T) {
	var resolve func(written bool)
	c, _ := newTestCoordinator(nil, Callbacks{CastVote: func(_ policy.Vote, _ time.Time, resolved func(bool)) { resolve = resolved }})
	c.execute([]election.Command{election.CastVote{}})
	for range frameQueueCapacity {
		c.Receive(nil)
	}
	for name, call := range map[string]func(){
		"Recommend":      func() { c.Recommend(policy.Vote{Build: 4}) },
		"UpdateRollout":  func() { c.UpdateRollout(policy.RolloutUpdate{Build: 4}) },
		"a vote's reply": func() { resolve(true) },
	} {
		if !returnsSoon(call) {
			t.Errorf("%s waits behind frames of other agents", name)
		}
	}
}
