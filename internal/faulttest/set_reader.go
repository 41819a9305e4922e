package faulttest

import "strings"

const agentSetForm = "agents, agent:0,2..4, agent:NAME or others:NAME"

// setReader reads the tokens that name agents, endpoints and ends of links. It checks agents against the scenario and against the names that
// earlier lines have bound.
type setReader struct {
	*lineReader
	scenario   *Scenario
	agentNames map[string]bool // names that earlier lines have bound to agents
}

func (r *setReader) agentSet(token string) (set AgentSet) {
	kind, rest, hasRest := strings.Cut(token, ":")
	isAgents := kind == "agent" || kind == "agents"
	switch {
	case token == "agents":
	case hasRest && isAgents && rest != "" && isDigit(rest[0]):
		set.Numbers = r.numberList(rest, "the agent", r.scenario.Agents)
	case hasRest && isAgents && rest != "":
		set.Name = r.boundName(rest)
	case hasRest && kind == "others":
		set.Name, set.Inverted = r.boundName(rest), true
	default:
		r.fail("%q does not name agents, expected %s", token, agentSetForm)
	}
	return set
}

// nextAgentSet consumes a token that names agents.
func (r *setReader) nextAgentSet() AgentSet { return r.agentSet(r.nextToken(agentSetForm)) }

// optionalAgentSet consumes a token that names agents. At the end of the line, it returns the set of all agents.
func (r *setReader) optionalAgentSet() AgentSet {
	if len(r.tokens) == 0 {
		return AgentSet{}
	}
	return r.nextAgentSet()
}

// boundName checks that an earlier line has bound a name to an agent.
func (r *setReader) boundName(name string) string {
	if !r.agentNames[name] {
		r.fail("%q is not bound by an earlier line, expected a number or a name from a 'name' line", name)
	}
	return name
}

func (r *setReader) endpointSet(token string) (set EndpointSet) {
	kind, rest, hasRest := strings.Cut(token, ":")
	kind = currentWord(partyWord, kind)
	build, isBuild := strings.CutPrefix(rest, "build=")
	switch {
	case kind != "endpoint" && kind != "endpoints":
		r.fail("%q does not name endpoints, expected endpoints, endpoint:3, endpoint:0..5 or endpoints:build=8", token)
	case !hasRest:
	case isBuild:
		set.Build = r.integer(build, "the build", 1, maxBuild)
	default:
		set.Numbers = r.numberList(rest, "the endpoint", maxEndpoints)
	}
	return set
}

// nextEndpointSet consumes a token that names endpoints.
func (r *setReader) nextEndpointSet() EndpointSet { return r.endpointSet(r.nextToken("endpoints")) }

// party consumes a token that names an end of a link.
func (r *setReader) party() (end Party) {
	token := r.nextToken("an end of a link: agents, endpoints, discovery or rollout-controller")
	kind, _, _ := strings.Cut(token, ":")
	switch kind = currentWord(partyWord, kind); {
	case token == serverDiscovery:
		end.Discovery = true
	case currentWord(partyWord, token) == serverRollout:
		end.Rollout = true
	case strings.HasPrefix(kind, "endpoint"):
		endpoints := r.endpointSet(token)
		end.Endpoints = &endpoints
	default:
		agents := r.agentSet(token)
		end.Agents = &agents
	}
	return end
}
