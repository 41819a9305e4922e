package coordinator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/fakes"
	"switchfork/internal/faulttest"
)

// The fault scenarios of package faulttest cover what several replicas do together: a leader that stalls or leaves, a replica that
// is cut off, members that come and go, and a network that loses, doubles and delays. This file covers what an operator sees
// at the admin address of an agent meanwhile.

// queried is played with TCP between the agents and a state folder for each.
const queried = `agents 3
appliances 4 slots=8 work=5ms
talk tcp
decider lease=600ms
0s load 20
0s wait leads = 1 within 20s
+0s name lead lead within 5s
+0s check queried
+0s term agent:lead
+0s wait alive of=agent:lead = 0 within 12s
+0s check state-folder
+0s load 0
expect settled >= 0.9 of=others:lead
`

// withoutStateDir is the same with datagrams and without state folders; the agent that led is started again.
var withoutStateDir = strings.NewReplacer(
	"talk tcp", "talk datagrams",
	"lease=600ms", "lease=600ms no-folders",
	"check queried", "check refused",
	"check state-folder", "start agent:lead\n+0s check abstains",
).Replace(queried)

// leaderName is what the scenarios call the agent that led first.
const leaderName = "lead"

// A running agent reports who leads and its metrics, and the state folder that it leaves is intact. Without state folders the
// members can't be changed, and an agent that was started again abstains.
func TestAdminOfRunningAgents(t *testing.T) {
	t.Parallel()
	program, err := fakes.BuildAgent(t.TempDir(), "switchfork", "-race")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	playing := faulttest.RunOptions{
		Programs: map[string]string{"": program},
		Keep:     t.TempDir(),
		Checks: map[string]func(faulttest.CheckTarget) error{
			"queried":      func(agents faulttest.CheckTarget) error { return checkQueries(ctx, agents) },
			"state-folder": func(agents faulttest.CheckTarget) error { return checkStateFolder(ctx, agents) },
			"refused":      checkMemberChangeRefused,
			"abstains":     checkAbstains,
		},
	}
	for name, text := range map[string]string{"queried": queried, "without-state-dir": withoutStateDir} {
		t.Run(name, func(t *testing.T) {
			scenario, err := faulttest.ParseScenario(name, text)
			if err == nil {
				err = scenario.CheckRunnable(playing)
			}
			if err != nil {
				t.Fatal(err)
			}
			if verdict := faulttest.Run(t.Context(), scenario, playing); !verdict.Passed {
				timeline, err := os.ReadFile(verdict.Folder + "/timeline.txt")
				t.Error(errors.Join(errors.New(strings.Join(verdict.Failures(), "\n")), err), string(timeline))
			}
		})
	}
}

func checkQueries(ctx context.Context, agents faulttest.CheckTarget) error {
	admin := agents.Admin[agents.Names[leaderName]]
	out, err := exec.CommandContext(ctx, agents.Program, "lead", "--admin", admin).CombinedOutput()
	if err != nil {
		return fmt.Errorf("switchfork lead says %s: %w", out, err)
	}
	if !bytes.Contains(out, []byte("leads, term")) {
		return fmt.Errorf("switchfork lead says %s", out)
	}
	text, err := fetchMetrics(ctx, admin)
	if err != nil {
		return fmt.Errorf("reading metrics: %w", err)
	}
	for _, metric := range []string{"switchfork_election_terms_total 1", "switchfork_decider_terms_total 1"} {
		if !bytes.Contains(text, []byte(metric)) {
			return fmt.Errorf("metrics are %s, expected %s", text, metric)
		}
	}
	return nil
}

func fetchMetrics(ctx context.Context, admin string) ([]byte, error) {
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", admin)
		},
	}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(response.Body)
	return text, errors.Join(err, response.Body.Close())
}

func checkStateFolder(ctx context.Context, agents faulttest.CheckTarget) error {
	folder := agents.State[agents.Names[leaderName]]
	if out, err := exec.CommandContext(ctx, agents.Program, "state", "verify", folder).CombinedOutput(); err != nil {
		return fmt.Errorf("state verify says %s, %w", out, err)
	}
	return nil
}

func checkMemberChangeRefused(agents faulttest.CheckTarget) error {
	leader := agents.Names[leaderName]
	err := coordinator.RequestMemberChange(agents.Admin[leader], coordinator.MemberChange{
		Kind:  coordinator.RemoveMember,
		Agent: (leader + 1) % 3,
	})
	if err == nil || !strings.Contains(err.Error(), "state folder") {
		return fmt.Errorf("a change of members without state folders is answered with %q", fmt.Sprint(err))
	}
	report, err := coordinator.QueryStatus(agents.Admin[leader])
	if err != nil {
		return fmt.Errorf("after it was refused: %w", err)
	}
	if len(report.Members) != 3 {
		return fmt.Errorf("after it was refused: %+v", report)
	}
	return nil
}

func checkAbstains(agents faulttest.CheckTarget) error {
	report, err := coordinator.QueryStatus(agents.Admin[agents.Names[leaderName]])
	if err != nil {
		return fmt.Errorf("asking an agent started again: %w", err)
	}
	if report.AbstainsForMS <= 0 {
		return fmt.Errorf("an agent started again without stored state reports %+v", report)
	}
	return nil
}
