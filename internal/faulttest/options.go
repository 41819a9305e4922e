package faulttest

import (
	"errors"
	"fmt"
	"slices"
)

// RunOptions are how a scenario is to be run.
type RunOptions struct {
	Programs   map[string]string // paths by name; the agents start as the one with the empty name
	Seed       int64             // 0: the scenario's own
	Agents     int               // 0: the scenario's own
	Keep       string            // a folder for logs and records; empty: they are kept only where the scenario fails
	IdleRelays bool              // relays apply no faults
	Direct     bool              // no relays
	Progress   func(done, of int, text string)
	Checks     map[string]func(CheckTarget) error // what a test checks itself, by the name that its scenario uses
}

// CheckTarget is what a test's own checks may look at.
type CheckTarget struct {
	Program      string
	Admin, State []string       // admin address and state folder, by agent
	Names        map[string]int // agents by the names that the scenario has bound
}

// ProgramNames are the names of other versions that the scenario starts.
func (s *Scenario) ProgramNames() (names []string) {
	for _, step := range s.Steps {
		if p, isProcess := step.Action.(processStep); isProcess && p.program != firstProgram && !slices.Contains(names, p.program) {
			names = append(names, p.program)
		}
	}
	return names
}

// CheckRunnable reports what of a scenario can't be run with these options.
func (s *Scenario) CheckRunnable(options RunOptions) error {
	var errs []error
	for _, step := range s.Steps {
		if reason := options.refuse(step.Action); reason != "" {
			errs = append(errs, &ParseError{s.File, step.Line, reason})
		}
	}
	if options.Agents > 0 && options.Agents < s.Agents {
		errs = append(errs, fmt.Errorf("%s: %d agents asked for, expected at least the scenario's own %d: its lines name them",
			s.File, options.Agents, s.Agents))
	}
	return errors.Join(errs...)
}

// refuse tells why an action can't be run with these options; it is empty where it can.
func (o *RunOptions) refuse(action stepAction) string {
	switch a := action.(type) {
	case processStep:
		if _, isNamed := o.Programs[a.program]; a.program != firstProgram && !isNamed {
			return fmt.Sprintf("no program %q, expected one that --program names", a.program)
		}
	case checkStep:
		if o.Checks[a.name] == nil {
			return fmt.Sprintf("no check %q is given, expected a scenario that its own test runs", a.name)
		}
	case faultStep:
		if o.Direct {
			return "a fault on a link, expected none without relays"
		}
	}
	return ""
}

// applyTo is the scenario with the seed and the number of agents that the options ask for.
func (o *RunOptions) applyTo(s *Scenario) *Scenario {
	applied := *s
	if o.Seed != 0 {
		applied.Seed = o.Seed
	}
	if o.Agents != 0 {
		applied.Agents = o.Agents
	}
	return &applied
}
