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
	r := &runner{deployment: d, options: options, agentNames: map[string]int{}, marks: map[string]netfault.Micros{}}
	records := r.run(v)
	if options.Keep != "" || !v.Passed {
		v.writeFiles(d, options.Keep, records)
	}
	return v
}

// run runs the steps, closes the deployment and fills the verdict.
func (r *runner) run(v *Verdict) *Records {
	r.recordEvent("rig", "all serve")
	r.marks[startMark] = r.now()
	err := r.runSteps()
	r.stopLoad()
	r.stopCrowd()
	r.clients.wait()
	r.closeFaultRecords(nil)
	records := r.records()
	r.fillVerdict(v, records, err)
	r.close()
	r.awaitServerReads()
	v.Mismatches = r.mismatches()
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

func (r *runner) startTime() netfault.Micros { return r.marks[startMark] }

func (r *runner) runSteps() error {
	previousEnd := r.now()
	for i, s := range r.scenario.Steps {
		at := r.startTime() + toMicros(s.At)
		if s.AfterPrevious {
			at = previousEnd + toMicros(s.At)
		}
		if r.options.Progress != nil {
			r.options.Progress(i, len(r.scenario.Steps), s.Text)
		}
		if err := r.sleepUntil(at); err != nil {
			return &stepError{s, err}
		}
		r.recordEvent("night", "%d: %s", s.Line, s.Text)
		if err := s.Action.run(r, s); err != nil {
			return &stepError{s, err}
		}
		previousEnd = r.now()
	}
	return nil
}

// sleepUntil waits for a moment, or for the end of the run's context.
func (r *runner) sleepUntil(at netfault.Micros) error {
	timer := time.NewTimer(time.Duration(at-r.now()) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

// waitFor waits for a condition. Its error tells what was observed last.
func (r *runner) waitFor(timeout time.Duration, condition func() (isMet bool, observed string)) error {
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
		case <-r.ctx.Done():
			return fmt.Errorf("%s, then %w", observed, context.Cause(r.ctx))
		case <-time.After(pollInterval):
		}
	}
}

// agentNumbers are the agents of a set.
func (r *runner) agentNumbers(set AgentSet) (out []int) {
	for i := range r.scenario.Agents {
		isMember := len(set.Numbers) == 0 || slices.Contains(set.Numbers, i)
		if set.Name != "" {
			isMember = (i == r.agentNames[set.Name]) != set.Inverted
		}
		if isMember {
			out = append(out, i)
		}
	}
	return out
}

// agentFilter tells whether an agent is in a set; the nil set holds all.
func (r *runner) agentFilter(set *AgentSet) agentFilter {
	if set == nil {
		return func(int) bool { return true }
	}
	members := r.agentNumbers(*set)
	return func(agent int) bool { return slices.Contains(members, agent) }
}

// endpointNumbers are the endpoints of a set.
func (r *runner) endpointNumbers(set EndpointSet) (out []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, endpoint := range r.endpoints {
		if set.contains(i, endpoint.Build) {
			out = append(out, i)
		}
	}
	return out
}

// resolveTime is the moment that an expectation refers to.
func (r *runner) resolveTime(t TimeRef) netfault.Micros {
	if t.Mark == "" {
		return r.startTime() + toMicros(t.Offset)
	}
	return r.marks[t.Mark] + toMicros(t.Offset)
}

// awaitServerReads gives the servers time to read what the relays have delivered.
func (r *runner) awaitServerReads() {
	deadline := time.Now().Add(serverReadTimeout)
	for len(r.mismatches()) > 0 && time.Now().Before(deadline) {
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
