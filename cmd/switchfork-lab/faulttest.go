package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest"

	"github.com/spf13/cobra"
)

// faultTestOptions are the flags of the faulttest command.
type faultTestOptions struct {
	run          faulttest.RunOptions
	namedProgram []string // the values of --program, in the form NAME=PATH
	agentPath    string   // empty: the agent is built
}

// newFaultTestCommand returns the command that runs fault scenarios with several real agents.
func newFaultTestCommand() *cobra.Command {
	var o faultTestOptions
	c := &cobra.Command{
		Use:   "faulttest [flags] FILE...",
		Short: "Run fault scenarios against several real agents",
		Long: "Run each scenario file with several real agents and fakes on loopback, with a relay on each link and faults on links and processes.\n" +
			"Each scenario's verdict is printed as a line of JSON.",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{fmt.Errorf("%s takes one or more scenario files", c.CommandPath())}
			}
			if o.run.Agents < 0 || o.run.Agents > faulttest.MaxAgents {
				return usageError{fmt.Errorf("--agents is %d, expected 1 to %d, or 0 for each scenario's own number", o.run.Agents, faulttest.MaxAgents)}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error { return runFaultTests(c.OutOrStdout(), args, o) },
	}
	c.Flags().Int64Var(&o.run.Seed, "seed", 0, "seed of loads and faults; 0 uses each scenario's own")
	c.Flags().StringVar(&o.run.Keep, "keep", "", "folder for the logs, timeline and records of every scenario; if empty, only those of failed scenarios are preserved")
	c.Flags().IntVar(&o.run.Agents, "agents", 0, "number of agents; 0 uses each scenario's own")
	c.Flags().StringVar(&o.agentPath, "agent", "", "path of the agent's program; built from this tree if empty")
	c.Flags().StringArrayVar(&o.namedProgram, "program", nil, "NAME=PATH of another version of the program, for scenarios that start one; built from this tree under that name if not given")
	c.Flags().BoolVar(&o.run.IdleRelays, "idle", false, "make the relays do nothing: each scenario with a fault should then fail")
	c.Flags().BoolVar(&o.run.Direct, "direct", false, "use no relays, to measure what they cost: faults on links are then impossible")
	return c
}

// parsePrograms parses NAME=PATH arguments and returns the paths by name.
func parsePrograms(arguments []string) (map[string]string, error) {
	programs := map[string]string{}
	for _, argument := range arguments {
		name, path, hasPath := strings.Cut(argument, "=")
		if !hasPath || name == "" || path == "" {
			return nil, usageError{fmt.Errorf("--program is %q, expected NAME=PATH", argument)}
		}
		programs[name] = path
	}
	return programs, nil
}

// runFaultTests runs the scenarios one after the other and prints the verdict of each as a line of JSON.
func runFaultTests(out io.Writer, files []string, o faultTestOptions) (err error) {
	if o.run.Programs, err = parsePrograms(o.namedProgram); err != nil {
		return err
	}
	scenarios, unnamed, err := readScenarios(files, &o.run)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return err
	}
	defer removeTemporary(dir)
	if err := buildPrograms(dir, o, unnamed); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	encoder := json.NewEncoder(out)
	failed := 0
	for _, s := range scenarios {
		verdict := runScenario(ctx, s, o.run)
		if err := encoder.Encode(verdict); err != nil {
			return err
		}
		reportFailures(verdict)
		if !verdict.Passed {
			failed++
		}
		if ctx.Err() != nil {
			return errors.New("interrupted; all started processes have been stopped")
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scenarios failed", failed, len(scenarios))
	}
	return nil
}

// readScenarios reads and checks all files. It also returns the names of the programs that scenarios start and for which no
// --program flag gives a path. buildPrograms builds these from the same source, with the name as the program's version.
func readScenarios(files []string, options *faulttest.RunOptions) (scenarios []*faulttest.Scenario, unnamed []string, err error) {
	var errs []error
	for _, file := range files {
		s, err := faulttest.ReadScenario(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, name := range s.ProgramNames() {
			if options.Programs[name] == "" {
				options.Programs[name] = name
				unnamed = append(unnamed, name)
			}
		}
		if err := s.CheckRunnable(*options); err != nil {
			errs = append(errs, err)
		}
		scenarios = append(scenarios, s)
	}
	if len(errs) > 0 {
		return nil, nil, usageError{errors.Join(errs...)}
	}
	return scenarios, unnamed, nil
}

// buildPrograms sets the paths of the agent and of the unnamed programs. It builds the unnamed programs, and the agent if
// o.agentPath is empty.
func buildPrograms(dir string, o faultTestOptions, unnamed []string) (err error) {
	programs := o.run.Programs
	if programs[""], err = agentProgram(dir, o.agentPath); err != nil {
		return err
	}
	for _, name := range unnamed {
		if programs[name], err = fakes.BuildAgent(dir, "other-"+name, "-ldflags", "-X main.version="+name); err != nil {
			return err
		}
	}
	return nil
}

// runScenario runs one scenario, with a progress bar if standard error is a terminal.
func runScenario(ctx context.Context, s *faulttest.Scenario, options faulttest.RunOptions) *faulttest.Verdict {
	bar := newProgressBar(len(s.Steps))
	if bar == nil {
		return faulttest.Run(ctx, s, options)
	}
	options.Progress = func(done, _ int, text string) {
		bar.Describe(fmt.Sprintf("%s %.60s", s.File, text))
		_ = bar.Set(done) // the progress bar is optional
	}
	defer func() { _ = bar.Finish() }()
	return faulttest.Run(ctx, s, options)
}

// reportFailures prints the failures of a scenario to standard error. A write error is ignored because there is no other place
// to report it.
func reportFailures(v *faulttest.Verdict) {
	for _, failure := range v.Failures() {
		fmt.Fprintln(os.Stderr, failure)
	}
	if !v.Passed {
		fmt.Fprintf(os.Stderr, "%s: logs, timeline and records are in %s\n", v.Scenario, v.Folder)
	}
}
