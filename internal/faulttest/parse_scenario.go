package faulttest

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// maxSlots is the largest number of requests that an endpoint may serve at a time.
const maxSlots = 1000

// ReadScenario reads a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(filepath.Base(path), string(text))
}

// ParseScenario reads a scenario's text. Its error joins a ParseError for each error in the text.
func ParseScenario(file, text string) (*Scenario, error) {
	p := newScenarioParser(file)
	lines := strings.Split(text, "\n")
	var expectations []int // indexes of the expect lines; they are parsed last, since they may use marks that later lines set
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
		e := p.conditions.expectation()
		p.endLine()
		e.Line, e.Text = p.lineNumber, statementText(lines[i])
		p.scenario.Expectations = append(p.scenario.Expectations, e)
	}
	p.lineNumber, p.lineFailed = len(lines), false
	p.checkWhole()
	return p.scenario, errors.Join(p.errs...)
}

// scenarioParser parses the lines of a scenario. Steps and conditions have separate parsers, which share its line reader.
type scenarioParser struct {
	*setReader
	steps      *stepParser
	conditions *conditionParser
}

func newScenarioParser(file string) *scenarioParser {
	sets := &setReader{lineReader: &lineReader{file: file}, scenario: defaultScenario(file), agentNames: map[string]bool{}}
	conditions := &conditionParser{setReader: sets, markNames: map[string]bool{}}
	steps := &stepParser{setReader: sets, conditions: conditions, faults: &faultParser{setReader: sets}}
	return &scenarioParser{setReader: sets, steps: steps, conditions: conditions}
}

func defaultScenario(file string) *Scenario {
	return &Scenario{
		File: file, Agents: 3, Transport: transportNone, Seed: 1, Timeout: 90 * time.Second,
		Endpoints: EndpointSetup{Count: 6, Slots: 8, Build: 7, ServiceTime: 5 * time.Millisecond},
		Election:  ElectionSetup{Lease: 600 * time.Millisecond},
	}
}

// statement parses a step or a header line.
func (p *scenarioParser) statement(line string) {
	token := p.nextToken("a statement")
	switch {
	case isDigit(token[0]) || token[0] == '+':
		step := Step{Line: p.lineNumber, Text: statementText(line), AfterPrevious: token[0] == '+'}
		step.At = p.duration(strings.TrimPrefix(token, "+"), "the time")
		step.Action = p.steps.action(p.nextToken("a step"))
		p.scenario.Steps = append(p.scenario.Steps, step)
	case len(p.scenario.Steps) > 0:
		p.fail("unexpected %q after the first step, expected a time or expect", token)
	default:
		p.header(token)
	}
}

// header parses a line that describes the deployment.
func (p *scenarioParser) header(token string) {
	s := p.scenario
	switch currentWord(headerWord, token) {
	case "agents":
		s.Agents = p.integer(p.nextToken("the number of agents"), "the number of agents", 1, MaxAgents)
	case "endpoints":
		p.endpointsHeader()
	case "transport":
		s.Transport = p.oneOf([]string{transportDatagrams, transportTCP, transportNone}, "datagrams, tcp or none",
			"the transport is %q, expected datagrams, tcp or none")
	case "leader-election":
		s.Election.IsOn = true
		if v, isSet := p.option("lease"); isSet {
			s.Election.Lease = p.duration(v, "the lease")
		}
		s.Election.HasStateDirs = !p.accept("stateless")
	case "operator":
		s.OperatorLines = append(s.OperatorLines, strings.Join(p.restOfLine(), " "))
	case "absent":
		s.AbsentAtStart = p.numberList(p.nextToken("agents"), "the agent", s.Agents)
	case "seed":
		s.Seed = int64(p.integer(p.nextToken("a number"), "the seed", 0, 1<<31))
	case "timeout":
		s.Timeout = p.duration(p.nextToken("a time"), "the timeout")
	default:
		p.fail("unexpected %q at the start of the line, expected agents, endpoints, transport, leader-election, absent, operator, seed, timeout, a time, or expect", token)
	}
}

func (p *scenarioParser) endpointsHeader() {
	setup := &p.scenario.Endpoints
	setup.Count = p.integer(p.nextToken("the number of endpoints"), "the number of endpoints", 1, maxEndpoints)
	if v, isSet := p.option("slots"); isSet {
		setup.Slots = p.integer(v, "slots", 1, maxSlots)
	}
	if v, isSet := p.option("service-time"); isSet {
		setup.ServiceTime = p.duration(v, "the service time")
	}
	if v, isSet := p.option("build"); isSet {
		setup.Build = p.integer(v, "the build", 1, maxBuild)
	}
}

// checkWhole reports errors that concern the scenario as a whole.
func (p *scenarioParser) checkWhole() {
	s := p.scenario
	switch {
	case len(s.Expectations) == 0 && len(p.errs) == 0:
		p.fail("the scenario has no expectation, expected a line that begins with expect")
	case s.Election.IsOn && s.Transport == transportNone:
		p.fail("the leader election needs a transport, expected transport tcp or transport datagrams")
	case s.Transport == transportTCP && !s.Election.IsOn:
		p.fail("transport tcp is for the leader election only, expected a leader-election line")
	}
}
