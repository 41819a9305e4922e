package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"switchfork/internal/faulttest/netfault"
)

const (
	// pollInterval is how often a condition is checked.
	pollInterval = 20 * time.Millisecond
	// serverReadTimeout bounds how long the servers may take to read what the relays have delivered.
	serverReadTimeout = 2 * time.Second
	// startMark is when all agents serve; a scenario's times count from it.
	startMark = "start"
)

// runner runs the steps of one scenario on its deployment.
type runner struct {
	*deployment
	options      RunOptions
	agentNames   map[string]int // agents by the names that steps have bound
	marks        map[string]netfault.Micros
	faultRecords []*faultRecord
}

// Run runs a scenario. The end of the context interrupts it; whatever happens, nothing that it started is left.
func Run(ctx context.Context, s *Scenario, options RunOptions) (v *Verdict) {
	s = options.applyTo(s)
	start := time.Now()
	v = &Verdict{Scenario: s.File, Seed: s.Seed}
	defer func() { v.TookMS = time.Since(start).Milliseconds() }()
	dir, err := os.MkdirTemp("", "sf-trial") // short: it holds the sockets of the admin addresses
	if err != nil {
		v.Error = err.Error()
		return v
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder that stays does no harm
	cause := fmt.Errorf("the night is over its bound of %v", s.Timeout)
	ctx, stop := context.WithTimeoutCause(ctx, s.Timeout+startupTimeout, cause)
	defer stop()
	d, err := startDeployment(ctx, s, dir, options)
	if err != nil {
		v.Error = fmt.Sprintf("%s: the rig does not stand: %v", s.File, err)
		if d.agents != nil {
			v.writeFiles(d, options.Keep, nil)
		}
		return v
	}
	p := &runner{deployment: d, options: options, agentNames: map[string]int{}, marks: map[string]netfault.Micros{}}
	records := p.run(v)
	if options.Keep != "" || !v.Passed {
		v.writeFiles(d, options.Keep, records)
	}
	return v
}

// run runs the steps, closes the deployment and fills the verdict.
func (p *runner) run(v *Verdict) *Records {
	p.recordEvent("rig", "all serve")
	p.marks[startMark] = p.now()
	err := p.runSteps()
	p.stopLoad()
	p.clients.wait()
	p.closeFaultRecords(nil)
	records := p.records()
	p.fillVerdict(v, records, err)
	p.close()
	p.awaitServerReads()
	v.Mismatches = p.mismatches()
	v.Passed = v.Error == "" && len(v.Violations) == 0 && len(v.Mismatches) == 0 && !v.hasFailedLine()
	return records
}

// stepError is a step that failed; the scenario ends with it.
type stepError struct {
	step Step
	err  error
}

func (e *stepError) Error() string { return e.err.Error() }

func (e *stepError) Unwrap() error { return e.err }

func (p *runner) startTime() netfault.Micros { return p.marks[startMark] }

func (p *runner) runSteps() error {
	previousEnd := p.now()
	for i, s := range p.scenario.Steps {
		at := p.startTime() + toMicros(s.At)
		if s.AfterPrevious {
			at = previousEnd + toMicros(s.At)
		}
		if p.options.Progress != nil {
			p.options.Progress(i, len(p.scenario.Steps), s.Text)
		}
		if err := p.sleepUntil(at); err != nil {
			return &stepError{s, err}
		}
		p.recordEvent("night", "%d: %s", s.Line, s.Text)
		if err := s.Action.run(p, s); err != nil {
			return &stepError{s, err}
		}
		previousEnd = p.now()
	}
	return nil
}

// sleepUntil waits for a moment, or for the end of the run's context.
func (p *runner) sleepUntil(at netfault.Micros) error {
	timer := time.NewTimer(time.Duration(at-p.now()) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-p.ctx.Done():
		return context.Cause(p.ctx)
	}
}

// waitFor waits for a condition. Its error tells what was observed last.
func (p *runner) waitFor(timeout time.Duration, condition func() (isMet bool, observed string)) error {
	deadline := time.Now().Add(timeout)
	for {
		isMet, observed := condition()
		if isMet {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s, for %v", observed, timeout)
		}
		select {
		case <-p.ctx.Done():
			return fmt.Errorf("%s, then %w", observed, context.Cause(p.ctx))
		case <-time.After(pollInterval):
		}
	}
}

// agentNumbers are the agents of a set.
func (p *runner) agentNumbers(set AgentSet) (out []int) {
	for i := range p.scenario.Agents {
		isMember := len(set.Numbers) == 0 || slices.Contains(set.Numbers, i)
		if set.Name != "" {
			isMember = (i == p.agentNames[set.Name]) != set.Inverted
		}
		if isMember {
			out = append(out, i)
		}
	}
	return out
}

// agentFilter tells whether an agent is in a set; the nil set holds all.
func (p *runner) agentFilter(set *AgentSet) agentFilter {
	if set == nil {
		return func(int) bool { return true }
	}
	members := p.agentNumbers(*set)
	return func(agent int) bool { return slices.Contains(members, agent) }
}

// endpointNumbers are the endpoints of a set.
func (p *runner) endpointNumbers(set EndpointSet) (out []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, endpoint := range p.endpoints {
		if set.contains(i, endpoint.Build) {
			out = append(out, i)
		}
	}
	return out
}

// resolveTime is the moment that an expectation refers to.
func (p *runner) resolveTime(t TimeRef) netfault.Micros {
	if t.Mark == "" {
		return p.startTime() + toMicros(t.Offset)
	}
	return p.marks[t.Mark] + toMicros(t.Offset)
}

// awaitServerReads gives the servers time to read what the relays have delivered.
func (p *runner) awaitServerReads() {
	deadline := time.Now().Add(serverReadTimeout)
	for len(p.mismatches()) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// forEachAgent does something for several agents at one time.
func forEachAgent(agents []int, do func(i int) error) error {
	failed := make(chan error, len(agents))
	for _, i := range agents {
		go func() { failed <- do(i) }()
	}
	var errs []error
	for range agents {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

func toMicros(d time.Duration) netfault.Micros { return d.Microseconds() }
