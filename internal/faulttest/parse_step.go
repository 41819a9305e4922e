package faulttest

import (
	"strings"

	"switchfork/internal/faulttest/netfault"
)

// actionParsers read what stands behind the keyword of a step. Faults have a table of their own.
var actionParsers = map[string]func(p *parser, token string) stepAction{
	"load":     (*parser).loadAction,
	"crowd":    (*parser).crowdAction,
	"stop":     (*parser).processAction,
	"go":       (*parser).processAction,
	"kill":     (*parser).processAction,
	"term":     (*parser).processAction,
	"start":    (*parser).processAction,
	"restart":  (*parser).processAction,
	"reload":   (*parser).reloadAction,
	"drain":    (*parser).healthAction,
	"ready":    (*parser).healthAction,
	"gone":     (*parser).healthAction,
	"add":      (*parser).addEndpointsAction,
	"work":     (*parser).serviceTimeAction,
	"fail":     (*parser).errorShareAction,
	"news":     (*parser).rolloutAction,
	"launcher": (*parser).rolloutSilenceAction,
	"name":     (*parser).nameLeaderAction,
	"members":  (*parser).membershipAction,
	"wait":     (*parser).waitAction,
	"check":    (*parser).checkAction,
	"mark":     (*parser).markAction,
}

// faultParsers read what stands between the keyword of a fault and its link.
var faultParsers = map[string]func(p *parser, f *faultStep){
	"drop":    (*parser).dropFault,
	"silent":  (*parser).blackholeFault,
	"refuse":  (*parser).refuseFault,
	"lose":    (*parser).lossFault,
	"slow":    (*parser).delayFault,
	"trickle": (*parser).bandwidthFault,
	"reset":   (*parser).resetFault,
	"double":  (*parser).duplicateFault,
	"swap":    (*parser).reorderFault,
}

// action reads a step's action; nil for an unknown keyword.
func (p *parser) action(token string) stepAction {
	if parse, isFault := faultParsers[token]; isFault {
		f := faultStep{}
		parse(p, &f)
		p.link(&f)
		return f
	}
	if token == "heal" {
		f := faultStep{isHeal: true}
		if !p.accept("all") {
			p.link(&f)
		}
		return f
	}
	if parse, isKnown := actionParsers[token]; isKnown {
		return parse(p, token)
	}
	p.fail("%q is no step, expected one of load, crowd, drop, silent, refuse, lose, slow, trickle, reset, double, swap, heal, stop, go, kill, term, "+
		"start, restart, reload, drain, ready, gone, add, work, fail, news, launcher, name, members, wait, check, mark", token)
	return nil
}

func (p *parser) share() float64 {
	return p.number(p.nextToken("a share from 0 to 1"), "the share", 0, 1)
}

func (p *parser) dropFault(f *faultStep) {
	f.apply = func(f *netfault.Fault) { f.Drop = true }
}

func (p *parser) blackholeFault(f *faultStep) {
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.Blackhole = true }
}

func (p *parser) refuseFault(f *faultStep) {
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.Refuse = true }
}

func (p *parser) lossFault(f *faultStep) {
	share := p.share()
	f.apply = func(f *netfault.Fault) { f.LossRate = share }
}

func (p *parser) delayFault(f *faultStep) {
	mean, spread, hasSpread := strings.Cut(p.nextToken("a delay such as 300ms or 300ms~50ms"), "~")
	delay, jitter := toMicros(p.duration(mean, "the delay")), netfault.Micros(0)
	if hasSpread {
		jitter = toMicros(p.duration(spread, "the spread"))
		if jitter > delay {
			p.fail("the spread is over the delay, expected at most %v", mean)
		}
	}
	f.apply = func(f *netfault.Fault) { f.Delay, f.Jitter = delay, jitter }
}

func (p *parser) bandwidthFault(f *faultStep) {
	rate := p.integer(p.nextToken("bytes a second"), "the rate", 1, 1<<30)
	f.apply = func(f *netfault.Fault) { f.BytesPerSecond = rate }
}

