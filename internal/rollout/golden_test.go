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
	client := NewClient(loop, address, time.Second, agenttest.Patience, 1)
	s := client.openStream(t.Context(), 0)
	write("news", first())
	s.cancel()

	address, first = agenttest.Capture(t)
	client = NewClient(loop, address, time.Second, agenttest.Patience, 1)
	for v := policy.NoVote; v <= policy.RollBack; v++ {
		client.send(t.Context(), client.apiURL, policy.Vote{Build: 42, Stage: 3, Verdict: v})
		write(fmt.Sprintf("vote %d", v), first())
	}
	client.castTimed(t.Context(), client.apiURL, TimedVote{
		Vote: policy.Vote{Build: 43, Stage: 1, Verdict: policy.RollBack}, WriteBefore: time.Now().Add(agenttest.Patience), Resolved: func(bool) {},
	})
	write("dated vote", first())
	golden.Check(t, "requests.golden", out.String())
}
