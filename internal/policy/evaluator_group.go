package policy

import (
	"cmp"
	"slices"

	"switchfork/internal/hashing"
)

// evaluatorCount is the number of agents that evaluate releases for all agents. It is high enough that some evaluators remain when
// many agents restart, and low enough that it costs little to notify all evaluators.
const evaluatorCount = 5

// evaluatorGroup decides which agents evaluate releases for all agents, where gossip is allowed. Every agent selects the same
// evaluators. All parts of the analyzer ask it whether this agent is an evaluator.
type evaluatorGroup struct {
	*sharedState
	agentIndex     int
	agentCount     int
	members        []int // indices of the evaluators; empty where each agent evaluates on its own
	isMember       bool  // this agent is an evaluator
	sharesInFlight bool  // agents report each attempt to the evaluators, which count the requests in flight at endpoints
}

// newEvaluatorGroup selects evaluators if there are more agents than evaluatorCount. Without evaluators, each agent would see
// too few outcomes, and among hundreds of agents the one with the most extreme sample would decide.
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

// indexOf returns the index of an agent among the evaluators, or -1 if it is not one.
func (g *evaluatorGroup) indexOf(agent int) int { return slices.Index(g.members, agent) }

// evaluatesReleases reports whether this agent evaluates releases, either on its own or as one of the evaluators.
func (g *evaluatorGroup) evaluatesReleases() bool { return !g.exist() || g.isMember }

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

// selectAgents returns the indices of count agents, selected by hash, so that every agent selects the same ones.
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
