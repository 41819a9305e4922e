package main

import (
	"errors"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/simulation"

	"github.com/spf13/cobra"
)

// guardsByName are the safety guards that the experiment can switch off, by the value of --without.
var guardsByName = map[string]election.DisabledGuards{
	"":        {},
	"lease":   {LeaseTimeout: true},
	"record":  {QuorumBeforeCast: true},
	"wait":    {WaitForEarlierVotes: true},
	"prevote": {PromiseAfterLease: true},
	"begin":   {LeaseFromStart: true},
	"answer":  {ControllerAnswer: true},
}

const (
	// maxGapLeases bounds the time without a leader after a crash, in leases, at the 99th percentile.
	maxGapLeases = 3.0
	// maxLeaveGapMillis bounds the time without a leader after a planned leave, in milliseconds, at the 99th percentile. It is
	// one and a half round trips in a network whose messages take at most 2 ms.
	maxLeaveGapMillis = 6.0
	// maxMessageGrowth bounds the factor by which the messages per agent and second grow from the smallest to the largest cluster
	// size in idleAgents. This rate may grow no faster than the number of agents.
	maxMessageGrowth = 9.0 / 3
	// slowMessagesPerLease divides a lease. The quotient is the delay of the messages in a slow network. A ballot takes four
	// messages in sequence, so with a tenth of a lease for each message, a ballot lasts longer than the pause between two
	// renewals.
	slowMessagesPerLease = 10
	// minAgentsForCrash is the smallest number of agents of which a quorum is left after a crash.
	minAgentsForCrash = 3

	maxCrashSchedules = 1000
	maxIdleSchedules  = 50

	microsPerSecond = 1e6
	millisPerSecond = 1e3
)

// idleAgents lists the cluster sizes for which the election messages without faults are counted.
var idleAgents = []int{3, 5, 7, 9}

// electionExperiment plays random schedules of faults. The model of the rollout controller checks the votes.
type electionExperiment struct {
	seed      int64
	schedules int
	agents    int
	seconds   int
	without   string // the guard to switch off; empty: none
}

func newElectionCommand() *cobra.Command {
	var experiment electionExperiment
	c := &cobra.Command{
		Use:   "election",
		Short: "Check leader election under random faults in simulated time",
		Long: "Play random schedules of network partitions, process stalls, restarts and planned leaves in simulated time, and check that the votes\n" +
			"of two leaders never contradict each other. The experiment prints the seed of a schedule that breaks a rule.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			if !experiment.isValid() {
				return usageError{errors.New("invalid flags, expected --schedules 1 to 1000000, --agents 1 to 9, --seconds 10 to 600, --without lease, record, wait, prevote or begin")}
			}
			return experiment.run(c.OutOrStdout())
		},
	}
	c.Flags().Int64Var(&experiment.seed, "seed", 1, "seed of the first schedule")
	c.Flags().IntVar(&experiment.schedules, "schedules", 10_000, "number of schedules")
	c.Flags().IntVar(&experiment.agents, "agents", 3, "number of agents, 1 to 9")
	c.Flags().IntVar(&experiment.seconds, "seconds", 40, "length of each schedule in seconds, 10 to 600")
	c.Flags().StringVar(&experiment.without, "without", "", "safety guard to switch off: lease, record, wait, prevote or begin; the experiment should then fail")
	return c
}

func (e *electionExperiment) isValid() bool {
	_, isGuard := guardsByName[e.without]
	return isGuard &&
		e.schedules >= 1 && e.schedules <= 1_000_000 &&
		e.agents >= 1 && e.agents <= 9 &&
		e.seconds >= 10 && e.seconds <= 600
}

// draw returns the experiment's schedules, but only the first count of them if there are more.
func (e *electionExperiment) draw(count int) []simulation.ElectionSchedule {
	schedules := make([]simulation.ElectionSchedule, 0, count)
	for i := range min(e.schedules, count) {
		schedules = append(schedules, simulation.ElectionSchedule{
			Seed: e.seed + int64(i), Agents: e.agents, Seconds: e.seconds, DisabledGuards: guardsByName[e.without],
		})
	}
	return schedules
}