func (p *parser) resetFault(f *faultStep) {
	bytes := p.integer(p.nextToken("bytes until the reset"), "the bytes", 1, 1<<30)
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.ResetAfterBytes = bytes }
}

func (p *parser) duplicateFault(f *faultStep) {
	share := p.share()
	f.datagramsOnly = true
	f.apply = func(f *netfault.Fault) { f.DuplicateRate = share }
}

func (p *parser) reorderFault(f *faultStep) {
	share := p.number(p.nextToken("a share from 0 to 0.5"), "the share", 0, 0.5)
	f.datagramsOnly = true
	f.apply = func(f *netfault.Fault) { f.ReorderRate = share }
}

func (p *parser) party() (end Party) {
	token := p.nextToken("an end of a link: agents, appliances, discovery or launcher")
	switch {
	case token == serverDiscovery:
		end.Discovery = true
	case token == serverRollout:
		end.Rollout = true
	case strings.HasPrefix(token, "appliance"):
		endpoints := p.endpointSet(token)
		end.Endpoints = &endpoints
	default:
		agents := p.agentSet(token)
		end.Agents = &agents
	}
	return end
}

// link reads A -> B or A <-> B, and tcp or datagrams.
func (p *parser) link(f *faultStep) {
	f.from = p.party()
	switch token := p.nextToken("-> or <->"); token {
	case "->":
	case "<->":
		f.bidirectional = true
	default:
		p.fail("%q stands between the ends of a link, expected -> or <->", token)
	}
	f.to = p.party()
	for _, transport := range []string{transportTCP, transportDatagrams} {
		if p.accept(transport) {
			f.transport = transport
		}
	}
	p.checkLink(f)
}

// checkLink reports a link that can't have the fault.
func (p *parser) checkLink(f *faultStep) {
	betweenAgents := f.from.Agents != nil && f.to.Agents != nil
	switch {
	case p.lineFailed:
	case f.from.Agents == nil && f.to.Agents == nil:
		p.fail("no link joins these ends, expected agents at one of them")
	case !betweenAgents && f.transport == transportDatagrams:
		p.fail("agents send datagrams to agents only, expected agents at both ends")
	case f.datagramsOnly && (!betweenAgents || f.transport == transportTCP):
		p.fail("streams keep their order and lose nothing twice, expected this fault on datagrams between agents")
	case f.streamsOnly && f.transport == transportDatagrams:
		p.fail("datagrams have no connection, expected this fault on streams")
	}
}

func (p *parser) loadAction(string) stepAction {
	load := loadStep{number: p.loadSteps, rate: p.number(p.nextToken("txns a second for each agent"), "the load", 0, 5000)}
	p.loadSteps++
	if v, isSet := p.option("posting"); isSet {
		load.keyedShare = p.number(v, "posting", 0, 1)
	}
	if v, isSet := p.option("once"); isSet {
		load.onceShare = p.number(v, "once", 0, 1-load.keyedShare)
	}
	for key, share := range map[string]*float64{"pieces": &load.piecesShare, "leave": &load.leaveShare, "short": &load.shortShare} {
		if v, isSet := p.option(key); isSet {
			*share = p.number(v, key, 0, 1)
		}
	}
	if len(p.tokens) > 0 {
		load.agents = p.agentSet(p.nextToken(agentSetForm))
	}
	return load
}

func (p *parser) crowdAction(string) stepAction {
	crowd := crowdStep{clients: p.integer(p.nextToken("clients at each agent"), "the crowd", 0, maxConnsPerAgent), pause: defaultCrowdPause}
	if v, isSet := p.option("pause"); isSet {
		crowd.pause = p.duration(v, "the pause")
	}
	if len(p.tokens) > 0 {
		crowd.agents = p.agentSet(p.nextToken(agentSetForm))
	}
	return crowd
}

func (p *parser) processAction(token string) stepAction {
	step := processStep{action: token, agents: p.agentSet(p.nextToken(agentSetForm))}
	step.clearsState = p.accept("fresh")
	step.program, _ = p.option("program")
	if strings.ContainsAny(step.program, "/\\. ") {
		p.fail("the program is %q, expected a name, without a path", step.program)
	}
	return step
}

