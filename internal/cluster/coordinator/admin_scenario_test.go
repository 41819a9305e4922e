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
// is cut off, members that are added and removed, and a network that loses, duplicates and delays messages. This file covers what an
// operator sees at the admin address of a running agent.

// queryScenario runs three agents that use TCP between them and have a state folder each.
const queryScenario = `agents 3
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

// withoutStateDir is queryScenario with datagrams instead of TCP, and without state folders. At the end of the scenario, the first leader is
// started again.
var withoutStateDir = strings.NewReplacer(
	"talk tcp", "talk datagrams",
	"lease=600ms", "lease=600ms no-folders",
	"check queried", "check refused",
	"check state-folder", "start agent:lead\n+0s check abstains",
).Replace(queryScenario)

// leaderName is the name of the first leader in the scenarios.
const leaderName = "lead"

// A running agent reports the leader and its own metrics, and its state folder is intact after it ends. Without state folders a member
// change is refused, and an agent that is started again abstains.
func TestAdminOfRunningAgents(t *testing.T) {
	t.Parallel()
	program, err := fakes.BuildAgent(t.TempDir(), "switchfork", "-race")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	options := faulttest.RunOptions{
		Programs: map[string]string{"": program},
		Keep:     t.TempDir(),
		Checks: map[string]func(faulttest.CheckTarget) error{
			"queried":      func(agents faulttest.CheckTarget) error { return checkQueries(ctx, agents) },
			"state-folder": func(agents faulttest.CheckTarget) error { return checkStateFolder(ctx, agents) },
			"refused":      checkMemberChangeRefused,
			"abstains":     checkAbstains,
		},
	}
	for name, text := range map[string]string{"queried": queryScenario, "without-state-dir": withoutStateDir} {
		t.Run(name, func(t *testing.T) {
			scenario, err := faulttest.ParseScenario(name, text)
			if err == nil {
				err = scenario.CheckRunnable(options)
			}
			if err != nil {
				t.Fatal(err)
			}
			if verdict := faulttest.Run(t.Context(), scenario, options); !verdict.Passed {
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
		return fmt.Errorf("switchfork lead printed %s: %w", out, err)
	}
	if !bytes.Contains(out, []byte("leads, term")) {
		return fmt.Errorf("switchfork lead printed %s, want a line with \"leads, term\"", out)
	}
	text, err := fetchMetrics(ctx, admin)
	if err != nil {
		return fmt.Errorf("reading metrics: %w", err)
	}
	for _, metric := range []string{"switchfork_election_terms_total 1", "switchfork_decider_terms_total 1"} {
		if !bytes.Contains(text, []byte(metric)) {
			return fmt.Errorf("got metrics %s, want a line with %s", text, metric)
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
		return fmt.Errorf("switchfork state verify printed %s: %w", out, err)
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
		return fmt.Errorf("member change without state folders: got error %q, want one that mentions the state folder", fmt.Sprint(err))
	}
	report, err := coordinator.QueryStatus(agents.Admin[leader])
	if err != nil {
		return fmt.Errorf("status after the refused member change: %w", err)
	}
	if len(report.Members) != 3 {
		return fmt.Errorf("status after the refused member change: got %+v, want 3 members", report)
	}
	return nil
}

func checkAbstains(agents faulttest.CheckTarget) error {
	report, err := coordinator.QueryStatus(agents.Admin[agents.Names[leaderName]])
	if err != nil {
		return fmt.Errorf("status of the restarted agent: %w", err)
	}
	if report.AbstainsForMS <= 0 {
		return fmt.Errorf("status of the agent restarted without stored state: got %+v, want AbstainsForMS above 0", report)
	}
	return nil
}