func (e *electionExperiment) run(out io.Writer) error {
	startedAt := time.Now()
	report := newElectionReport(out, e)
	faulty := e.draw(e.schedules)
	neverRolledBack := report.addRow("random faults", playAll(faulty), faulty).neverRolledBack
	isChecked := e.without == "" && e.agents >= minAgentsForCrash
	if isChecked {
		report.expected.atMost("schedules in which a bad build was never rolled back", float64(neverRolledBack), 0)
		e.checkGaps(report)
	}
	independent := variant(faulty, func(s *simulation.ElectionSchedule) { s.VoteIndependently = true })
	report.addRow("random faults, independent votes", playAll(independent), nil)
	growth := e.measureIdleTraffic(report)
	if e.without == "" {
		report.expected.atMost("messages per agent and second, 9 agents compared with 3", growth, maxMessageGrowth)
	}
	if err := report.flush(); err != nil {
		return err
	}
	printf(out, "played in %v\n", time.Since(startedAt).Round(time.Second))
	if err := report.expected.err(); err != nil {
		return err
	}
	printf(out, "no violation; all thresholds are met\n")
	return nil
}

// checkGaps measures the time without a leader after a crash and after a planned leave.
func (e *electionExperiment) checkGaps(report *electionReport) {
	lease := float64(simulation.ElectionLease())
	crashes := variant(e.draw(maxCrashSchedules), func(s *simulation.ElectionSchedule) { s.LeaderFaultOnly = true })
	slow := variant(crashes, func(s *simulation.ElectionSchedule) {
		s.MessageDelay = simulation.ElectionLease() / slowMessagesPerLease
	})
	leaves := variant(crashes, func(s *simulation.ElectionSchedule) { s.LeaderLeaves = true })

	gaps := report.addRow("leader crashes", playAll(crashes), crashes).gaps
	report.expected.atMost("leases without a leader after a crash, 99th percentile", quantile(gaps, percentile99)*microsPerSecond/lease, maxGapLeases)
	gaps = report.addRow("leader crashes, messages take a tenth of a lease", playAll(slow), crashes).gaps
	report.expected.atMost("leases without a leader after a crash if messages take a tenth of a lease, 99th percentile", quantile(gaps, percentile99)*microsPerSecond/lease, maxGapLeases)
	gaps = report.addRow("leader leaves as planned", playAll(leaves), leaves).gaps
	report.expected.atMost("ms without a leader after a planned leave, 99th percentile", quantile(gaps, percentile99)*millisPerSecond, maxLeaveGapMillis)
}

// measureIdleTraffic reports the message rate per agent without faults. It returns the rate with the most agents as a multiple
// of the rate with the fewest.
func (e *electionExperiment) measureIdleTraffic(report *electionReport) (growth float64) {
	var rates []float64
	for _, agents := range idleAgents {
		schedules := variant(e.draw(maxIdleSchedules), func(s *simulation.ElectionSchedule) {
			s.LeaderFaultOnly, s.NoFaults, s.Agents = true, true, agents
		})
		rate := 0.0
		for _, result := range playAll(schedules) {
			rate += float64(result.Messages) / float64(len(schedules)*agents*e.seconds)
		}
		report.printf("no faults, %d agents: %.1f messages, %.0f bytes per agent and second\n", agents, rate, rate*float64(transport.FrameSize()))
		rates = append(rates, rate)
	}
	return rates[len(rates)-1] / rates[0]
}

// playAll plays schedules on all cores and returns the results in the order of the schedules.
func playAll(schedules []simulation.ElectionSchedule) []*simulation.ElectionResult {
	results := make([]*simulation.ElectionResult, len(schedules))
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				results[i] = simulation.PlayElection(schedules[i])
			}
		})
	}
	for i := range schedules {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// variant returns a copy of the schedules with a change made to each.
func variant(schedules []simulation.ElectionSchedule, change func(*simulation.ElectionSchedule)) []simulation.ElectionSchedule {
	changed := slices.Clone(schedules)
	for i := range changed {
		change(&changed[i])
	}
	return changed
}
