package policy

import (
	"cmp"
	"slices"

	"switchfork/internal/hashing"
)

// evaluatorCount is how many agents evaluate for all: some are left when agents restart in numbers, and notifying them costs
// little.
const evaluatorCount = 5

// evaluatorGroup decides which agents evaluate releases for all, where gossip is allowed: the same ones on every agent. All parts
// of the analyzer ask it whether this agent is one of them.
type evaluatorGroup struct {
	*sharedState
	agentIndex     int
	agentCount     int
	members        []int // none where each agent evaluates by itself
	isMember       bool  // this agent is one of them
	sharesInFlight bool  // agents report to the evaluators what is in flight at endpoints
}

// newEvaluatorGroup selects the evaluators where there are more agents than are needed. A single agent sees too few outcomes, and
// among hundreds the one with the most extreme sample would decide.
func newEvaluatorGroup(shared *sharedState, config Config) *evaluatorGroup {
	instance := config.Instance
	group := &evaluatorGroup{sharedState: shared, agentIndex: instance.Index, agentCount: instance.Agents}
	if !config.Capabilities.Gossip || instance.Agents <= evaluatorCount {
		return group
	}
	group.members = selectAgents(instance.Agents, evaluatorCount)
	group.isMember = group.isEvaluator(instance.Index)
	group.sharesInFlight = instance.LoadReport.InFlight > 0
	return group
}

// exist reports whether there are evaluators.
func (g *evaluatorGroup) exist() bool { return len(g.members) > 0 }

func (g *evaluatorGroup) isEvaluator(agent int) bool { return slices.Contains(g.members, agent) }

// indexOf is an agent's place among the evaluators, -1 where it has none.
func (g *evaluatorGroup) indexOf(agent int) int { return slices.Index(g.members, agent) }

// decidesItself reports whether this agent evaluates: alone, or as one of the evaluators.
func (g *evaluatorGroup) decidesItself() bool { return !g.exist() || g.isMember }

// broadcast sends a message to all other agents.
func (g *evaluatorGroup) broadcast(payload []byte) {
	for agent := range g.agentCount {
		g.send(agent, payload)
	}
}

// sendToMembers sends a message to all evaluators but this agent.
func (g *evaluatorGroup) sendToMembers(payload []byte) {
	for _, agent := range g.members {
		g.send(agent, payload)
	}
}

func (g *evaluatorGroup) send(agent int, payload []byte) {
	if agent != g.agentIndex {
		g.emit(SendGossip{To: agent, Payload: payload})
	}
}

// selectAgents draws some of the agents' indices, the same on every agent.
func selectAgents(agents, count int) []int {
	all := make([]int, agents)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int {
		return cmp.Compare(hashing.Mix64(uint64(a)^ringSalt), hashing.Mix64(uint64(b)^ringSalt))
	})
	return all[:count]
}
