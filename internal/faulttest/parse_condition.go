package faulttest

import (
	"slices"
	"strings"
	"time"
)

var comparisonOperators = []string{">=", "<=", "=", ">", "<"}

const (
	// minWindow is the shortest window of an expectation with "each", which has to hold in every window of its range.
	minWindow = 100 * time.Millisecond
	// maxComparedValue is the largest absolute value that a measure may be compared to.
	maxComparedValue = 1e12
)

// conditionParser parses expectations and the comparisons that wait steps wait for. It knows the marks that earlier lines have set. Since
// expectations are parsed last, they may use every mark of the scenario.
type conditionParser struct {
	*setReader
	markNames map[string]bool
}

// comparison parses MEASURE[:ARG] OP VALUE with the options of=, at=, build= and class=. Measures that agents report about themselves are
// accepted only if mayAskAgents is true.
func (p *conditionParser) comparison(mayAskAgents bool) (c comparison) {
	c.measure = p.measure(mayAskAgents)
	spec := measureSpecs[c.measure.Name]
	p.measureOptions(&c.measure, spec)
	c.operator = p.oneOf(comparisonOperators, ">=, <=, =, > or <", "%q is not a comparison operator, expected >=, <=, =, > or <")
	c.value = p.number(p.nextToken("a number"), "the value", -maxComparedValue, maxComparedValue)
	return c
}

// measure parses MEASURE[:ARG].
func (p *conditionParser) measure(mayAskAgents bool) (m Measure) {
	token := p.nextToken("a measure")
	name, argument, _ := strings.Cut(token, ":")
	m.Name, m.Arg = currentWord(measureWord, name), argument
	spec, isKnown := measureSpecs[m.Name]
	switch {
	case !isKnown:
		p.fail("unknown measure %q, expected one of succeeded, within-objective, median, p99, rejected, failed, offered, votes:, arrivals, busiest, "+
			"datagrams, calls:, alive, duplicates, or in a wait step also leaders, members, healthy, log:", token)
	case spec.asksAgents && !mayAskAgents:
		p.fail("%q is reported by the agents themselves, expected a measure from the records of clients, fake servers or relays", token)
	case spec.hasArg != (m.Arg != ""):
		p.fail("%q has a missing or an unexpected argument, expected votes:advance, votes:rollback, votes:hold, votes:none, calls:discovery, calls:rollout-controller, log:TEXT, or another measure without an argument", token)
	case m.Name == measureVotes:
		m.Arg = p.recommendation(argument)
	case m.Name == measureCalls:
		m.Arg = p.server(argument)
	}
	return m
}

// recommendation parses the argument of a votes measure, which is the recommendation that agents voted for.
func (p *conditionParser) recommendation(word string) string {
	recommendation, isKnown := recommendationWords[currentWord(measureArgument, word)]
	if !isKnown {
		p.fail("unknown recommendation %q, expected advance, rollback, hold or none", word)
	}
	return recommendation
}

// server parses the argument of a calls measure, which is the server that agents called.
func (p *conditionParser) server(word string) string {
	server := currentWord(measureArgument, word)
	if server != serverDiscovery && server != serverRollout {
		p.fail("unknown server %q, expected discovery or rollout-controller", word)
	}
	return server
}

// measureOptions parses the options that restrict a measure to some agents, some endpoints, a build or a class.
func (p *conditionParser) measureOptions(m *Measure, spec measureSpec) {
	if v, isSet := p.option("of"); isSet {
		agents := p.agentSet(v)
		m.Agents = &agents
		if !spec.byAgent {
			p.fail("%s is not counted by agent, expected no option of=", m.Name)
		}
	}
	if v, isSet := p.option("at"); isSet {
		endpoints := p.endpointSet(v)
		m.Endpoints = &endpoints
		if !spec.byEndpoint {
			p.fail("%s is not counted by endpoint, expected no option at=", m.Name)
		}
	}
	if v, isSet := p.option("build"); isSet {
		m.Build = p.integer(v, "the build", 1, maxBuild)
		if !spec.byBuild {
			p.fail("%s is not counted by build, expected no option build=", m.Name)
		}
	}
	if v, isSet := p.option("class"); isSet {
		m.Class = v
		if !spec.byClass {
			p.fail("%s is not counted by class, expected no option class=", m.Name)
		} else if v != classIdempotent && v != classKeyed && v != classNonIdempotent {
			p.fail("unknown class %q, expected %s, %s or %s", v, classIdempotent, classKeyed, classNonIdempotent)
		}
	}
}

// timeRef parses a time, or a mark with or without an offset.
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
		p.fail("%q is not a time, expected one such as 2s, or a mark of this scenario such as cut or cut+2s", token)
	}
	return &ref
}

// expectation parses the rest of an expect line.
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

// exclusiveClaim parses "hold" and the words for what no two agents may hold at the same time. It consumes no token of the range,
// see expectationRange.
func (p *conditionParser) exclusiveClaim() string {
	if !p.accept("hold") {
		p.fail("two is not followed by hold, expected hold and what is held")
	}
	var words []string
	for len(p.tokens) > 0 && p.tokens[0] != "from" && p.tokens[0] != "to" {
		words = append(words, p.nextToken("what is held"))
	}
	if len(words) == 0 {
		p.fail("unexpected end of line, expected what is held, such as vote")
	}
	return strings.Join(words, " ")
}

// insertZeroComparison turns "never MEASURE" into "MEASURE = 0". It inserts the comparison after the measure and its options.
func (p *conditionParser) insertZeroComparison() {
	at := 1
	for at < len(p.tokens) && strings.Contains(p.tokens[at], "=") {
		at++
	}
	p.tokens = slices.Insert(slices.Clone(p.tokens), min(at, len(p.tokens)), "=", "0")
}

// expectationRange parses the part of the run in which an expectation has to hold.
func (p *conditionParser) expectationRange(e *Expectation) {
	for len(p.tokens) > 0 && !p.lineFailed {
		switch token := p.nextToken("a range"); token {
		case "from":
			e.From = p.timeRef(p.nextToken("a time"))
		case "to":
			e.To = p.timeRef(p.nextToken("a time"))
		case "each":
			e.Window = p.duration(p.nextToken("a time"), "the window")
			if e.Window < minWindow {
				p.fail("the window is %v, expected at least %v", e.Window, minWindow)
			}
		default:
			p.fail("unexpected %q, expected from, to or each", token)
		}
	}
}
