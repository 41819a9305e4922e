package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// Words of the steps that act on processes.
const (
	processStop    = "stop"
	processGo      = "go"
	processKill    = "kill"
	processTerm    = "term"
	processStart   = "start"
	processRestart = "restart"
)

// shutdownTimeout is the longest that a process may take to end after SIGTERM: its longest request timeout and what a drain adds,
// with room.
const shutdownTimeout = 15 * time.Second

// signalProcess carries out a step on one agent's process.
func (r *runner) signalProcess(number int, step processStep) error {
	a := r.agents[number]
	r.mu.Lock()
	process := a.process
	var lifetime *ProcessLifetime
	if n := len(a.lifetimes); n > 0 {
		lifetime = &a.lifetimes[n-1]
	}
	r.mu.Unlock()
	if process == nil {
		if step.action != processStart {
			return fmt.Errorf("agent %d has no process", number)
		}
		return r.startAgent(a, step.program)
	}
	switch step.action {
	case processStop, processGo:
		if process.HasExited() {
			return fmt.Errorf("agent %d has no process", number)
		}
		if step.action == processStop {
			return r.pause(process, lifetime)
		}
		return r.resume(process, lifetime)
	case processKill:
		r.recordEnd(lifetime)
		process.Kill()
		return nil
	case processTerm:
		r.mu.Lock()
		lifetime.TermSentAt = r.now()
		r.mu.Unlock()
		return process.Terminate()
	default:
		return r.replaceProcess(a, process, lifetime, step)
	}
}

func (r *runner) pause(process *fakes.Agent, lifetime *ProcessLifetime) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lifetime.Pauses = append(lifetime.Pauses, [2]netfault.Micros{r.now(), -1})
	return process.Pause()
}

func (r *runner) resume(process *fakes.Agent, lifetime *ProcessLifetime) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(lifetime.Pauses); n > 0 {
		lifetime.Pauses[n-1][1] = r.now()
	}
	return process.Resume()
}

// replaceProcess starts an agent again. A start waits for the end of a process that was asked to end, a restart kills it.
func (r *runner) replaceProcess(a *agent, process *fakes.Agent, lifetime *ProcessLifetime, step processStep) error {
	if step.action == processStart {
		select {
		case <-process.Done():
		case <-time.After(shutdownTimeout):
			return fmt.Errorf("agent %d still runs %v after it was to end", a.number, shutdownTimeout)
		}
	}
	if !process.HasExited() {
		r.recordEnd(lifetime)
		process.Kill()
	}
	<-process.Done()
	if step.clearsState {
		if err := os.RemoveAll(a.stateDir); err != nil {
			return err
		}
	}
	return r.startAgent(a, step.program)
}

// recordEnd records that a process is about to be killed: from here on it owes nothing.
func (r *runner) recordEnd(l *ProcessLifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.End < 0 {
		l.End, l.WasKilled = r.now(), true
	}
}

// reloadConfig rewrites an agent's files and has its process read them.
func (r *runner) reloadConfig(number int, step reloadStep) error {
	a := r.agents[number]
	if err := r.rewriteFiles(a, step); err != nil {
		return err
	}
	return a.process.Reload()
}

func (r *runner) rewriteFiles(a *agent, step reloadStep) error {
	switch step.target {
	case reloadMalformed:
		return a.writeFile(fakes.ConfigName, `{"name":"n`)
	case reloadPeer:
		a.operator = append(a.operator, r.peerLine(a.number, step.peer))
		return a.writeFile(fakes.OptionsName, a.operatorFile())
	case reloadOperator:
		a.setOperatorLine(step.tokens)
		return a.writeFile(fakes.OptionsName, a.operatorFile())
	}
	if err := r.moveServer(a, step.target); err != nil {
		return err
	}
	text, _ := r.agentConfig(a)
	return a.writeFile(fakes.ConfigName, text)
}

// moveServer gives discovery or the rollout controller another address for one agent.
func (r *runner) moveServer(a *agent, server string) error {
	if server == serverRollout {
		return r.addRelay(a.number, &r.toRollout[a.number], r.rollout.addr(), movedSeedSalt)
	}
	return r.addRelay(a.number, &r.toDiscovery[a.number], r.discovery.addr(), movedSeedSalt)
}

// setOperatorLine replaces the lines with the same keyword in the operator file.
func (a *agent) setOperatorLine(tokens []string) {
	a.operator = slices.DeleteFunc(slices.Clone(a.operator), func(line string) bool { return strings.Fields(line)[0] == tokens[0] })
	a.operator = append(a.operator, strings.Join(tokens, " "))
}

func (a *agent) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join(a.dir, name), []byte(text), 0o600)
}
