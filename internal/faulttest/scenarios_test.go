package faulttest

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/internal/fakes"
)

// programs builds two versions of the agent's program, once for all tests.
var programs = sync.OnceValues(func() (map[string]string, error) {
	dir, err := os.MkdirTemp("", "switchfork")
	if err != nil {
		return nil, err
	}
	buildDir = dir
	current, err := fakes.BuildAgent(dir, "switchfork", "-race")
	if err != nil {
		return nil, err
	}
	other, err := fakes.BuildAgent(dir, "other", "-ldflags", "-X main.version=other")
	return map[string]string{firstProgram: current, "other": other}, err
})

var buildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		if err := os.RemoveAll(buildDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	os.Exit(code)
}

func runOptions(t *testing.T) RunOptions {
	t.Helper()
	p, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	return RunOptions{Programs: p}
}

// runSlots limits how many scenarios run at the same time, because their clients and endpoints share the machine with their agents.
var runSlots = make(chan struct{}, 4)

func runLimited(t *testing.T, scenario *Scenario, options RunOptions) *Verdict {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	return Run(t.Context(), scenario, options)
}

// Every scenario in the folder scenarios passes. SWITCHFORK_SCENARIOS (formerly SWITCHFORK_NIGHTS) selects the scenarios whose file names
// contain its value. SWITCHFORK_TIMES is the number of runs of each scenario.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("scenarios/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	times := 1
	if n, err := strconv.Atoi(strings.TrimSpace(os.Getenv("SWITCHFORK_TIMES"))); err == nil {
		times = n
	}
	selected := cmp.Or(os.Getenv("SWITCHFORK_SCENARIOS"), os.Getenv("SWITCHFORK_NIGHTS"))
	options := runOptions(t)
	for _, f := range files {
		if !strings.Contains(f, selected) {
			continue
		}
		scenario, err := ReadScenario(f)
		if err == nil {
			err = scenario.CheckRunnable(options)
		}
		if err != nil {
			t.Error(err)
			continue
		}
		for range times {
			t.Run(strings.TrimSuffix(scenario.File, ".txt"), func(t *testing.T) {
				t.Parallel()
				if v := runLimited(t, scenario, options); !v.Passed {
					t.Errorf("%s\nlogs, timeline and records are in %s", strings.Join(v.Failures(), "\n"), v.Folder)
				}
			})
		}
	}
}

// A run of a scenario with expectations that are false on purpose reports a failure for the line of each of these expectations. If the
// relays apply no faults, the run also reports a failure for the line of the fault.
func TestFalseExpectationsFail(t *testing.T) {
	options := runOptions(t)
	const text = `agents 2
endpoints 3 slots=4 service-time=2ms
0s load 40
0s delay 50ms agents -> endpoints
1s heal all
1s load 0
expect succeeded >= 0.9
expect succeeded <= 0.1 of=agent:1
expect never arrivals
expect votes:rollback >= 1
`
	for _, c := range []struct {
		name string
		idle bool
		want []string
	}{
		{"made false", false, []string{"false:8:", "false:9:", "false:10:"}},
		{"idle", true, []string{"false:4:", "false:8:", "false:9:", "false:10:"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			scenario, err := ParseScenario("false", text)
			if err != nil {
				t.Fatal(err)
			}
			caseOptions := options
			caseOptions.IdleRelays, caseOptions.Keep = c.idle, t.TempDir()
			v := runLimited(t, scenario, caseOptions)
			got := v.Failures()
			if v.Passed || len(got) != len(c.want) {
				t.Fatalf("passed %t, failures %q, want %q", v.Passed, got, c.want)
			}
			for i, w := range c.want {
				if !strings.HasPrefix(got[i], w) {
					t.Errorf("got the failure %q, want one that begins with %s", got[i], w)
				}
			}
			for _, name := range []string{"agent-0.log", "agent-1.log", "timeline.txt", "verdict.json", "records.json"} {
				if info, err := os.Stat(filepath.Join(v.Folder, name)); err != nil || info.Size() == 0 {
					t.Errorf("%s is missing or empty: %v", name, err)
				}
			}
		})
	}
}

