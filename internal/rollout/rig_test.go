package rollout

import (
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
)

// rig is a test setup with an event loop and a rollout client.
type rig struct {
	*agenttest.Rig
	client *Client
}

func newRig(t *testing.T, controller string) *rig {
	t.Helper()
	r := &rig{Rig: agenttest.NewRig(t, time.Second)}
	r.client = NewClient(r.Loop, Config{Address: controller, DialTimeout: time.Second, VoteTimeout: 300 * time.Millisecond, Seed: 1})
	return r
}

// updates returns the updates that the router has received so far.
func (r *rig) updates() []policy.RolloutUpdate {
	return agenttest.Events[policy.RolloutUpdate](r.Router)
}

// awaitUpdates waits until the router has received the given number of updates. what describes the awaited state in a failure message.
func (r *rig) awaitUpdates(t *testing.T, what string, count int) {
	t.Helper()
	agenttest.Eventually(t, what, func() bool { return len(r.updates()) == count })
}
