package faulttest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// agent is one of the deployment's agents. It keeps its addresses when it is restarted. Only one step at a time changes its files and its
// process.
type agent struct {
	number          int
	dir             string
	adminAddress    string
	stateDir        string
	listenAddress   string
	datagramAddress string
	streamAddress   string   // address at which the agent accepts the election's streams
	operator        []string // lines of the operator file
	log             *fakes.Log

	mu              sync.Mutex
	process         *fakes.Agent // the newest process; nil: none was started yet
	lifetimes       []ProcessLifetime
	initialVersions []configuredVersions // versions in the configuration that each process started with, by lifetime
}

func newAgent(ctx context.Context, number int, dir string) (*agent, error) {
	a := &agent{number: number, dir: filepath.Join(dir, fmt.Sprintf("agent-%d", number)), log: &fakes.Log{}}
	a.stateDir = filepath.Join(a.dir, "state")
	a.adminAddress = filepath.Join(dir, fmt.Sprintf("a%d", number)) // the path of a Unix socket has to be short
	if err := os.MkdirAll(a.dir, 0o700); err != nil {
		return nil, err
	}
	for _, address := range []*string{&a.listenAddress, &a.datagramAddress, &a.streamAddress} {
		free, err := fakes.FreeAddress(ctx)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return a, nil
}

// operatorFile returns the text of the agent's operator file.
func (a *agent) operatorFile() string { return strings.Join(a.operator, "\n") + "\n" }

// setOperatorLine removes the lines with the keyword tokens[0] from the text of the operator file, and adds one line of the given tokens.
func (a *agent) setOperatorLine(tokens []string) {
	a.operator = slices.DeleteFunc(slices.Clone(a.operator), func(line string) bool { return strings.Fields(line)[0] == tokens[0] })
	a.operator = append(a.operator, strings.Join(tokens, " "))
}

func (a *agent) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join(a.dir, name), []byte(text), 0o600)
}

// current returns the newest process, or nil if none was started yet.
func (a *agent) current() *fakes.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process
}

// beginLifetime records that a process is about to be started, and which versions its configuration contains. It returns the index of the
// process's lifetime.
func (a *agent) beginLifetime(versions configuredVersions) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifetimes = append(a.lifetimes, ProcessLifetime{Start: versions.at, End: -1, TermSentAt: -1})
	a.initialVersions = append(a.initialVersions, versions)
	return len(a.lifetimes) - 1
}

func (a *agent) setProcess(process *fakes.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.process = process
}

// recordExit records that the process of a lifetime has ended, unless its end is already recorded. The parameter lifetime is its
// index, because the agent's next process may have been started in the meantime.
func (a *agent) recordExit(lifetime int, at netfault.Micros, exitErr error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := &a.lifetimes[lifetime]
	if l.End >= 0 {
		return
	}
	l.End = at
	if exitErr != nil {
		l.ExitError = exitErr.Error()
	}
}

// markTerminated records that SIGTERM is about to be sent.
func (a *agent) markTerminated(at netfault.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifetimes[len(a.lifetimes)-1].TermSentAt = at
}

// markKilled records that the process is about to be killed.
func (a *agent) markKilled(at netfault.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := &a.lifetimes[len(a.lifetimes)-1]; l.End < 0 {
		l.End, l.WasKilled = at, true
	}
}

// updateLifetime changes the newest lifetime. The function change may also signal the process. Other goroutines see the lifetime only after
// the change and the signal.
func (a *agent) updateLifetime(change func(*ProcessLifetime) error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return change(&a.lifetimes[len(a.lifetimes)-1])
}

// isRunning reports whether the newest process is running and has not been sent SIGTERM.
func (a *agent) isRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.lifetimes)
	return n > 0 && a.lifetimes[n-1].End < 0 && a.lifetimes[n-1].TermSentAt < 0 && a.process != nil
}

// wasKilled reports whether one of these holds: the newest process has ended, or the process that was running at the time at has since
// ended without being sent SIGTERM. The second case matters because the agent's next process may have been started in the meantime.
func (a *agent) wasKilled(at netfault.Micros) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.lifetimes)
	return n == 0 || a.lifetimes[n-1].End >= 0 || slices.ContainsFunc(a.lifetimes, func(l ProcessLifetime) bool {
		return l.Start <= at && l.End >= at && l.TermSentAt < 0
	})
}

func (a *agent) snapshotLifetimes() []ProcessLifetime {
	a.mu.Lock()
	defer a.mu.Unlock()
	lifetimes := slices.Clone(a.lifetimes)
	for i := range lifetimes {
		lifetimes[i].Pauses = slices.Clone(lifetimes[i].Pauses)
	}
	return lifetimes
}

// isLeader asks the agent at its admin address whether it is the leader.
func (a *agent) isLeader() bool {
	status, err := coordinator.QueryStatus(a.adminAddress)
	return err == nil && status.IsLeader
}

// isHealthy queries the health check of the newest process.
func (a *agent) isHealthy(ctx context.Context) bool {
	process := a.current()
	return process != nil && !process.HasExited() && process.IsHealthy(ctx)
}

// writeLog writes what the agent logged, and closes the writer.
func (a *agent) writeLog(w io.WriteCloser) error {
	_, err := io.WriteString(w, a.log.String())
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	return err
}
