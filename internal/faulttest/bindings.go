package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// startMark is when all agents serve; a scenario's times count from it.
const startMark = "start"

// bindings are the agents and moments that the steps of a run have bound names to. Only the goroutine that runs the steps uses it.
type bindings struct {
	agents     int // of the scenario
	agentNames map[string]int
	marks      map[string]netfault.Micros
}

func newBindings(agents int) *bindings {
	return &bindings{agents: agents, agentNames: map[string]int{}, marks: map[string]netfault.Micros{}}
}

func (b *bindings) startTime() netfault.Micros { return b.marks[startMark] }

// resolveTime is the moment that an expectation refers to.
func (b *bindings) resolveTime(t TimeRef) netfault.Micros {
	if t.Mark == "" {
		return b.startTime() + toMicros(t.Offset)
	}
	return b.marks[t.Mark] + toMicros(t.Offset)
}

// agentNumbers are the agents of a set.
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

// agentFilter tells whether an agent is in a set; the nil set holds all.
func (b *bindings) agentFilter(set *AgentSet) agentFilter {
	if set == nil {
		return func(int) bool { return true }
	}
	members := b.agentNumbers(*set)
	return func(agent int) bool { return slices.Contains(members, agent) }
}
