package faulttest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ParseError is an error in a scenario file. All errors of a file are reported at once, joined.
type ParseError struct {
	File   string
	Line   int
	Reason string
}

func (e *ParseError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// ReadScenario reads a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(filepath.Base(path), string(text))
}

// parser reads one line's tokens.
type parser struct {
	scenario   *Scenario
	lineNumber int
	tokens     []string
	agentNames map[string]bool // bound so far
	markNames  map[string]bool
	loadSteps  int // so far
	errs       []error
	lineFailed bool // an error of this line was reported; further ones follow from it
}

func (p *parser) fail(format string, args ...any) {
	if !p.lineFailed {
		p.errs = append(p.errs, &ParseError{p.scenario.File, p.lineNumber, fmt.Sprintf(format, args...)})
	}
	p.lineFailed = true
}

// nextToken consumes the next token; where there is none, the error says what was expected.
func (p *parser) nextToken(expected string) string {
	if len(p.tokens) == 0 {
		p.fail("the line ends, expected %s", expected)
		return ""
	}
	token := p.tokens[0]
	p.tokens = p.tokens[1:]
	return token
}

// accept consumes the next token if it is this one.
func (p *parser) accept(token string) bool {
	if len(p.tokens) > 0 && p.tokens[0] == token {
		p.tokens = p.tokens[1:]
		return true
	}
	return false
}

// oneOf consumes a token that has to be one of a few; form is the format of the error on any other.
func (p *parser) oneOf(allowed []string, expected, form string) string {
	token := p.nextToken(expected)
	if !slices.Contains(allowed, token) {
		p.fail(form, token)
	}
	return token
}

// restOfLine consumes all tokens that are left.
func (p *parser) restOfLine() []string {
	rest := p.tokens
	p.tokens = nil
	return rest
}

// option consumes KEY=VALUE from wherever it stands in the rest of the line.
func (p *parser) option(key string) (value string, isSet bool) {
	for i, token := range p.tokens {
		if value, isSet = strings.CutPrefix(token, key+"="); isSet {
			p.tokens = slices.Delete(slices.Clone(p.tokens), i, i+1)
			return value, true
		}
	}
	return "", false
}

// number reads a token; the empty token was reported as missing before, or is optional.
func (p *parser) number(token, what string, least, most float64) float64 {
	v, err := strconv.ParseFloat(token, 64)
	if (err != nil || v < least || v > most) && token != "" {
		p.fail("%s is %q, expected a number from %g to %g", what, token, least, most)
	}
	return v
}

func (p *parser) integer(token, what string, least, most int) int {
	v, err := strconv.Atoi(token)
	if (err != nil || v < least || v > most) && token != "" {
		p.fail("%s is %q, expected a whole number from %d to %d", what, token, least, most)
	}
	return v
}

func (p *parser) duration(token, what string) time.Duration {
	v, err := time.ParseDuration(token)
	if (err != nil || v < 0) && token != "" {
		p.fail("%s is %q, expected a time such as 300ms or 2s", what, token)
	}
	return v
}

// timeout reads "within TIME".
func (p *parser) timeout() time.Duration {
	if !p.accept("within") {
		p.fail("no bound on the wait, expected within and a time")
		return 0
	}
	return p.duration(p.nextToken("a time"), "the bound")
}

// numberList reads numbers and ranges such as 1,3..5.
func (p *parser) numberList(token, what string, below int) (out []int) {
	for _, part := range strings.Split(token, ",") {
		first, last, isRange := strings.Cut(part, "..")
		if !isRange {
			last = first
		}
		from := p.integer(first, what, 0, below-1)
		to := p.integer(last, what, from, below-1)
		for i := from; i <= to && !p.lineFailed; i++ {
			out = append(out, i)
		}
	}
	return out
}

const agentSetForm = "agents, agent:0,2..4, agent:NAME or others:NAME"

