// Package loganalysis adds up what many agents did together, from a log file of each.
//
// A load that is harmless from one agent may be harmful from all of them at once, and no single log shows that. The package
// counts and formats; it does not judge. A Report is not safe for concurrent use.
package loganalysis

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// minInterval of a table row.
	minInterval = time.Second
	// initialBufferSize of the scanner; it grows with the longest line.
	initialBufferSize = 64 << 10
	// maxEntryLength bounds one line; Read fails on a longer one.
	maxEntryLength = 1 << 20
)

// timePrefix starts the part of a line that log/slog wrote.
var timePrefix = []byte("time=")

// Report holds the totals over all agents.
type Report struct {
	Interval       time.Duration // that one table row covers
	Agents         int
	MalformedLines int

	intervals        map[int64]*intervalTotals
	endpointWarnings map[string]map[string]int // by endpoint and attempt result
	votes            map[string]int            // by vote and its result
	votesBySecond    map[int64]int             // by the second in which they were cast
}

// intervalTotals are the totals of one table row.
type intervalTotals struct {
	counters       map[string]int  // sums of the activity lines' numbers
	attemptResults map[string]int  // warnings by attempt result
	updatedAgents  map[string]bool // agents that logged an endpoint list update
	failedCalls    int             // endpoint list streams and polls that failed
}

// NewReport returns an empty report whose table rows cover an interval each, at least a second.
func NewReport(interval time.Duration) *Report {
	return &Report{
		Interval:         max(interval, minInterval),
		intervals:        map[int64]*intervalTotals{},
		endpointWarnings: map[string]map[string]int{},
		votes:            map[string]int{},
		votesBySecond:    map[int64]int{},
	}
}

// Read adds one agent's log. It consists of text lines as log/slog writes them; other text may precede time= in a line.
func (r *Report) Read(agent string, log io.Reader) error {
	r.Agents++
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, initialBufferSize), maxEntryLength)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.Index(text, timePrefix)
		if start < 0 {
			r.MalformedLines++
			continue
		}
		loggedAt, fields, err := parseEntry(text[start:])
		if err != nil {
			r.MalformedLines++
			continue
		}
		r.add(agent, loggedAt, fields)
	}
	return scanner.Err()
}

// parseEntry returns the time and all keys of a log line.
func parseEntry(text []byte) (time.Time, map[string]string, error) {
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
		if err := decoder.Err(); err != nil {
			return time.Time{}, nil, fmt.Errorf("parsing a log line: %w", err)
		}
	}
	loggedAt, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return time.Time{}, nil, fmt.Errorf("parsing a log line's time: %w", err)
	}
	return loggedAt, fields, nil
}

// add counts one log line.
func (r *Report) add(agent string, loggedAt time.Time, fields map[string]string) {
	totals := r.intervalAt(loggedAt)
	switch fields["msg"] {
	case "activity":
		totals.addCounters(fields)
	case "attempt failed":
		totals.attemptResults[fields["result"]]++
		r.addWarning(fields["endpoint"], fields["result"])
	case "vote cast":
		r.addVote(loggedAt, fields)
	case "endpoint list received":
		totals.updatedAgents[agent] = true
	case "endpoint list watch ended", "endpoint list fetch failed":
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

// addCounters adds all whole numbers of an activity line except interval_ms, the time since the line before.
func (t *intervalTotals) addCounters(fields map[string]string) {
	for key, value := range fields {
		if count, err := strconv.Atoi(value); err == nil && key != "interval_ms" {
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

// addVote counts a vote in the second in which it was cast: it is logged when its result is known, elapsed_ms later.
func (r *Report) addVote(loggedAt time.Time, fields map[string]string) {
	r.votes[fmt.Sprintf("build %s stage %s %s: %s", fields["build"], fields["stage"], fields["verdict"], fields["result"])]++
	elapsedMillis, err := strconv.Atoi(fields["elapsed_ms"])
	if err != nil {
		elapsedMillis = 0
	}
	castAt := loggedAt.Add(-time.Duration(elapsedMillis) * time.Millisecond)
	r.votesBySecond[castAt.Unix()]++
}

// PeakVoteRate returns the most votes that all agents cast in one second, and the number of seconds with more than limit.
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
