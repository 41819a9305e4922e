package faulttest

import (
	"context"
	"fmt"
	"os"
	"time"

	"switchfork/internal/faulttest/netfault"
)

const (
	// pollInterval is how often a condition is checked.
	pollInterval = 20 * time.Millisecond
	// serverReadTimeout limits how long the servers may take to read what the relays have delivered.
	serverReadTimeout = 2 * time.Second
)

// runner runs the steps of one scenario on its deployment, one after the other.
type runner struct {
	*deployment
	options  RunOptions
	bindings *bindings
	faults   *faultInjector
}

// Run runs a scenario. The run is interrupted when the context ends. In every case, Run stops all processes and servers that it started.
func Run(ctx context.Context, s *Scenario, options RunOptions) (v *Verdict) {
	s = options.applyTo(s)
	start := time.Now()
	v = &Verdict{Scenario: s.File, Seed: s.Seed}
	defer func() { v.TookMS = time.Since(start).Milliseconds() }()
	dir, err := os.MkdirTemp("", "sf-fault") // a short name: the folder holds the sockets of the admin addresses, whose paths have to be short
	if err != nil {
		v.Error = err.Error()
		return v
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover temporary folder is harmless
	cause := fmt.Errorf("the scenario exceeded its timeout of %v", s.Timeout)
	ctx, stop := context.WithTimeoutCause(ctx, s.Timeout+startupTimeout, cause)
	defer stop()
	d, err := startDeployment(ctx, s, dir, options)
	if err != nil {
		v.Error = fmt.Sprintf("%s: the deployment did not start: %v", s.File, err)
		if d.agents.all != nil {
			v.writeFiles(d, options.Keep, nil)
		}
		return v
	}
	records := newRunner(d, options).run(ctx, v)
	if options.Keep != "" || !v.Passed {
		v.writeFiles(d, options.Keep, records)
	}
	return v
}

func newRunner(d *deployment, options RunOptions) *runner {
	b := newBindings(d.scenario.Agents)
	faults := &faultInjector{bindings: b, relays: d.relays, endpoints: d.endpoints, ignoreFaults: options.IdleRelays}
	return &runner{deployment: d, options: options, bindings: b, faults: faults}
}

// run runs the steps, closes the deployment and fills the verdict.
func (r *runner) run(ctx context.Context, v *Verdict) *Records {
	r.events.record(sourceDeployment, "all agents serve")
	r.bindings.marks[startMark] = r.now()
	err := r.runSteps(ctx)
	r.clients.stop()
	r.clients.wait()
	r.faults.closeRecords(nil)
	records := r.records()
	r.fillVerdict(v, records, err)
	r.close()
	r.awaitServerReads()
	v.Mismatches = r.relays.mismatches()
	v.Passed = v.Error == "" && len(v.Violations) == 0 && len(v.Mismatches) == 0 && !v.hasFailedLine()
	return records
}

// stepError is the failure of a step. Such a failure ends the run.
type stepError struct {
	step Step
	err  error
}

func (e *stepError) Error() string { return e.err.Error() }

func (e *stepError) Unwrap() error { return e.err }

func (r *runner) runSteps(ctx context.Context) error {
	previousEnd := r.now()
	for i, s := range r.scenario.Steps {
		at := r.bindings.startTime() + toMicros(s.At)
		if s.AfterPrevious {
			at = previousEnd + toMicros(s.At)
		}
		if r.options.Progress != nil {
			r.options.Progress(i, len(r.scenario.Steps), s.Text)
		}
		if err := sleep(ctx, time.Duration(at-r.now())*time.Microsecond); err != nil {
			return &stepError{s, err}
		}
		r.events.record(sourceScenario, "%d: %s", s.Line, s.Text)
		if err := s.Action.run(ctx, r, s); err != nil {
			return &stepError{s, err}
		}
		previousEnd = r.now()
	}
	return nil
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waitFor waits until a condition is met. Its error contains the last observation.
func waitFor(ctx context.Context, timeout time.Duration, condition func() (isMet bool, observed string)) error {
	deadline := time.Now().Add(timeout)
	for {
		isMet, observed := condition()
		if isMet {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s after waiting for %v", observed, timeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%s when the wait was interrupted: %w", observed, err)
		}
	}
}

// awaitServerReads waits, for at most serverReadTimeout, until the servers have read what the relays delivered.
func (r *runner) awaitServerReads() {
	deadline := time.Now().Add(serverReadTimeout)
	for len(r.relays.mismatches()) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

func toMicros(d time.Duration) netfault.Micros { return d.Microseconds() }
