package faulttest

import (
	"errors"
	"fmt"
	"slices"
)

// RunOptions are the options for the run of a scenario.
type RunOptions struct {
	Programs   map[string]string                  // paths of programs by name; agents are first started with the program that has the empty name
	Seed       int64                              // random seed; 0: the scenario's seed
	Agents     int                                // number of agents; 0: as many as the scenario has
	Keep       string                             // folder for logs and records; empty: they are kept only if the scenario fails
	IdleRelays bool                               // relays forward everything and apply no faults
	Direct     bool                               // agents connect directly, without relays
	Progress   func(done, of int, text string)    // called before each step with its index, the number of steps and its text; nil: not called
	Checks     map[string]func(CheckTarget) error // checks of the calling test, by their names in the scenario
}

// CheckTarget is what the checks of a test may inspect.
type CheckTarget struct {
	Program      string
	Admin, State []string       // admin addresses and state folders, by agent
	Names        map[string]int // numbers of agents, by the names that the scenario has bound
}

// ProgramNames returns the names of the programs that the scenario starts, without the empty name of the first program.
func (s *Scenario) ProgramNames() (names []string) {
	for _, step := range s.Steps {
		if p, isProcess := step.Action.(processStep); isProcess && p.program != firstProgram && !slices.Contains(names, p.program) {
			names = append(names, p.program)
		}
	}
	return names
}

// CheckRunnable returns the joined errors of everything in a scenario that can't be run with these options, or nil.
func (s *Scenario) CheckRunnable(options RunOptions) error {
	var errs []error
	for _, step := range s.Steps {
		if reason := options.refusalReason(step.Action); reason != "" {
			errs = append(errs, &ParseError{s.File, step.Line, reason})
		}
	}
	if options.Agents > 0 && options.Agents < s.Agents {
		errs = append(errs, fmt.Errorf("%s: %d agents requested, expected at least the scenario's %d, since its lines name them",
			s.File, options.Agents, s.Agents))
	}
	return errors.Join(errs...)
}

// refusalReason returns why an action can't be run with these options, or the empty string if it can.
func (o *RunOptions) refusalReason(action stepAction) string {
	switch a := action.(type) {
	case processStep:
		if _, isNamed := o.Programs[a.program]; a.program != firstProgram && !isNamed {
			return fmt.Sprintf("unknown program %q, expected one that is given with --program", a.program)
		}
	case checkStep:
		if o.Checks[a.name] == nil {
			return fmt.Sprintf("unknown check %q, expected the scenario to be run by the test that has this check", a.name)
		}
	case faultStep:
		if o.Direct {
			return "the step puts a fault on a link, expected no such step in a run without relays"
		}
	}
	return ""
}

// applyTo returns a copy of the scenario with the options' seed and number of agents, where they are set.
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
