package faulttest

import (
	"context"
	"fmt"
	"strings"

	"switchfork/internal/cluster/coordinator"
)

// agentCounters compute the measures that query the agents. Each function returns what one agent contributes to the sum over all agents.
var agentCounters = map[string]func(ctx context.Context, a *agent, m Measure) int{
	measureLog: func(_ context.Context, a *agent, m Measure) int {
		return strings.Count(a.log.String(), strings.ReplaceAll(m.Arg, "_", " "))
	},
	measureLeaders: func(_ context.Context, a *agent, _ Measure) int { return countIf(a.isLeader()) },
	measureHealthy: func(ctx context.Context, a *agent, _ Measure) int { return countIf(a.isHealthy(ctx)) },
}

func countIf(isMet bool) int {
	if isMet {
		return 1
	}
	return 0
}

// measureNow evaluates a measure from the start of the run to now. Unlike an expectation, it may use what agents report about themselves.
func (r *runner) measureNow(ctx context.Context, m Measure, agents agentFilter) measurement {
	if !measureSpecs[m.Name].asksAgents {
		return r.serverRecords().measure(m, agents, timeRange{r.bindings.startTime(), r.now()})
	}
	var asked []*agent
	for i, a := range r.agents.all {
		if agents(i) {
			asked = append(asked, a)
		}
	}
	if m.Name == measureMembers {
		return fewestMembers(asked)
	}
	n := 0
	for _, a := range asked {
		n += agentCounters[m.Name](ctx, a, m)
	}
	return measurement{float64(n), fmt.Sprintf("%s is %d", m.Name, n), true}
}

// fewestMembers returns the smallest number of members that any of the agents knows of.
func fewestMembers(agents []*agent) measurement {
	least := 0
	for i, a := range agents {
		status, err := coordinator.QueryStatus(a.adminAddress)
		if err != nil {
			return measurement{0, "no answer from an agent's admin address", true}
		}
		if n := len(status.Members); i == 0 || n < least {
			least = n
		}
	}
	return measurement{float64(least), fmt.Sprintf("%s is %d", measureMembers, least), true}
}
