package faulttest

import "context"

// Former names, which tests of other packages still use. They go once those tests have moved to the names on the right.
type (
	// Playing is the former name of RunOptions.
	Playing = RunOptions
	// Seats is the former name of CheckTarget.
	Seats = CheckTarget
)

// ParseNight is the former name of ParseScenario.
func ParseNight(file, text string) (*Scenario, error) { return ParseScenario(file, text) }

// Playable is the former name of CheckRunnable.
func (s *Scenario) Playable(options RunOptions) error { return s.CheckRunnable(options) }

// Play is the former name of Run.
func Play(ctx context.Context, scenario *Scenario, options RunOptions) *Verdict {
	return Run(ctx, scenario, options)
}
