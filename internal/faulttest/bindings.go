package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// startMark is the mark for the moment when all agents serve. The times of a scenario count from it.
const startMark = "start"

// bindings holds the names that the steps of a run have bound to agents and moments. Only the goroutine that runs the steps uses it.
type bindings struct {
	agents     int // number of agents in the scenario
	agentNames map[string]int
	marks      map[string]netfault.Micros
}

func newBindings(agents int) *bindings {
	return &bindings{agents: agents, agentNames: map[string]int{}, marks: map[string]netfault.Micros{}}
}

func (b *bindings) startTime() netfault.Micros { return b.marks[startMark] }

// resolveTime returns the moment that an expectation refers to.
func (b *bindings) resolveTime(t TimeRef) netfault.Micros {
	if t.Mark == "" {
		return b.startTime() + toMicros(t.Offset)
	}
	return b.marks[t.Mark] + toMicros(t.Offset)
}

// agentNumbers returns the numbers of the agents in a set.
func (b *bindings) agentNumbers(set AgentSet) (out []int) {
	for i := range b.agents {
		isMember := len(set.Numbers) == 0 || slices.Contains(set.Numbers, i)
		if set.Name != "" {
			isMember = (i == b.agentNames[set.Name]) != set.Inverted
		}
		if isMember {
			out = append(out, i)
		}
	}
	return out
}

// agentFilter returns a function that reports whether an agent is in a set. A nil set contains all agents.
func (b *bindings) agentFilter(set *AgentSet) agentFilter {
	if set == nil {
		return func(int) bool { return true }
	}
	members := b.agentNumbers(*set)
	return func(agent int) bool { return slices.Contains(members, agent) }
}