func (p *parser) agentSet(token string) (set AgentSet) {
	kind, rest, hasRest := strings.Cut(token, ":")
	isAgents := kind == "agent" || kind == "agents"
	switch {
	case token == "agents":
	case hasRest && isAgents && rest != "" && isDigit(rest[0]):
		set.Numbers = p.numberList(rest, "the agent", p.scenario.Agents)
	case hasRest && isAgents && rest != "":
		set.Name = p.boundName(rest)
	case hasRest && kind == "others":
		set.Name, set.Inverted = p.boundName(rest), true
	default:
		p.fail("%q names no agents, expected %s", token, agentSetForm)
	}
	return set
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// boundName checks that an earlier line has bound a name to an agent.
func (p *parser) boundName(name string) string {
	if !p.agentNames[name] {
		p.fail("%q is bound by no line before this one, expected a number or a name of a 'name' line", name)
	}
	return name
}

func (p *parser) endpointSet(token string) (set EndpointSet) {
	kind, rest, hasRest := strings.Cut(token, ":")
	build, isBuild := strings.CutPrefix(rest, "build=")
	switch {
	case kind != "appliance" && kind != "appliances":
		p.fail("%q names no appliances, expected appliances, appliance:3, appliance:0..5 or appliances:build=8", token)
	case !hasRest:
	case isBuild:
		set.Build = p.integer(build, "the build", 1, maxBuild)
	default:
		set.Numbers = p.numberList(rest, "the appliance", maxEndpoints)
	}
	return set
}

// ParseScenario reads a scenario's text. Its error joins a ParseError for each error in the text.
func ParseScenario(file, text string) (*Scenario, error) {
	p := &parser{scenario: defaultScenario(file), agentNames: map[string]bool{}, markNames: map[string]bool{}}
	lines := strings.Split(text, "\n")
	var expectations []int // read last, since a mark that one names may be set by a later line
	for i, line := range lines {
		p.startLine(i, line)
		if len(p.tokens) == 0 {
			continue
		}
		if p.accept("expect") {
			expectations = append(expectations, i)
			continue
		}
		p.statement(line)
		p.endLine()
	}
	for _, i := range expectations {
		p.startLine(i, lines[i])
		p.nextToken("expect")
		e := p.expectation()
		p.endLine()
		e.Line, e.Text = p.lineNumber, statementText(lines[i])
		p.scenario.Expectations = append(p.scenario.Expectations, e)
	}
	p.lineNumber, p.lineFailed = len(lines), false
	p.checkWhole()
	return p.scenario, errors.Join(p.errs...)
}

func defaultScenario(file string) *Scenario {
	return &Scenario{
		File: file, Agents: 3, Endpoints: 6, Slots: 8, Build: 7, ServiceTime: 5 * time.Millisecond, Transport: transportNone,
		Lease: 600 * time.Millisecond, Seed: 1, Timeout: 90 * time.Second,
	}
}

// statementText is a line without its comment, its tokens separated by one blank.
func statementText(line string) string {
	text, _, _ := strings.Cut(line, "#")
	return strings.Join(strings.Fields(text), " ")
}

func (p *parser) startLine(index int, line string) {
	p.lineNumber, p.lineFailed = index+1, false
	p.tokens = strings.Fields(statementText(line))
}

func (p *parser) endLine() {
	if len(p.tokens) > 0 {
		p.fail("%q is left over at the line's end", strings.Join(p.tokens, " "))
	}
}

// statement reads a step or a header line.
func (p *parser) statement(line string) {
	token := p.nextToken("a statement")
	switch {
	case isDigit(token[0]) || token[0] == '+':
		step := Step{Line: p.lineNumber, Text: statementText(line), AfterPrevious: token[0] == '+'}
		step.At = p.duration(strings.TrimPrefix(token, "+"), "the time")
		step.Action = p.action(p.nextToken("a step"))
		p.scenario.Steps = append(p.scenario.Steps, step)
	case len(p.scenario.Steps) > 0:
		p.fail("%q stands after the first step, expected a time, or expect", token)
	default:
		p.header(token)
	}
}

// checkWhole reports what is wrong with the scenario as a whole.
func (p *parser) checkWhole() {
	s := p.scenario
	switch {
	case len(s.Expectations) == 0 && len(p.errs) == 0:
		p.fail("the night expects nothing, expected a line that begins with expect")
	case s.HasElection && s.Transport == transportNone:
		p.fail("agents who say nothing to each other have no decider, expected talk tcp or talk datagrams")
	case s.Transport == transportTCP && !s.HasElection:
		p.fail("only the decider speaks over tcp, expected a line decider")
	}
}

// header reads a line that describes the deployment.
func (p *parser) header(token string) {
	s := p.scenario
	switch token {
	case "agents":
		s.Agents = p.integer(p.nextToken("how many"), "the number of agents", 1, MaxAgents)
	case "appliances":
		p.endpointsHeader()
	case "talk":
		s.Transport = p.oneOf([]string{transportDatagrams, transportTCP, transportNone}, "datagrams, tcp or no",
			"agents talk by %q, expected datagrams, tcp or no")
	case "decider":
		s.HasElection = true
		if v, isSet := p.option("lease"); isSet {
			s.Lease = p.duration(v, "the lease")
		}
		s.HasStateDirs = !p.accept("no-folders")
	case "operator":
		s.OperatorLines = append(s.OperatorLines, strings.Join(p.restOfLine(), " "))
	case "late":
		s.AbsentAtStart = p.numberList(p.nextToken("agents"), "the agent", s.Agents)
	case "seed":
		s.Seed = int64(p.integer(p.nextToken("a number"), "the seed", 0, 1<<31))
	case "bound":
		s.Timeout = p.duration(p.nextToken("a time"), "the bound")
	default:
		p.fail("%q begins no line, expected agents, appliances, talk, decider, late, operator, seed, bound, a time, or expect", token)
	}
}

func (p *parser) endpointsHeader() {
	s := p.scenario
	s.Endpoints = p.integer(p.nextToken("how many"), "the number of appliances", 1, maxEndpoints)
	if v, isSet := p.option("slots"); isSet {
		s.Slots = p.integer(v, "slots", 1, 1000)
	}
	if v, isSet := p.option("work"); isSet {
		s.ServiceTime = p.duration(v, "the work")
	}
	if v, isSet := p.option("build"); isSet {
		s.Build = p.integer(v, "the build", 1, maxBuild)
	}
}
