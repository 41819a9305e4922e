package loganalysis

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// counterColumns are the keys of the activity lines that the table shows, in the order of its columns.
var counterColumns = []string{
	"arrived", "succeeded", "rejected", "failed", "cancelled_by_client", "attempts", "retries", "health_checks", "dials", "list_calls",
	"votes", "votes_rejected",
}

// Print writes the tables, with columns separated by tabs. It shows at most maxEndpoints endpoints, those with the most
// warnings.
func (r *Report) Print(w io.Writer, maxEndpoints int) error {
	var out bytes.Buffer
	r.printIntervals(&out)
	r.printVotes(&out)
	r.printEndpoints(&out, maxEndpoints)
	if _, err := out.WriteTo(w); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

func (r *Report) printIntervals(out *bytes.Buffer) {
	fmt.Fprintf(out, "%d agents, one row for each %v; %d lines could not be parsed\n\n", r.Agents, r.Interval, r.MalformedLines)
	fmt.Fprintf(out, "from_s\t%s\tagents_with_list_updates\tlist_calls_failed\t", strings.Join(counterColumns, "\t"))
	fmt.Fprintf(out, "results (each agent logs at most one line per endpoint and second)\n")
	indices := slices.Sorted(maps.Keys(r.intervals))
	for _, index := range indices {
		totals := r.intervals[index]
		fmt.Fprintf(out, "%g", (time.Duration(index-indices[0]) * r.Interval).Seconds())
		for _, key := range counterColumns {
			fmt.Fprintf(out, "\t%d", totals.counters[key])
		}
		fmt.Fprintf(out, "\t%d\t%d\t%s\n", len(totals.updatedAgents), totals.failedCalls, formatCounts(totals.attemptResults))
	}
}

func (r *Report) printVotes(out *bytes.Buffer) {
	if len(r.votes) == 0 {
		return
	}
	peak, _ := r.PeakVoteRate(0)
	fmt.Fprintf(out, "\nvotes, %d in the busiest second\n", peak)
	outcomes := slices.Collect(maps.Keys(r.votes))
	slices.SortFunc(outcomes, func(a, b voteOutcome) int { return strings.Compare(a.String(), b.String()) })
	for _, outcome := range outcomes {
		fmt.Fprintf(out, "%s\t%d\n", outcome, r.votes[outcome])
	}
}

func (r *Report) printEndpoints(out *bytes.Buffer, maxEndpoints int) {
	names := slices.Sorted(maps.Keys(r.endpointWarnings))
	if len(names) == 0 {
		return
	}
	slices.SortStableFunc(names, func(a, b string) int { return sum(r.endpointWarnings[b]) - sum(r.endpointWarnings[a]) })
	fmt.Fprintf(out, "\nendpoints with the most warnings, out of %d with warnings\n", len(names))
	for _, name := range names[:min(maxEndpoints, len(names))] {
		fmt.Fprintf(out, "%s\t%s\n", name, formatCounts(r.endpointWarnings[name]))
	}
}

func sum(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// formatCounts lists the counts in the order of their names.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
