// Package loganalysis adds up the activity of many agents, from one log file of each.
//
// A load that is harmless from one agent may be harmful from all of them together, and the log of a single agent does not show
// that. The package counts and formats. It does not decide whether the counts are acceptable. A Report is not safe for
// concurrent use.
package loganalysis

import (
	"bufio"
	"fmt"
	"io"
	"time"
)

const (
	// minInterval is the shortest interval of a table row.
	minInterval = time.Second
	// initialBufferSize is the initial size of the scanner's buffer in bytes. The buffer grows with the longest line.
	initialBufferSize = 64 << 10
	// maxEntryLength bounds the length of a line in bytes. Read fails on a longer line.
	maxEntryLength = 1 << 20
)

// Report holds the totals over all agents.
type Report struct {
	Interval       time.Duration // time that one table row covers
	Agents         int
	MalformedLines int // lines that could not be parsed

	intervals        map[int64]*intervalTotals
	endpointWarnings map[string]map[string]int // by endpoint and attempt result
	votes            map[voteOutcome]int
	votesBySecond    map[int64]int // by the Unix second in which they were cast
}

// voteOutcome is a vote and its result, as agents log them.
type voteOutcome struct{ build, stage, verdict, result string }

func (o voteOutcome) String() string {
	return fmt.Sprintf("build %s stage %s %s: %s", o.build, o.stage, o.verdict, o.result)
}

// intervalTotals are the totals of one table row.
type intervalTotals struct {
	counters       map[string]int  // sums of the numbers in activity lines, by key
	attemptResults map[string]int  // warnings by attempt result
	updatedAgents  map[string]bool // agents that logged an endpoint list update
	failedCalls    int             // endpoint list streams and polls that failed
}

// NewReport returns an empty report. Each row of its table covers the interval, or one second if the interval is shorter.
func NewReport(interval time.Duration) *Report {
	return &Report{
		Interval:         max(interval, minInterval),
		intervals:        map[int64]*intervalTotals{},
		endpointWarnings: map[string]map[string]int{},
		votes:            map[voteOutcome]int{},
		votesBySecond:    map[int64]int{},
	}
}

// Read adds one agent's log. The log consists of text lines as log/slog writes them. Other text may precede time= in a line.
func (r *Report) Read(agent string, log io.Reader) error {
	r.Agents++
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, initialBufferSize), maxEntryLength)
	for scanner.Scan() {
		logged, err := parseEntry(scanner.Bytes())
		if err != nil {
			r.MalformedLines++
			continue
		}
		r.add(agent, logged)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading lines of up to %d bytes: %w", maxEntryLength, err)
	}
	return nil
}

// add counts one log line.
func (r *Report) add(agent string, logged entry) {
	totals := r.intervalAt(logged.at)
	switch logged.message() {
	case messageActivity:
		totals.addCounters(logged)
	case messageAttemptFailed:
		totals.attemptResults[logged.fields["result"]]++
		r.addWarning(logged.fields["endpoint"], logged.fields["result"])
	case messageVoteCast:
		r.addVote(logged)
	case messageListReceived:
		totals.updatedAgents[agent] = true
	case messageWatchEnded, messageFetchFailed:
		totals.failedCalls++
	}
}

func (r *Report) intervalAt(at time.Time) *intervalTotals {
	index := at.UnixNano() / int64(r.Interval)
	totals := r.intervals[index]
	if totals == nil {
		totals = &intervalTotals{counters: map[string]int{}, attemptResults: map[string]int{}, updatedAgents: map[string]bool{}}
		r.intervals[index] = totals
	}
	return totals
}

// addCounters adds all whole numbers of an activity line except interval_ms, the time since the previous activity line.
func (t *intervalTotals) addCounters(logged entry) {
	for key := range logged.fields {
		if count, isNumber := logged.number(key); isNumber && key != keyInterval {
			t.counters[key] += count
		}
	}
}

func (r *Report) addWarning(endpoint, result string) {
	if r.endpointWarnings[endpoint] == nil {
		r.endpointWarnings[endpoint] = map[string]int{}
	}
	r.endpointWarnings[endpoint][result]++
}

// addVote counts a vote in the second in which it was cast. The vote is logged later, when its result is known.
func (r *Report) addVote(logged entry) {
	r.votes[voteOutcome{
		build:   logged.fields["build"],
		stage:   logged.fields["stage"],
		verdict: logged.fields["verdict"],
		result:  logged.fields["result"],
	}]++
	elapsedMillis, _ := logged.number(keyElapsed) // 0 if the key is missing
	castAt := logged.at.Add(-time.Duration(elapsedMillis) * time.Millisecond)
	r.votesBySecond[castAt.Unix()]++
}

// PeakVoteRate returns the largest number of votes that all agents together cast in one second, and the number of seconds with
// more votes than limit.
func (r *Report) PeakVoteRate(limit float64) (peak, secondsOver int) {
	for _, count := range r.votesBySecond {
		peak = max(peak, count)
		if float64(count) > limit {
			secondsOver++
		}
	}
	return peak, secondsOver
}

// SecondsWithVotes returns the number of seconds in which a vote was cast.
func (r *Report) SecondsWithVotes() int { return len(r.votesBySecond) }
