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

// programs are the agent and another version of it, built once.
var programs = sync.OnceValues(func() (map[string]string, error) {
	dir, err := os.MkdirTemp("", "switchfork")
	if err != nil {
		return nil, err
	}
	buildDir = dir
	now, err := fakes.BuildAgent(dir, "switchfork", "-race")
	if err != nil {
		return nil, err
	}
	other, err := fakes.BuildAgent(dir, "other", "-ldflags", "-X main.version=other")
	return map[string]string{firstProgram: now, "other": other}, err
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

// runSlots bound how many scenarios run at a time: their clients and endpoints share the machine with their agents.
var runSlots = make(chan struct{}, 4)

func runLimited(t *testing.T, n *Scenario, options RunOptions) *Verdict {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	return Run(t.Context(), n, options)
}

// Every shipped scenario passes. SWITCHFORK_SCENARIOS (formerly SWITCHFORK_NIGHTS) selects those whose names contain it, SWITCHFORK_TIMES is
// how often each runs.
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
		n, err := ReadScenario(f)
		if err == nil {
			err = n.CheckRunnable(options)
		}
		if err != nil {
			t.Error(err)
			continue
		}
		for range times {
			t.Run(strings.TrimSuffix(n.File, ".txt"), func(t *testing.T) {
				t.Parallel()
				if v := runLimited(t, n, options); !v.Passed {
					t.Errorf("%s\nlogs, time line and records are in %s", strings.Join(v.Failures(), "\n"), v.Folder)
				}
			})
		}
	}
}

// A scenario whose expectation is false on purpose fails on that line, and so does one whose relays apply no faults.
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
			n, err := ParseScenario("false", text)
			if err != nil {
				t.Fatal(err)
			}
			own := options
			own.IdleRelays, own.Keep = c.idle, t.TempDir()
			v := runLimited(t, n, own)
			got := v.Failures()
			if v.Passed || len(got) != len(c.want) {
				t.Fatalf("passed %t, failures %q, want %q", v.Passed, got, c.want)
			}
			for i, w := range c.want {
				if !strings.HasPrefix(got[i], w) {
					t.Errorf("failure %q, want one of %s", got[i], w)
				}
			}
			for _, name := range []string{"agent-0.log", "agent-1.log", "timeline.txt", "verdict.json", "records.json"} {
				if info, err := os.Stat(filepath.Join(v.Folder, name)); err != nil || info.Size() == 0 {
					t.Errorf("%s is not kept: %v", name, err)
				}
			}
		})
	}
}

// A scenario that is interrupted, and one whose agents don't start, leave no process, listener or goroutine behind.
func TestInterruptionLeavesNothing(t *testing.T) {
	options := runOptions(t)
	goroutines, listeners, children := countLeftovers(t)
	n, err := ParseScenario("long", "agents 3\n0s load 40\n0s pause agent:1\n0s drop agents -> endpoints\n60s load 0\nexpect succeeded >= 0\n")
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
	v := Run(ctx, n, options)
	if v.Passed || len(v.Lines) == 0 || !strings.Contains(v.Lines[0].Observed, "canceled") {
		t.Errorf("interrupted: %+v", v)
	}
	for i := range 3 {
		log, _ := os.ReadFile(filepath.Join(v.Folder, "timeline.txt"))
		if !strings.Contains(string(log), fmt.Sprintf("agent %d's process is over", i)) {
			t.Errorf("agent %d: its end is not in the time line", i)
		}
	}
	options.Programs = map[string]string{firstProgram: "/bin/false"}
	if v = Run(t.Context(), n, options); v.Passed || !strings.Contains(v.Error, "has ended at its start") {
		t.Errorf("a program that ends at once: %+v", v)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(pollInterval) { // the system takes a moment for what was closed
		g, l, c := countLeftovers(t)
		if g <= goroutines && l <= listeners && c <= children {
			break
		}
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("before %d goroutines, %d listeners, %d children; left %d, %d, %d\n%s", goroutines, listeners, children, g, l, c, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// Sixteen agents, 24 endpoints and 400 requests a second meet the latency objective with relays on every link as they do without, and the
// servers counted what the relays did.
func TestRelayOverheadIsNegligible(t *testing.T) {
	options := runOptions(t)
	options.Programs = map[string]string{firstProgram: options.Programs["other"]} // without the race detector: sixteen share the test's cores
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
		n, err := ParseScenario("wide", text)
		if err != nil {
			t.Fatal(err)
		}
		own := options
		own.Direct, own.Keep = direct, t.TempDir()
		v := runLimited(t, n, own)
		if !v.Passed {
			t.Fatalf("direct %t: %s", direct, strings.Join(v.Failures(), "\n"))
		}
		share := 0.0
		if _, err := fmt.Sscanf(v.Lines[0].Observed, "%f", &share); err != nil {
			t.Fatalf("no share in %q: %v", v.Lines[0].Observed, err)
		}
		inTime[direct] = share
		t.Logf("direct %t: %s; %s", direct, v.Lines[0].Observed, v.Lines[1].Observed)
	}
	if math.Abs(inTime[true]-inTime[false]) > 0.005 {
		t.Errorf("in time %.4f without relays, %.4f with them", inTime[true], inTime[false])
	}
}

// countLeftovers counts what a run could leave behind.
func countLeftovers(t *testing.T) (goroutines, listeners, children int) {
	t.Helper()
	own := strconv.Itoa(os.Getpid())
	tasks, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range tasks {
		text, _ := os.ReadFile(f)
		children += len(strings.Fields(string(text)))
	}
	inodes := map[string]bool{}
	for _, f := range []string{"/proc/" + own + "/net/tcp", "/proc/" + own + "/net/udp"} {
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
