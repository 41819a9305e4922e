package faulttest

import "strings"

const (
	// maxRequestRate is the highest rate of an open load, in requests per second at each agent.
	maxRequestRate = 5000
	// maxSlowdown is the largest factor by which an endpoint's usual service time may be multiplied.
	maxSlowdown = 1000
	// maxRolloutStage is the last stage of a rollout.
	maxRolloutStage = 2
)

// stepParser parses the steps of a scenario.
type stepParser struct {
	*setReader
	faults     *faultParser
	conditions *conditionParser
	loadSteps  int // number of open-load steps parsed so far
}

// actionParsers maps the keyword of a step to the method that parses the rest of the step. Faults are left to faultParser.
var actionParsers = map[string]func(p *stepParser, keyword string) stepAction{
	"load":           (*stepParser).openLoad,
	"client-load":    (*stepParser).closedLoad,
	processPause:     (*stepParser).process,
	processResume:    (*stepParser).process,
	processKill:      (*stepParser).process,
	processTerminate: (*stepParser).process,
	processStart:     (*stepParser).process,
	processRestart:   (*stepParser).process,
	"reload":         (*stepParser).reload,
	"drain":          (*stepParser).health,
	"activate":       (*stepParser).health,
	"remove":         (*stepParser).health,
	"add":            (*stepParser).addEndpoints,
	"slowdown":       (*stepParser).serviceTime,
	"error-rate":     (*stepParser).errorShare,
	"rollout":        (*stepParser).rollout,
	serverRollout:    (*stepParser).rolloutSilence,
	"name":           (*stepParser).nameLeader,
	"members":        (*stepParser).membership,
	"wait":           (*stepParser).wait,
	"check":          (*stepParser).check,
	"mark":           (*stepParser).mark,
}

// action parses the action of a step. It returns nil for an unknown keyword.
func (p *stepParser) action(token string) stepAction {
	keyword := currentWord(stepWord, token)
	if fault, isFault := p.faults.fault(keyword); isFault {
		return fault
	}
	if keyword == "heal" {
		return p.faults.heal()
	}
	if parse, isKnown := actionParsers[keyword]; isKnown {
		return parse(p, keyword)
	}
	p.fail("unknown step %q, expected one of load, client-load, drop, blackhole, refuse, loss, delay, bandwidth, reset, duplicate, reorder, heal, "+
		"pause, resume, kill, terminate, start, restart, reload, drain, activate, remove, add, slowdown, error-rate, rollout, rollout-controller, "+
		"name, members, wait, check, mark", token)
	return nil
}

func (p *stepParser) openLoad(string) stepAction {
	load := openLoadStep{number: p.loadSteps, rate: p.number(p.nextToken("the requests per second at each agent"), "the load", 0, maxRequestRate)}
	p.loadSteps++
	load.keyedShare = p.optionalShare("keyed")
	if v, isSet := p.option("non-idempotent"); isSet {
		load.nonIdempotentShare = p.number(v, "non-idempotent", 0, 1-load.keyedShare)
	}
	load.splitShare = p.optionalShare("split")
	load.disconnectShare = p.optionalShare("disconnect")
	load.shortTimeoutShare = p.optionalShare("short-timeout")
	load.agents = p.optionalAgentSet()
	return load
}

// optionalShare consumes the option KEY=SHARE. It returns 0 if the option is not set.
func (p *stepParser) optionalShare(key string) float64 {
	v, isSet := p.option(key)
	if !isSet {
		return 0
	}
	return p.number(v, key, 0, 1)
}

func (p *stepParser) closedLoad(string) stepAction {
	load := closedLoadStep{clients: p.integer(p.nextToken("the number of clients at each agent"), "the number of clients", 0, maxConnsPerAgent), pause: defaultClientPause}
	if v, isSet := p.option("think-time"); isSet {
		load.pause = p.duration(v, "the think time")
	}
	load.agents = p.optionalAgentSet()
	return load
}