// A scenario that is interrupted and a scenario whose agents don't start leave no process, listener or goroutine behind.
func TestInterruptionLeavesNothing(t *testing.T) {
	options := runOptions(t)
	goroutines, listeners, children := countLeftovers(t)
	scenario, err := ParseScenario("long", "agents 3\n0s load 40\n0s pause agent:1\n0s drop agents -> endpoints\n60s load 0\nexpect succeeded >= 0\n")
	if err != nil {
		t.Fatal(err)
	}
	options.Keep = t.TempDir()
	ctx, stop := context.WithCancel(t.Context())
	options.Progress = func(done, _ int, _ string) {
		if done == 3 {
			stop()
		}
	}
	v := Run(ctx, scenario, options)
	if v.Passed || len(v.Lines) == 0 || !strings.Contains(v.Lines[0].Observed, "canceled") {
		t.Errorf("interrupted scenario: got %+v, want a failure with \"canceled\" observed on the first line", v)
	}
	for i := range 3 {
		log, _ := os.ReadFile(filepath.Join(v.Folder, "timeline.txt"))
		if !strings.Contains(string(log), fmt.Sprintf("agent %d's process ended", i)) {
			t.Errorf("the end of agent %d's process is not in the timeline", i)
		}
	}
	options.Programs = map[string]string{firstProgram: "/bin/false"}
	if v = Run(t.Context(), scenario, options); v.Passed || !strings.Contains(v.Error, "has ended at its start") {
		t.Errorf("program that exits at once: got %+v, want an error that the agent has ended at its start", v)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(pollInterval) { // the system takes a moment to release what was closed
		g, l, c := countLeftovers(t)
		if g <= goroutines && l <= listeners && c <= children {
			break
		}
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("before the runs: %d goroutines, %d listeners, %d children; after them: %d, %d, %d\n%s", goroutines, listeners, children, g, l, c, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// With 16 agents, 24 endpoints and 400 requests per second, relays on every link change the share of requests that meet the latency
// objective by at most 0.005, and the servers count the same bytes as the relays.
func TestRelayOverheadIsNegligible(t *testing.T) {
	options := runOptions(t)
	options.Programs = map[string]string{firstProgram: options.Programs["other"]} // without the race detector, because 16 agents share the test's cores
	const text = `agents 16
endpoints 24 slots=4 service-time=20ms
transport datagrams
0s load 25 keyed=0.3
5s load 0
expect within-objective >= 0.98
expect median <= 100
expect offered >= 1500
`
	inTime := map[bool]float64{}
	for _, direct := range []bool{true, false} {
		scenario, err := ParseScenario("wide", text)
		if err != nil {
			t.Fatal(err)
		}
		caseOptions := options
		caseOptions.Direct, caseOptions.Keep = direct, t.TempDir()
		v := runLimited(t, scenario, caseOptions)
		if !v.Passed {
			t.Fatalf("direct %t: %s", direct, strings.Join(v.Failures(), "\n"))
		}
		share := 0.0
		if _, err := fmt.Sscanf(v.Lines[0].Observed, "%f", &share); err != nil {
			t.Fatalf("no share of requests in the observation %q: %v", v.Lines[0].Observed, err)
		}
		inTime[direct] = share
		t.Logf("direct %t: %s; %s", direct, v.Lines[0].Observed, v.Lines[1].Observed)
	}
	if math.Abs(inTime[true]-inTime[false]) > 0.005 {
		t.Errorf("share within the objective: %.4f without relays, %.4f with them, want a difference of at most 0.005", inTime[true], inTime[false])
	}
}

// countLeftovers counts the goroutines, listening sockets and child processes of the test process, which a run could leave behind.
func countLeftovers(t *testing.T) (goroutines, listeners, children int) {
	t.Helper()
	pid := strconv.Itoa(os.Getpid())
	tasks, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range tasks {
		text, _ := os.ReadFile(f)
		children += len(strings.Fields(string(text)))
	}
	inodes := map[string]bool{}
	for _, f := range []string{"/proc/" + pid + "/net/tcp", "/proc/" + pid + "/net/udp"} {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range strings.Split(string(text), "\n") {
			if w := strings.Fields(row); len(w) > 9 && (w[3] == "0A" || strings.HasSuffix(f, "udp")) {
				inodes["socket:["+w[9]+"]"] = true
			}
		}
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range open {
		if to, err := os.Readlink("/proc/self/fd/" + f.Name()); err == nil && inodes[to] {
			listeners++
		}
	}
	return runtime.NumGoroutine(), listeners, children
}
