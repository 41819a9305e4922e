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

func (a loadStep) run(r *runner, _ Step) error {
	for _, agent := range r.agentNumbers(a.agents) {
		ctx, stop := context.WithCancel(r.ctx)
		r.replaceLoad(agent, stop)
		r.clients.start(ctx, agent, a, r.scenario.Seed*loadSeedFactor+int64(a.number))
	}
	return nil
}

func (a crowdStep) run(r *runner, _ Step) error {
	r.stopCrowd()
	ctx, stop := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.stopCrowdClients = stop
	r.mu.Unlock()
	r.clients.startCrowd(ctx, r.agentNumbers(a.agents), a, r.scenario.Seed*crowdSeedFactor)
	return nil
}

func (a faultStep) run(r *runner, s Step) error {
	r.injectFault(s, a)
	return nil
}

func (a processStep) run(r *runner, _ Step) error {
	return forEachAgent(r.agentNumbers(a.agents), func(i int) error { return r.signalProcess(i, a) })
}

func (a reloadStep) run(r *runner, _ Step) error {
	return forEachAgent(r.agentNumbers(a.agents), func(i int) error { return r.reloadConfig(i, a) })
}

func (a healthStep) run(r *runner, _ Step) error {
	endpoints := r.endpointNumbers(a.endpoints)
	r.discovery.update(func(rows []EndpointRow) []EndpointRow {
		for i := range rows {
			if slices.Contains(endpoints, rows[i].Endpoint) {
				rows[i].Health = a.health
			}
		}
		return rows
	})
	return nil
}

func (a addEndpointsStep) run(r *runner, _ Step) error { return r.addEndpoints(a.count, a.build, true) }

func (a serviceTimeStep) run(r *runner, _ Step) error {
	for _, i := range r.endpointNumbers(a.endpoints) {
		r.endpoints[i].SetSlowdown(a.factor)
	}
	return nil
}

func (a errorShareStep) run(r *runner, _ Step) error {
	for _, i := range r.endpointNumbers(a.endpoints) {
		r.endpoints[i].SetErrorShare(a.share)
	}
	return nil
}

func (a rolloutStep) run(r *runner, _ Step) error {
	r.rollout.update(Stage{Build: a.build, Stage: a.stage, Phase: a.phase, Cap: a.cap})
	return nil
}

func (a rolloutSilenceStep) run(r *runner, _ Step) error {
	r.rollout.setSilent(a.silent)
	return nil
}

func (a nameLeaderStep) run(r *runner, _ Step) error {
	isExcluded := func(int) bool { return false }
	if a.excluded != nil {
		isExcluded = r.agentFilter(a.excluded)
	}
	return r.waitFor(a.timeout, func() (bool, string) {
		for i, agent := range r.agents {
			if !isExcluded(i) && agent.isLeader() {
				r.agentNames[a.name] = i
				r.recordEvent("night", "%s is agent %d", a.name, i)
				return true, ""
			}
		}
		return false, "nobody leads"
	})
}

func (a membershipStep) run(r *runner, _ Step) error {
	return r.waitFor(a.timeout, func() (isAccepted bool, observed string) {
		for _, contact := range r.agentNumbers(a.contacts) { // the one of them that leads accepts the change
			if isAccepted, observed = r.changeMembers(a, contact); isAccepted {
				return true, ""
			}
		}
		return false, observed
	})
}

// changeMembers asks one agent for all changes of the step; the output is that of the last command.
func (r *runner) changeMembers(a membershipStep, contact int) (isAccepted bool, output string) {
	for _, member := range r.agentNumbers(a.agents) {
		command := exec.CommandContext(r.ctx, r.programs[firstProgram], "members", a.action, strconv.Itoa(member),
			"--admin", r.agents[contact].adminAddress)
		text, err := command.CombinedOutput()
		isAccepted, output = err == nil, strings.TrimSpace(string(text))
		if !isAccepted {
			return false, output
		}
	}
	return isAccepted, output
}

func (a waitStep) run(r *runner, _ Step) error {
	agents := r.agentFilter(a.measure.Agents)
	return r.waitFor(a.timeout, func() (bool, string) {
		m := r.measureNow(a.measure, agents)
		return m.hasValue && a.holds(m.value), m.description
	})
}

func (a checkStep) run(r *runner, _ Step) error {
	target := CheckTarget{Program: r.programs[firstProgram], Names: r.agentNames}
	for _, agent := range r.agents {
		target.Admin = append(target.Admin, agent.adminAddress)
		target.State = append(target.State, agent.stateDir)
	}
	return r.options.Checks[a.name](target)
}

func (a markStep) run(r *runner, _ Step) error {
	r.marks[a.name] = r.now()
	return nil
}

// isLeader asks the agent at its admin address.
func (a *agent) isLeader() bool {
	status, err := coordinator.QueryStatus(a.adminAddress)
	return err == nil && status.Leads
}

// measureNow is a measure from the start to now. Unlike an expectation it may ask agents about themselves.
func (r *runner) measureNow(m Measure, agents agentFilter) measurement {
	if !measureSpecs[m.Name].asksAgents {
		return r.serverRecords().measure(m, agents, timeRange{r.startTime(), r.now()})
	}
	var asked []*agent
	for i, a := range r.agents {
		if agents(i) {
			asked = append(asked, a)
		}
	}
	if m.Name == measureMembers {
		return leastMembers(asked)
	}
	n := 0
	for _, a := range asked {
		n += a.countFor(r.ctx, m)
	}
	return measurement{float64(n), fmt.Sprintf("%s is %d", m.Name, n), true}
}

// countFor is what one agent adds to a measure that is summed over agents.
func (a *agent) countFor(ctx context.Context, m Measure) int {
	isMet := false
	switch m.Name {
	case measureLog:
		return strings.Count(a.log.String(), strings.ReplaceAll(m.Arg, "_", " "))
	case measureLeaders:
		isMet = a.isLeader()
	case measureHealthy:
		isMet = a.process != nil && !a.process.HasExited() && a.process.IsHealthy(ctx)
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
