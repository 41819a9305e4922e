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

// Calls to the rollout controller match the golden file byte for byte.
func TestGoldenRequests(t *testing.T) {
	var out strings.Builder
	write := func(what, text string) { fmt.Fprintf(&out, "== %s\n%q\n", what, text) }
	loop := agent.NewLoop(&agenttest.Router{}, agent.NewClock())
	address, first := agenttest.Capture(t)
	client := NewClient(loop, Config{Address: address, DialTimeout: time.Second, VoteTimeout: agenttest.WaitTimeout, Seed: 1})
	stream := client.openStream(t.Context(), 0)
	write("news", first())
	stream.cancel()

	address, first = agenttest.Capture(t)
	client = NewClient(loop, Config{Address: address, DialTimeout: time.Second, VoteTimeout: agenttest.WaitTimeout, Seed: 1})
	for v := policy.NoVote; v <= policy.Rollback; v++ {
		sendVote(t.Context(), client.httpClient, client.apiURL, policy.Vote{Build: 42, Stage: 3, Verdict: v})
		write(fmt.Sprintf("vote %d", v), first())
	}
	client.castTimedVote(t.Context(), client.apiURL, TimedVote{
		Vote: policy.Vote{Build: 43, Stage: 1, Verdict: policy.Rollback}, WriteBefore: time.Now().Add(agenttest.WaitTimeout), Resolved: func(bool) {},
	})
	write("timed vote", first())
	golden.Check(t, "requests.golden", out.String())
}
