package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

// The agent votes for the rollback of a build whose requests fail. If the rollout controller throttles the vote, the agent sends it again
// after a backoff.
func TestRollbackVote(t *testing.T) {
	healthy := agenttest.NewScriptedServer(t, fakes.Respond(fakes.OKResponse("1")))
	failing := agenttest.NewScriptedServer(t, fakes.Respond("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"))
	hosts := []string{fakes.ListEntry("s-1", healthy.Addr(), "active", 41)}
	for i := range 4 { // a single failing endpoint would be ejected before there is enough evidence for a vote
		hosts = append(hosts, fakes.ListEntry(fmt.Sprint("t-", i), failing.Addr(), "active", 42))
	}
	agent := startReadyAgent(t, hosts...)
	agenttest.Eventually(t, "the call for rollout updates", func() bool { return agent.rolloutController.CallsContaining("/api/bulletin") > 0 })
	agent.rolloutController.Publish(fakes.RolloutEvent(42, 0, "testing", 0.5))
	agenttest.Eventually(t, "the rollout update", func() bool { return strings.Contains(agent.log.String(), "build=42") })
	requests := 0
	vote := "image=42&ring=0&opinion=reject"
	agenttest.Eventually(t, "two votes", func() bool {
		requests++
		if got := agent.request(t, "GET", fmt.Sprintf("/lookup?sid=%016x", requests), ""); got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
			t.Errorf("got %+v, want status 200 or 503", got)
		}
		return agent.rolloutController.CallsContaining(vote) >= 2
	})
	if len(failing.Requests()) < 10 {
		t.Errorf("voted after %d attempts at the failing build, want at least 10", len(failing.Requests()))
	}
}
