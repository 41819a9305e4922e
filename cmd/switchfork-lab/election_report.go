package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"switchfork/internal/simulation"
)

const electionHeader = "schedules\tplayed\tleaderships\tleader changes\tvotes\tmember changes\tmessages per agent and second\t" +
	"without a leader, s: median\t99th percentile\tlongest\trolled back after, s: median\tlongest\tnever\tviolations\n"

// electionReport prints the table of the election experiment and collects the missed thresholds.
type electionReport struct {
	experiment *electionExperiment
	table      *tabwriter.Writer
	expected   thresholds
}

func newElectionReport(out io.Writer, experiment *electionExperiment) *electionReport {
	report := &electionReport{experiment: experiment, table: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	report.printf(electionHeader)
	return report
}

// printf adds text to the table. A write error is returned by flush.
func (r *electionReport) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.table, format, arguments...)
}

func (r *electionReport) flush() error {
	if err := r.table.Flush(); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	return nil
}

// electionTotals holds sums over results. Durations are in seconds.
type electionTotals struct {
	leaderships, leaderChanges, votes, messages, memberChanges int

	gaps            []float64 // periods without a leader
	rollbackDelays  []float64
	neverRolledBack int // results in which the bad build was never rolled back
	violated        int // results with violations
	firstViolation  string
}

// sumUp adds up results. schedules may be nil. Periods before the first leader count only if the schedules are given and have
// random faults. firstViolation is set only if the schedules are given.
func sumUp(results []*simulation.ElectionResult, schedules []simulation.ElectionSchedule) (totals electionTotals) {
	for i, result := range results {
		totals.leaderships += result.Leaderships
		totals.leaderChanges += result.LeaderChanges
		totals.votes += result.EffectiveVotes
		totals.messages += result.Messages
		totals.memberChanges += result.MemberChanges
		countsStart := schedules != nil && !schedules[i].LeaderFaultOnly
		totals.addGaps(result.Gaps, countsStart)
		if result.RollbackAfter >= 0 {
			totals.rollbackDelays = append(totals.rollbackDelays, float64(result.RollbackAfter)/microsPerSecond)
		} else {
			totals.neverRolledBack++
		}
		if len(result.Violations) == 0 {
			continue
		}
		totals.violated++
		if totals.violated == 1 && schedules != nil {
			totals.firstViolation = fmt.Sprintf("seed %d: %s", schedules[i].Seed, result.Violations[0])
		}
	}
	return totals
}

// addGaps adds the gaps of a result. The first gap, the time before the first leader, is added only if countsStart is true.
func (t *electionTotals) addGaps(gaps []int64, countsStart bool) {
	for i, gap := range gaps {
		if i > 0 || countsStart {
			t.gaps = append(t.gaps, float64(gap)/microsPerSecond)
		}
	}
}

// addRow adds the totals of results to the table. Violations fail the experiment if the schedules are given.
func (r *electionReport) addRow(name string, results []*simulation.ElectionResult, schedules []simulation.ElectionSchedule) electionTotals {
	t := sumUp(results, schedules)
	if t.firstViolation != "" {
		r.expected.fail(name + ": " + t.firstViolation)
	}
	agentSeconds := len(results) * r.experiment.agents * r.experiment.seconds
	r.printf("%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\n",
		name, len(results), t.leaderships, t.leaderChanges, t.votes, t.memberChanges, float64(t.messages)/float64(agentSeconds),
		quantile(t.gaps, median), quantile(t.gaps, percentile99), quantile(t.gaps, maximum),
		quantile(t.rollbackDelays, median), quantile(t.rollbackDelays, maximum), t.neverRolledBack, t.violated)
	return t
}
