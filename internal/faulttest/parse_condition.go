package faulttest

import (
	"slices"
	"strings"
	"time"
)

var comparisonOperators = []string{">=", "<=", "=", ">", "<"}

const (
	// minWindow is the shortest part of a run that an expectation may be held against on its own.
	minWindow = 100 * time.Millisecond
	// maxComparedValue bounds the value that a measure is compared to.
	maxComparedValue = 1e12
)

// conditionParser reads measures with what they are compared to: what a wait step waits for, and expectations. It knows the marks that
// lines before have set.
type conditionParser struct {
	*setReader
	markNames map[string]bool
}

// comparison reads MEASURE[:ARG] OP VALUE of= at= build= class=.
func (p *conditionParser) comparison(mayAskAgents bool) (c comparison) {
	c.measure = p.measure(mayAskAgents)
	spec := measureSpecs[c.measure.Name]
	p.measureOptions(&c.measure, spec)
	c.operator = p.oneOf(comparisonOperators, ">=, <=, = , > or <", "%q compares nothing, expected >=, <=, =, > or <")
	c.value = p.number(p.nextToken("a number"), "the value", -maxComparedValue, maxComparedValue)
	return c
}

// measure reads MEASURE[:ARG].
func (p *conditionParser) measure(mayAskAgents bool) (m Measure) {
	token := p.nextToken("a measure")
	name, argument, _ := strings.Cut(token, ":")
	m.Name, m.Arg = currentWord(measureWord, name), argument
	spec, isKnown := measureSpecs[m.Name]
	switch {
	case !isKnown:
		p.fail("%q is no measure, expected one of succeeded, within-objective, median, p99, rejected, failed, offered, votes:, arrivals, busiest, "+
			"datagrams, calls:, alive, duplicates, and after wait leaders, members, healthy, log:", token)
	case spec.asksAgents && !mayAskAgents:
		p.fail("%q is what agents say of themselves, expected a measure of fake servers or relays", token)
	case spec.hasArg != (m.Arg != ""):
		p.fail("%q, expected votes:advance, votes:rollback, votes:hold, votes:none, calls:discovery, calls:rollout-controller, log:TEXT, and no word behind the others", token)
	case m.Name == measureVotes:
		m.Arg = p.recommendation(argument)
	case m.Name == measureCalls:
		m.Arg = p.server(argument)
	}
	return m
}

// recommendation reads what a vote is for.
func (p *conditionParser) recommendation(word string) string {
	recommendation, isKnown := recommendationWords[currentWord(measureArgument, word)]
	if !isKnown {
		p.fail("%q is no verdict, expected advance, rollback, hold or none", word)
	}
	return recommendation
}

// server reads which server takes calls.
func (p *conditionParser) server(word string) string {
	server := currentWord(measureArgument, word)
	if server != serverDiscovery && server != serverRollout {
		p.fail("%q takes no calls, expected discovery or rollout-controller", word)
	}
	return server
}

// measureOptions reads what narrows a measure.
func (p *conditionParser) measureOptions(m *Measure, spec measureSpec) {
	if v, isSet := p.option("of"); isSet {
		agents := p.agentSet(v)
		m.Agents = &agents
		if !spec.byAgent {
			p.fail("%s is not counted by agent, expected no of=", m.Name)
		}
	}
	if v, isSet := p.option("at"); isSet {
		endpoints := p.endpointSet(v)
		m.Endpoints = &endpoints
		if !spec.byEndpoint {
			p.fail("%s is not counted by endpoint, expected no at=", m.Name)
		}
	}
	if v, isSet := p.option("build"); isSet {
		m.Build = p.integer(v, "the build", 1, maxBuild)
		if !spec.byBuild {
			p.fail("%s is not counted by build, expected no build=", m.Name)
		}
	}
	if v, isSet := p.option("class"); isSet {
		m.Class = v
		if !spec.byClass {
			p.fail("%s is not counted by class, expected no class=", m.Name)
		} else if v != classIdempotent && v != classKeyed && v != classNonIdempotent {
			p.fail("class %q is not known, expected %s, %s or %s", v, classIdempotent, classKeyed, classNonIdempotent)
		}
	}
}

// timeRef reads a time, or a mark with or without an offset.
func (p *conditionParser) timeRef(token string) *TimeRef {
	if token != "" && isDigit(token[0]) {
		return &TimeRef{Offset: p.duration(token, "the time")}
	}
	mark, offset, hasOffset := strings.Cut(token, "+")
	ref := TimeRef{Mark: mark}
	if hasOffset {
		ref.Offset = p.duration(offset, "the time")
	}
	if !p.markNames[mark] {
		p.fail("%q is no time, expected one such as 2s, or a mark of this scenario such as cut or cut+2s", token)
	}
	return &ref
}

// expectation reads what stands behind expect.
func (p *conditionParser) expectation() (e Expectation) {
	if !p.accept("never") {
		e.comparison = p.comparison(false)
		p.expectationRange(&e)
		return e
	}
	if p.accept("two") {
		e.ExclusiveClaim = p.exclusiveClaim()
		p.expectationRange(&e)
		return e
	}
	p.insertZeroComparison()
	e.comparison = p.comparison(false)
	p.expectationRange(&e)
	return e
}

// exclusiveClaim reads "hold" and what no two agents may hold at one time, up to the range.
func (p *conditionParser) exclusiveClaim() string {
	if !p.accept("hold") {
		p.fail("expected hold and what is held")
	}
	var words []string
	for len(p.tokens) > 0 && p.tokens[0] != "from" && p.tokens[0] != "to" {
		words = append(words, p.nextToken("what is held"))
	}
	if len(words) == 0 {
		p.fail("the line ends, expected what is held, such as vote")
	}
	return strings.Join(words, " ")
}

// insertZeroComparison turns "never MEASURE" into "MEASURE = 0": the comparison stands behind the measure and its options.
func (p *conditionParser) insertZeroComparison() {
	at := 1
	for at < len(p.tokens) && strings.Contains(p.tokens[at], "=") {
		at++
	}
	p.tokens = slices.Insert(slices.Clone(p.tokens), min(at, len(p.tokens)), "=", "0")
}

// expectationRange reads the part of the run that an expectation is held against.
func (p *conditionParser) expectationRange(e *Expectation) {
	for len(p.tokens) > 0 && !p.lineFailed {
		switch token := p.nextToken("a range"); token {
		case "from":
			e.From = p.timeRef(p.nextToken("a time"))
		case "to":
			e.To = p.timeRef(p.nextToken("a time"))
		case "each":
			e.Window = p.duration(p.nextToken("a time"), "the span")
			if e.Window < minWindow {
				p.fail("each span is %v, expected at least %v", e.Window, minWindow)
			}
		default:
			p.fail("%q is not understood, expected from, to or each", token)
		}
	}
}
