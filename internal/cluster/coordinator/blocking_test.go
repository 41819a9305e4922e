package coordinator

import (
	"testing"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/policy"
)

// returnsSoon reports whether call returns within 2 s, without waiting for the mailbox to be emptied.
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

// The rest of the agent never blocks when it passes something to the coordinator. All messages once shared one channel with room for 1,024.
// While the channel was full of frames from other agents, Recommend waited for room, and in a trial was still blocked after 500 ms. The
// event loop calls Recommend, and the whole agent waits while the event loop is blocked. After the end of Serve, Recommend would wait
// forever.
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
			t.Errorf("%s blocked while the frame queue was full", name)
		}
	}
}
