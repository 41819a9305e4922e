package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

const (
	// firstProgram is the name of the program that agents run unless a step names another one.
	firstProgram = ""
	// startupTimeout is long because many processes start at the same time on a machine that is busy with other tests.
	startupTimeout = 40 * time.Second
	// healthPollInterval is how often the health of a starting agent is checked.
	healthPollInterval = pollInterval
)

// agentGroup manages the agents of a run: it starts their processes and tracks which processes are running.
type agentGroup struct {
	scenario *Scenario
	now      netfault.Clock
	events   *eventLog
	programs map[string]string // paths by name
	files    *agentFiles
	all      []*agent
}

// newAgents creates the agents with their folders and addresses. It starts no process.
func newAgents(ctx context.Context, count int, dir string) ([]*agent, error) {
	var agents []*agent
	for i := range count {
		a, err := newAgent(ctx, i, dir)
		if err != nil {
			return agents, fmt.Errorf("preparing agent %d: %w", i, err)
		}
		agents = append(agents, a)
	}
	return agents, nil
}

// startAll starts, at the same time, all agents that the scenario does not declare absent.
func (g *agentGroup) startAll(ctx context.Context) error {
	var present []int
	for i, a := range g.all {
		a.operator = g.files.operatorLines(a)
		if !slices.Contains(g.scenario.AbsentAtStart, i) {
			present = append(present, i)
		}
	}
	return forEachAgent(present, func(i int) error { return g.start(ctx, g.all[i], firstProgram) })
}

// start starts an agent's process and waits until it serves.
func (g *agentGroup) start(ctx context.Context, a *agent, program string) error {
	path, isKnown := g.programs[program]
	if !isKnown {
		return fmt.Errorf("starting agent %d: no path was given for program %q", a.number, program)
	}
	text, versions := g.files.config(a)
	versions.at = g.now()
	lifetime := a.beginLifetime(versions)
	process, err := fakes.StartAgent(ctx, fakes.AgentOptions{
		Program: path, Dir: a.dir, Config: text, OperatorFile: a.operatorFile(), ListenAddress: a.listenAddress, Log: a.log,
	})
	if err != nil {
		return err
	}
	a.setProcess(process)
	started := fmt.Sprintf("agent %d's process started", a.number)
	if program != firstProgram {
		started += " as " + program
	}
	g.events.record(sourceDeployment, "%s", started)
	go g.recordExit(a, process, lifetime)
	if err := process.WaitHealthy(ctx, startupTimeout, healthPollInterval); err != nil {
		return fmt.Errorf("starting agent %d: %w", a.number, err)
	}
	return nil
}

// recordExit waits for the end of a process and records it.
func (g *agentGroup) recordExit(a *agent, process *fakes.Agent, lifetime int) {
	<-process.Done()
	a.recordExit(lifetime, g.now(), process.ExitError())
	g.events.record(sourceDeployment, "agent %d's process ended", a.number)
}

// running implements processStates. These are roughly the agents that pass a load balancer's health checks, but agents whose processes
// are starting or paused are included too.
func (g *agentGroup) running() (out []int) {
	for i, a := range g.all {
		if a.isRunning() {
			out = append(out, i)
		}
	}
	return out
}

// wasKilled implements processStates.
func (g *agentGroup) wasKilled(agent int, at netfault.Micros) bool { return g.all[agent].wasKilled(at) }

func (g *agentGroup) listenAddresses() (out []string) {
	for _, a := range g.all {
		out = append(out, a.listenAddress)
	}
	return out
}

// writeLogs writes each agent's log.
func (g *agentGroup) writeLogs(create func(name string) (io.WriteCloser, error)) error {
	for _, a := range g.all {
		w, err := create(fmt.Sprintf("agent-%d.log", a.number))
		if err != nil {
			return err
		}
		if err := a.writeLog(w); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes and waits until they have ended.
func (g *agentGroup) killAll() {
	for _, a := range g.all {
		process := a.current()
		if process == nil {
			continue
		}
		if !process.HasExited() {
			process.Kill()
		}
		<-process.Done()
	}
}

// forEachAgent calls do for several agents at the same time, and returns all errors.
func forEachAgent(agents []int, do func(i int) error) error {
	failed := make(chan error, len(agents))
	for _, i := range agents {
		go func() { failed <- do(i) }()
	}
	var errs []error
	for range agents {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}
