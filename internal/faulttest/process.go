package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// Actions of a processStep.
const (
	processPause     = "pause"
	processResume    = "resume"
	processKill      = "kill"
	processTerminate = "terminate"
	processStart     = "start"
	processRestart   = "restart"
)

// shutdownTimeout is how long a start waits for the end of a process that was sent SIGTERM. It exceeds the longest request timeout plus the
// time that a drain adds.
const shutdownTimeout = 15 * time.Second

// errNoProcess reports that a step needs a process, but the agent's process was not started or has ended.
var errNoProcess = errors.New("the agent has no running process")

// apply carries out a step on one agent's process.
func (g *agentGroup) apply(ctx context.Context, number int, step processStep) error {
	a := g.all[number]
	process := a.current()
	switch {
	case process == nil && step.action == processStart:
		return g.start(ctx, a, step.program)
	case process == nil:
		return fmt.Errorf("%s agent %d: %w", step.action, number, errNoProcess)
	case step.action == processStart || step.action == processRestart:
		return g.replace(ctx, a, process, step)
	default:
		return g.signal(a, process, step.action)
	}
}

// signal sends an agent's process the signal of an action, and records it.
func (g *agentGroup) signal(a *agent, process *fakes.Agent, action string) error {
	switch action {
	case processPause, processResume:
		if process.HasExited() {
			return fmt.Errorf("%s agent %d: %w", action, a.number, errNoProcess)
		}
		if action == processPause {
			return g.pause(a, process)
		}
		return g.resume(a, process)
	case processKill:
		g.kill(a, process)
		return nil
	default:
		a.markTerminated(g.now())
		return process.Terminate()
	}
}

func (g *agentGroup) pause(a *agent, process *fakes.Agent) error {
	return a.updateLifetime(func(l *ProcessLifetime) error {
		l.Pauses = append(l.Pauses, [2]netfault.Micros{g.now(), -1})
		return process.Pause()
	})
}

func (g *agentGroup) resume(a *agent, process *fakes.Agent) error {
	return a.updateLifetime(func(l *ProcessLifetime) error {
		if n := len(l.Pauses); n > 0 {
			l.Pauses[n-1][1] = g.now()
		}
		return process.Resume()
	})
}

// kill records that a process is about to be killed, and kills it. From the recorded time on, the process need not answer requests.
func (g *agentGroup) kill(a *agent, process *fakes.Agent) {
	a.markKilled(g.now())
	process.Kill()
}

// replace starts an agent again. A start waits for the end of the previous process, which was sent SIGTERM; a restart kills it.
func (g *agentGroup) replace(ctx context.Context, a *agent, process *fakes.Agent, step processStep) error {
	if step.action == processStart {
		select {
		case <-process.Done():
		case <-time.After(shutdownTimeout):
			return fmt.Errorf("starting agent %d: its previous process did not end within %v", a.number, shutdownTimeout)
		}
	}
	if !process.HasExited() {
		g.kill(a, process)
	}
	<-process.Done()
	if step.clearsState {
		if err := os.RemoveAll(a.stateDir); err != nil {
			return fmt.Errorf("clearing the state of agent %d: %w", a.number, err)
		}
	}
	return g.start(ctx, a, step.program)
}

// reload rewrites an agent's files and makes its process read them.
func (g *agentGroup) reload(ctx context.Context, number int, step reloadStep) error {
	a := g.all[number]
	if err := g.rewriteFiles(ctx, a, step); err != nil {
		return fmt.Errorf("rewriting the files of agent %d: %w", number, err)
	}
	return a.current().Reload()
}

func (g *agentGroup) rewriteFiles(ctx context.Context, a *agent, step reloadStep) error {
	switch step.target {
	case reloadMalformed:
		return a.writeFile(fakes.ConfigName, `{"name":"n`)
	case reloadPeer:
		a.operator = append(a.operator, g.files.peerLine(a.number, step.peer))
		return a.writeFile(fakes.OperatorFileName, a.operatorFile())
	case reloadOperator:
		a.setOperatorLine(step.tokens)
		return a.writeFile(fakes.OperatorFileName, a.operatorFile())
	}
	if err := g.files.relays.moveServer(ctx, a.number, step.target); err != nil {
		return err
	}
	text, _ := g.files.config(a)
	return a.writeFile(fakes.ConfigName, text)
}