func (p *stepParser) process(keyword string) stepAction {
	step := processStep{action: keyword, agents: p.nextAgentSet()}
	step.clearsState = p.accept("clear-state")
	step.program, _ = p.option("program")
	if strings.ContainsAny(step.program, "/\\. ") {
		p.fail("the program is %q, expected a name without a path", step.program)
	}
	return step
}

func (p *stepParser) reload(string) stepAction {
	reload := reloadStep{agents: p.nextAgentSet()}
	token := p.nextToken("operator, peer, discovery, rollout-controller or malformed")
	reload.target = currentWord(argumentWord, token)
	switch reload.target {
	case reloadOperator:
		reload.tokens = p.restOfLine()
		if len(reload.tokens) == 0 {
			p.fail("unexpected end of line, expected a line of the operator's file")
		}
	case reloadPeer:
		reload.peer = p.integer(p.nextToken("an agent"), "the agent", 0, p.scenario.Agents-1)
	case serverDiscovery, serverRollout, reloadMalformed:
	default:
		p.fail("%q can't be reloaded, expected operator, peer, discovery, rollout-controller or malformed", token)
	}
	return reload
}

func (p *stepParser) health(keyword string) stepAction {
	health := map[string]string{"drain": healthDraining, "activate": healthActive, "remove": healthRemoved}[keyword]
	return healthStep{health, p.nextEndpointSet()}
}

func (p *stepParser) addEndpoints(string) stepAction {
	step := addEndpointsStep{count: p.integer(p.nextToken("the number of endpoints"), "the number of endpoints", 1, maxEndpoints)}
	build, isSet := p.option("build")
	step.build = p.integer(build, "the build", 1, maxBuild)
	if !isSet {
		p.fail("no build is given, expected an option such as build=8")
	}
	return step
}

func (p *stepParser) serviceTime(string) stepAction {
	factor := p.number(p.nextToken("a factor for the service time"), "the slowdown", 0, maxSlowdown)
	return serviceTimeStep{factor, p.nextEndpointSet()}
}

func (p *stepParser) errorShare(string) stepAction {
	share := p.share()
	return errorShareStep{share, p.nextEndpointSet()}
}

func (p *stepParser) rollout(string) stepAction {
	step := rolloutStep{build: p.integer(p.nextToken("a build"), "the build", 1, maxBuild)}
	step.stage = p.integer(p.nextToken("a stage"), "the stage", 0, maxRolloutStage)
	step.phase = p.oneOf(rolloutPhases, "testing, recalling, live or recalled", "the phase is %q, expected testing, recalling, live or recalled")
	step.cap = p.number(p.nextToken("a cap from 0 to 1"), "the cap", 0, 1)
	return step
}

func (p *stepParser) rolloutSilence(string) stepAction {
	token := p.oneOf([]string{"silent", "answers"}, "silent or answers", "the rollout controller is %q, expected silent or answers")
	return rolloutSilenceStep{token == "silent"}
}

func (p *stepParser) nameLeader(string) stepAction {
	step := nameLeaderStep{name: p.nextToken("a name")}
	if !p.accept("leader") {
		p.fail("only the leader can be named, expected leader")
	}
	if v, isSet := p.option("not"); isSet {
		excluded := p.agentSet("agent:" + v)
		step.excluded = &excluded
	}
	step.timeout = p.timeout()
	p.agentNames[step.name] = true
	return step
}

func (p *stepParser) membership(string) stepAction {
	step := membershipStep{action: p.oneOf([]string{memberAdd, memberRemove}, "add or remove", "the change of members is %q, expected add or remove")}
	step.agents = p.nextAgentSet()
	if !p.accept("at") {
		p.fail("no agents are given to send the change to, expected at and %s", agentSetForm)
	}
	step.contacts = p.nextAgentSet()
	step.timeout = p.timeout()
	return step
}

func (p *stepParser) wait(string) stepAction {
	step := waitStep{comparison: p.conditions.comparison(true)}
	step.timeout = p.timeout()
	return step
}

func (p *stepParser) check(string) stepAction { return checkStep{p.nextToken("a check's name")} }

func (p *stepParser) mark(string) stepAction {
	step := markStep{p.nextToken("a name")}
	p.conditions.markNames[step.name] = true
	return step
}
