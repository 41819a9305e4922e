package faulttest

import (
	"context"
	"os/exec"
	"strconv"
	"strings"
)

// Factors by which the scenario's seed is multiplied in the seeds of the loads' random sources.
const (
	openLoadSeedFactor   = 257
	closedLoadSeedFactor = 389
)

func (a openLoadStep) run(ctx context.Context, r *runner, _ Step) error {
	for _, agent := range r.bindings.agentNumbers(a.agents) {
		r.clients.replaceOpenLoad(ctx, agent, a, r.scenario.Seed*openLoadSeedFactor+int64(a.number))
	}
	return nil
}

func (a closedLoadStep) run(ctx context.Context, r *runner, _ Step) error {
	r.clients.replaceClosedLoad(ctx, r.bindings.agentNumbers(a.agents), a, r.scenario.Seed*closedLoadSeedFactor)
	return nil
}

func (a faultStep) run(_ context.Context, r *runner, s Step) error {
	r.faults.inject(s, a)
	return nil
}

func (a processStep) run(ctx context.Context, r *runner, _ Step) error {
	return forEachAgent(r.bindings.agentNumbers(a.agents), func(i int) error { return r.agents.apply(ctx, i, a) })
}

func (a reloadStep) run(ctx context.Context, r *runner, _ Step) error {
	return forEachAgent(r.bindings.agentNumbers(a.agents), func(i int) error { return r.agents.reload(ctx, i, a) })
}

func (a healthStep) run(_ context.Context, r *runner, _ Step) error {
	r.endpoints.setHealth(a.endpoints, a.health)
	return nil
}

func (a addEndpointsStep) run(ctx context.Context, r *runner, _ Step) error {
	return r.endpoints.add(ctx, a.count, a.build, true)
}

func (a serviceTimeStep) run(_ context.Context, r *runner, _ Step) error {
	for _, endpoint := range r.endpoints.selected(a.endpoints) {
		endpoint.SetSlowdown(a.factor)
	}
	return nil
}

func (a errorShareStep) run(_ context.Context, r *runner, _ Step) error {
	for _, endpoint := range r.endpoints.selected(a.endpoints) {
		endpoint.SetErrorShare(a.share)
	}
	return nil
}

func (a rolloutStep) run(_ context.Context, r *runner, _ Step) error {
	r.rollout.update(Stage{Build: a.build, Stage: a.stage, Phase: a.phase, Cap: a.cap})
	return nil
}

func (a rolloutSilenceStep) run(_ context.Context, r *runner, _ Step) error {
	r.rollout.setSilent(a.silent)
	return nil
}

func (a nameLeaderStep) run(ctx context.Context, r *runner, _ Step) error {
	isExcluded := func(int) bool { return false }
	if a.excluded != nil {
		isExcluded = r.bindings.agentFilter(a.excluded)
	}
	return waitFor(ctx, a.timeout, func() (bool, string) {
		for i, agent := range r.agents.all {
			if !isExcluded(i) && agent.isLeader() {
				r.bindings.agentNames[a.name] = i
				r.events.record(sourceScenario, "%s is agent %d", a.name, i)
				return true, ""
			}
		}
		return false, "no agent is the leader"
	})
}

func (a membershipStep) run(ctx context.Context, r *runner, _ Step) error {
	return waitFor(ctx, a.timeout, func() (isAccepted bool, observed string) {
		for _, contact := range r.bindings.agentNumbers(a.contacts) { // only the leader accepts the change
			if isAccepted, observed = r.changeMembers(ctx, a, contact); isAccepted {
				return true, ""
			}
		}
		return false, observed
	})
}

// changeMembers requests all changes of the step from one agent. The output is that of the last command.
func (r *runner) changeMembers(ctx context.Context, a membershipStep, contact int) (isAccepted bool, output string) {
	for _, member := range r.bindings.agentNumbers(a.agents) {
		command := exec.CommandContext(ctx, r.agents.programs[firstProgram], "members", a.action, strconv.Itoa(member),
			"--admin", r.agents.all[contact].adminAddress)
		text, err := command.CombinedOutput()
		isAccepted, output = err == nil, strings.TrimSpace(string(text))
		if !isAccepted {
			return false, output
		}
	}
	return isAccepted, output
}

func (a waitStep) run(ctx context.Context, r *runner, _ Step) error {
	agents := r.bindings.agentFilter(a.measure.Agents)
	return waitFor(ctx, a.timeout, func() (bool, string) {
		m := r.measureNow(ctx, a.measure, agents)
		return m.hasValue && a.holds(m.value), m.description
	})
}

func (a checkStep) run(_ context.Context, r *runner, _ Step) error {
	target := CheckTarget{Program: r.agents.programs[firstProgram], Names: r.bindings.agentNames}
	for _, agent := range r.agents.all {
		target.Admin = append(target.Admin, agent.adminAddress)
		target.State = append(target.State, agent.stateDir)
	}
	return r.options.Checks[a.name](target)
}

func (a markStep) run(_ context.Context, r *runner, _ Step) error {
	r.bindings.marks[a.name] = r.now()
	return nil
}