// What a reload may change.
const (
	reloadOperator  = "operator"
	reloadPeer      = "peer"
	reloadMalformed = "spoilt"
)

func (p *parser) reloadAction(string) stepAction {
	reload := reloadStep{agents: p.agentSet(p.nextToken(agentSetForm))}
	reload.target = p.nextToken("operator, peer, discovery, launcher or spoilt")
	switch reload.target {
	case reloadOperator:
		reload.tokens = p.restOfLine()
		if len(reload.tokens) == 0 {
			p.fail("the line ends, expected a line of the operator's file")
		}
	case reloadPeer:
		reload.peer = p.integer(p.nextToken("an agent"), "the agent", 0, p.scenario.Agents-1)
	case serverDiscovery, serverRollout, reloadMalformed:
	default:
		p.fail("%q can't be reloaded, expected operator, peer, discovery, launcher or spoilt", reload.target)
	}
	return reload
}

func (p *parser) healthAction(token string) stepAction {
	health := map[string]string{"drain": healthLeaving, "ready": healthActive, "gone": healthLeft}[token]
	return healthStep{health, p.endpointSet(p.nextToken("appliances"))}
}

func (p *parser) addEndpointsAction(string) stepAction {
	step := addEndpointsStep{count: p.integer(p.nextToken("how many appliances"), "the number", 1, maxEndpoints)}
	build, isSet := p.option("build")
	step.build = p.integer(build, "the build", 1, maxBuild)
	if !isSet {
		p.fail("no build is named, expected build=8")
	}
	return step
}

func (p *parser) serviceTimeAction(string) stepAction {
	factor := p.number(p.nextToken("times its usual work"), "the work", 0, 1000)
	return serviceTimeStep{factor, p.endpointSet(p.nextToken("appliances"))}
}

func (p *parser) errorShareAction(string) stepAction {
	share := p.share()
	return errorShareStep{share, p.endpointSet(p.nextToken("appliances"))}
}

func (p *parser) rolloutAction(string) stepAction {
	step := rolloutStep{build: p.integer(p.nextToken("a build"), "the build", 1, maxBuild)}
	step.stage = p.integer(p.nextToken("a stage"), "the stage", 0, 2)
	step.phase = p.oneOf(rolloutPhases, "testing, recalling, live or recalled", "the phase is %q, expected testing, recalling, live or recalled")
	step.cap = p.number(p.nextToken("a cap from 0 to 1"), "the cap", 0, 1)
	return step
}

func (p *parser) rolloutSilenceAction(string) stepAction {
	token := p.oneOf([]string{"silent", "answers"}, "silent or answers", "the launcher is %q, expected silent or answers")
	return rolloutSilenceStep{token == "silent"}
}

func (p *parser) nameLeaderAction(string) stepAction {
	step := nameLeaderStep{name: p.nextToken("a name")}
	if !p.accept("lead") {
		p.fail("only who leads can be named, expected lead")
	}
	if v, isSet := p.option("not"); isSet {
		excluded := p.agentSet("agent:" + v)
		step.excluded = &excluded
	}
	step.timeout = p.timeout()
	p.agentNames[step.name] = true
	return step
}

// Changes of the election's members.
const (
	memberAdd    = "add"
	memberRemove = "remove"
)

func (p *parser) membershipAction(string) stepAction {
	step := membershipStep{action: p.oneOf([]string{memberAdd, memberRemove}, "add or remove", "members %q, expected add or remove")}
	step.agents = p.agentSet(p.nextToken(agentSetForm))
	if !p.accept("at") {
		p.fail("nobody is asked, expected at and %s", agentSetForm)
	}
	step.contacts = p.agentSet(p.nextToken(agentSetForm))
	step.timeout = p.timeout()
	return step
}

func (p *parser) waitAction(string) stepAction {
	step := waitStep{comparison: p.comparison(true)}
	step.timeout = p.timeout()
	return step
}

func (p *parser) checkAction(string) stepAction { return checkStep{p.nextToken("a check's name")} }

func (p *parser) markAction(string) stepAction {
	step := markStep{p.nextToken("a name")}
	p.markNames[step.name] = true
	return step
}
