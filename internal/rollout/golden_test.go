package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agent"
	"switchfork/internal/agenttest"
	"switchfork/internal/golden"
	"switchfork/internal/policy"
)

// What is written stays as it was, byte by byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	loop := agent.NewLoop(&agenttest.Router{}, agent.NewClock())
	address, first := agenttest.Capture(t)
	launcher := NewClient(loop, address, time.Second, agenttest.Patience, 1)
	s := launcher.open(t.Context(), 0)
	write("news", first())
	s.stop()

	address, first = agenttest.Capture(t)
	launcher = NewClient(loop, address, time.Second, agenttest.Patience, 1)
	for v := policy.NoVote; v <= policy.RollBack; v++ {
		launcher.cast(t.Context(), launcher.base, policy.Vote{Build: 42, Stage: 3, Verdict: v})
		write(fmt.Sprintf("vote %d", v), first())
	}
	launcher.dated(t.Context(), launcher.base, TimedVote{
		Vote: policy.Vote{Build: 43, Stage: 1, Verdict: policy.RollBack}, WriteBefore: time.Now().Add(agenttest.Patience), Resolved: func(bool) {},
	})
	write("dated vote", first())
	golden.Check(t, "requests.golden", out.String())
}
