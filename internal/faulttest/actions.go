package faulttest

import (
	"context"
	"fmt"
	"os/exec"
	"slices"
	"strconv"
	"strings"

	"switchfork/internal/cluster/coordinator"
)

func (a loadStep) run(p *runner, s Step) error {
	p.stopLoad()
	ctx, stop := context.WithCancel(p.ctx)
	p.mu.Lock()
	p.stopClients = stop
	p.mu.Unlock()
	p.clients.start(ctx, p.agentNumbers(a.agents), a, p.scenario.Seed*257+int64(s.Line))
	return nil
}

func (a faultStep) run(p *runner, s Step) error {
	p.injectFault(s, a)
	return nil
}

func (a processStep) run(p *runner, _ Step) error {
	return forEachAgent(p.agentNumbers(a.agents), func(i int) error { return p.signalProcess(i, a) })
}

func (a reloadStep) run(p *runner, _ Step) error {
	return forEachAgent(p.agentNumbers(a.agents), func(i int) error { return p.reloadConfig(i, a) })
}

func (a healthStep) run(p *runner, _ Step) error {
	endpoints := p.endpointNumbers(a.endpoints)
	p.discovery.update(func(rows []EndpointRow) []EndpointRow {
		for i := range rows {
			if slices.Contains(endpoints, rows[i].Endpoint) {
				rows[i].Health = a.health
			}
		}
		return rows
	})
	return nil
}

func (a addEndpointsStep) run(p *runner, _ Step) error { return p.addEndpoints(a.count, a.build, true) }

func (a serviceTimeStep) run(p *runner, _ Step) error {
	for _, i := range p.endpointNumbers(a.endpoints) {
		p.endpoints[i].SetSlowdown(a.factor)
	}
	return nil
}

func (a errorShareStep) run(p *runner, _ Step) error {
	for _, i := range p.endpointNumbers(a.endpoints) {
		p.endpoints[i].SetErrorShare(a.share)
	}
	return nil
}

func (a rolloutStep) run(p *runner, _ Step) error {
	p.rollout.update(Stage{Build: a.build, Stage: a.stage, Phase: a.phase, Cap: a.cap})
	return nil
}

func (a rolloutSilenceStep) run(p *runner, _ Step) error {
	p.rollout.setSilent(a.silent)
	return nil
}

func (a nameLeaderStep) run(p *runner, _ Step) error {
	isExcluded := func(int) bool { return false }
	if a.excluded != nil {
		isExcluded = p.agentFilter(a.excluded)
	}
	return p.waitFor(a.timeout, func() (bool, string) {
		for i, agent := range p.agents {
			if !isExcluded(i) && agent.isLeader() {
				p.agentNames[a.name] = i
				p.recordEvent("night", "%s is agent %d", a.name, i)
				return true, ""
			}
		}
		return false, "nobody leads"
	})
}

func (a membershipStep) run(p *runner, _ Step) error {
	return p.waitFor(a.timeout, func() (isAccepted bool, observed string) {
		for _, contact := range p.agentNumbers(a.contacts) { // the one of them that leads accepts the change
			if isAccepted, observed = p.changeMembers(a, contact); isAccepted {
				return true, ""
			}
		}
		return false, observed
	})
}

// changeMembers asks one agent for all changes of the step; the output is that of the last command.
func (p *runner) changeMembers(a membershipStep, contact int) (isAccepted bool, output string) {
	for _, member := range p.agentNumbers(a.agents) {
		command := exec.CommandContext(p.ctx, p.programs[firstProgram], "members", a.action, strconv.Itoa(member),
			"--admin", p.agents[contact].adminAddress)
		text, err := command.CombinedOutput()
		isAccepted, output = err == nil, strings.TrimSpace(string(text))
		if !isAccepted {
			return false, output
		}
	}
	return isAccepted, output
}

func (a waitStep) run(p *runner, _ Step) error {
	agents := p.agentFilter(a.measure.Agents)
	return p.waitFor(a.timeout, func() (bool, string) {
		m := p.measureNow(a.measure, agents)
		return m.hasValue && a.holds(m.value), m.description
	})
}

func (a checkStep) run(p *runner, _ Step) error {
	target := CheckTarget{Program: p.programs[firstProgram], Names: p.agentNames}
	for _, agent := range p.agents {
		target.Admin = append(target.Admin, agent.adminAddress)
		target.State = append(target.State, agent.stateDir)
	}
	return p.options.Checks[a.name](target)
}

func (a markStep) run(p *runner, _ Step) error {
	p.marks[a.name] = p.now()
	return nil
}

// isLeader asks the agent at its admin address.
func (a *agent) isLeader() bool {
	status, err := coordinator.QueryStatus(a.adminAddress)
	return err == nil && status.Leads
}

// measureNow is a measure from the start to now. Unlike an expectation it may ask agents about themselves.
func (p *runner) measureNow(m Measure, agents agentFilter) measurement {
	if !measureSpecs[m.Name].asksAgents {
		return p.serverRecords().measure(m, agents, timeRange{p.startTime(), p.now()})
	}
	var asked []*agent
	for i, a := range p.agents {
		if agents(i) {
			asked = append(asked, a)
		}
	}
	if m.Name == measureMembers {
		return leastMembers(asked)
	}
	n := 0
	for _, a := range asked {
		n += a.countFor(m)
	}
	return measurement{float64(n), fmt.Sprintf("%s is %d", m.Name, n), true}
}

// countFor is what one agent adds to a measure that is summed over agents.
func (a *agent) countFor(m Measure) int {
	isMet := false
	switch m.Name {
	case measureLog:
		return strings.Count(a.log.String(), strings.ReplaceAll(m.Arg, "_", " "))
	case measureLeaders:
		isMet = a.isLeader()
	case measureHealthy:
		isMet = a.process != nil && !a.process.HasExited() && a.process.IsHealthy()
	}
	if isMet {
		return 1
	}
	return 0
}

// leastMembers is the least number of members that any of the agents knows of.
func leastMembers(agents []*agent) measurement {
	least := 0
	for i, a := range agents {
		status, err := coordinator.QueryStatus(a.adminAddress)
		if err != nil {
			return measurement{0, "no answer at the admin address", true}
		}
		if n := len(status.Members); i == 0 || n < least {
			least = n
		}
	}
	return measurement{float64(least), fmt.Sprintf("%s is %d", measureMembers, least), true}
}
