package faulttest

import "strings"

const agentSetForm = "agents, agent:0,2..4, agent:NAME or others:NAME"

// setReader reads what names agents and endpoints. It knows the agents of the scenario and the names that lines before have bound.
type setReader struct {
	*lineReader
	scenario   *Scenario
	agentNames map[string]bool
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
		r.fail("%q names no agents, expected %s", token, agentSetForm)
	}
	return set
}

// nextAgentSet consumes a token that names agents.
func (r *setReader) nextAgentSet() AgentSet { return r.agentSet(r.nextToken(agentSetForm)) }

// optionalAgentSet consumes a token that names agents, if there is one; else all are meant.
func (r *setReader) optionalAgentSet() AgentSet {
	if len(r.tokens) == 0 {
		return AgentSet{}
	}
	return r.nextAgentSet()
}

// boundName checks that an earlier line has bound a name to an agent.
func (r *setReader) boundName(name string) string {
	if !r.agentNames[name] {
		r.fail("%q is bound by no line before this one, expected a number or a name of a 'name' line", name)
	}
	return name
}

func (r *setReader) endpointSet(token string) (set EndpointSet) {
	kind, rest, hasRest := strings.Cut(token, ":")
	kind = currentWord(partyWord, kind)
	build, isBuild := strings.CutPrefix(rest, "build=")
	switch {
	case kind != "endpoint" && kind != "endpoints":
		r.fail("%q names no endpoints, expected endpoints, endpoint:3, endpoint:0..5 or endpoints:build=8", token)
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
