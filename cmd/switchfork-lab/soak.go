package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"switchfork/internal/faulttest"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

const (
	defaultSoakSeeds    = 50
	defaultSoakParallel = 4
	maxSoakParallel     = 64
	// maxSoakSeeds is the maximum of --seeds. If --seeds is 0 and --for is set, at most this many seeds are run.
	maxSoakSeeds = 1_000_000
)

// soakOptions are the flags of the soak command.
type soakOptions struct {
	seeds     int
	from      int64
	parallel  int
	duration  time.Duration // no further seed is started after this time; 0: no limit
	keep      string
	agentPath string
	print     int64 // seed whose scenario is printed without running it; negative: run the seeds
}

// soakSummary is the last line of a soak's output.
type soakSummary struct {
	Seeds      int            `json:"seeds"`
	Requests   int            `json:"requests"`
	Restarts   int            `json:"restarts"`
	Failed     []int64        `json:"failed_seeds"`
	Violations map[string]int `json:"violations"` // number of violations by rule; "other" for a scenario that could not be run to its end
	TookMS     int64          `json:"took_ms"`
}

// newSoakCommand returns the command that runs scenarios that are drawn from seeds.
func newSoakCommand() *cobra.Command {
	var o soakOptions
	c := &cobra.Command{
		Use:   "soak [flags]",
		Short: "Run fault scenarios drawn from seeds",
		Long: "Run fault scenarios that are drawn from seeds, with planned restarts, and check the protocol's rules alone. Each scenario's verdict is\n" +
			"printed as a line of JSON, and a summary as the last line.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			if o.print >= 0 {
				_, err := io.WriteString(c.OutOrStdout(), faulttest.DrawScenario(o.print))
				return err
			}
			return runSoak(c.OutOrStdout(), o)
		},
	}
	c.Flags().IntVar(&o.seeds, "seeds", defaultSoakSeeds, "number of seeds; 0 with --for runs as many as there is time for")
	c.Flags().Int64Var(&o.from, "from", 1, "first seed")
	c.Flags().IntVar(&o.parallel, "parallel", defaultSoakParallel, "number of scenarios that run at a time")
	c.Flags().DurationVar(&o.duration, "for", 0, "time after which no further seed is started; 0 sets no bound")
	c.Flags().StringVar(&o.keep, "keep", "", "folder for the logs, timeline and records of every scenario; if empty, only those of scenarios that break a rule are preserved")
	c.Flags().StringVar(&o.agentPath, "agent", "", "path of the agent's program; built from this tree if empty")
	c.Flags().Int64Var(&o.print, "print", -1, "print the scenario of this seed, for switchfork-lab faulttest, and run nothing")
	return c
}

// check returns a usage error for invalid flags. If --seeds is 0 and --for is set, it sets seeds to maxSoakSeeds.
func (o *soakOptions) check() error {
	switch {
	case o.seeds < 0 || o.seeds > maxSoakSeeds:
		return usageError{fmt.Errorf("--seeds is %d, expected 1 to %d, or 0 with --for", o.seeds, maxSoakSeeds)}
	case o.seeds == 0 && o.duration <= 0:
		return usageError{fmt.Errorf("--seeds is 0 and --for is %v, expected a number of seeds or a time", o.duration)}
	case o.duration < 0:
		return usageError{fmt.Errorf("--for is %v, expected at least 0", o.duration)}
	case o.from < 0:
		return usageError{fmt.Errorf("--from is %d, expected at least 0", o.from)}
	case o.parallel < 1 || o.parallel > maxSoakParallel:
		return usageError{fmt.Errorf("--parallel is %d, expected 1 to %d", o.parallel, maxSoakParallel)}
	}
	if o.seeds == 0 {
		o.seeds = maxSoakSeeds
	}
	return nil
}

// soak is a run of the soak command.
type soak struct {
	soakOptions
	programs map[string]string // paths by name; the empty name is the agent
	encoder  *json.Encoder
	bar      *progressbar.ProgressBar // nil if standard error is not a terminal

	mu      sync.Mutex
	next    int64 // seed to run next
	summary soakSummary
}

// runSoak runs the seeds. It prints a line of JSON for each seed, and then the summary.
func runSoak(out io.Writer, o soakOptions) error {
	dir, err := os.MkdirTemp("", "switchfork-soak")
	if err != nil {
		return err
	}
	defer removeTemporary(dir)
	program, err := agentProgram(dir, o.agentPath)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &soak{soakOptions: o, programs: map[string]string{"": program}, encoder: json.NewEncoder(out), next: o.from}
	s.summary.Failed = []int64{}
	s.summary.Violations = map[string]int{}
	s.bar = newProgressBar(o.seeds)
	start := time.Now()
	var workers sync.WaitGroup
	for range o.parallel {
		workers.Go(func() { s.work(ctx, start) })
	}
	workers.Wait()
	s.summary.TookMS = time.Since(start).Milliseconds()
	if err := s.encoder.Encode(s.summary); err != nil {
		return err
	}
	if n := len(s.summary.Failed); n > 0 {
		return fmt.Errorf("%d of %d seeds failed", n, s.summary.Seeds)
	}
	return nil
}

// work runs one seed after another until no seed or no time is left.
func (s *soak) work(ctx context.Context, start time.Time) {
	for ctx.Err() == nil && (s.duration == 0 || time.Since(start) < s.duration) {
		seed, isLeft := s.nextSeed()
		if !isLeft {
			return
		}
		scenario, err := faulttest.ParseScenario(fmt.Sprintf("soak-%d.txt", seed), faulttest.DrawScenario(seed))
		if err != nil {
			panic(err) // a bug, because DrawScenario returns a valid scenario for every seed
		}
		verdict := faulttest.Run(ctx, scenario, faulttest.RunOptions{Programs: s.programs, Keep: s.keep})
		if ctx.Err() == nil { // the verdict of an interrupted run has no meaning
			s.record(seed, scenario, verdict)
		}
	}
}

func (s *soak) nextSeed() (seed int64, isLeft bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next >= s.from+int64(s.seeds) {
		return 0, false
	}
	s.next++
	return s.next - 1, true
}

func (s *soak) record(seed int64, scenario *faulttest.Scenario, verdict *faulttest.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.Seeds++
	s.summary.Requests += verdict.Requests
	s.summary.Restarts += scenario.Restarts()
	_ = s.encoder.Encode(verdict) // if the output can't be written, encoding the summary fails too
	if s.bar != nil {
		_ = s.bar.Add(1) // the progress bar is optional
	}
	if verdict.Passed {
		return
	}
	s.summary.Failed = append(s.summary.Failed, seed)
	for _, violation := range verdict.Violations {
		s.summary.Violations[faulttest.RuleOf(violation)]++
	}
	if len(verdict.Violations) == 0 {
		s.summary.Violations["other"]++
	}
	reportFailures(verdict)
	printf(os.Stderr, "to run it again: switchfork-lab soak --print %d > soak-%d.txt && switchfork-lab faulttest soak-%d.txt\n", seed, seed, seed)
}
