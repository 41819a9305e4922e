// Package loganalysis counts what many agents did together from their logs, a file an agent. What each does without harm may
// be harmful from all at once, and no single log shows that. It reads logs and judges nothing.
package loganalysis

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Book is the count over all agents.
type Book struct {
	Every  time.Duration // of a row
	Agents int
	rows   map[int64]*row
	boxes  map[string]map[string]int // warnings by appliance and ending
	votes  map[string]int            // by what was cast and how it ended
	calls  map[int64]int             // votes by second
	Odd    int                       // lines that are no log lines
}

type row struct {
	sums    map[string]int // of the accounts' keys
	endings map[string]int
	lists   map[string]bool // agents that had a line of the list
	failed  int             // watches and fetches that ended
}

// New counts in rows of so long.
func New(every time.Duration) *Book {
	return &Book{Every: max(every, time.Second), rows: map[int64]*row{}, boxes: map[string]map[string]int{}, votes: map[string]int{}, calls: map[int64]int{}}
}

// lineMost bounds one line; a longer one is counted as odd.
const lineMost = 1 << 20

// Read takes one agent's log: text lines as log/slog writes them, where something else may stand before time=.
func (b *Book) Read(agent string, log io.Reader) error {
	b.Agents++
	sc := bufio.NewScanner(log)
	sc.Buffer(make([]byte, 0, 64<<10), lineMost)
	for sc.Scan() {
		text := sc.Bytes()
		at := bytes.Index(text, []byte("time="))
		if at < 0 || !b.line(agent, text[at:]) {
			b.Odd++
		}
	}
	return sc.Err()
}

func (b *Book) line(agent string, text []byte) bool {
	kv := map[string]string{}
	for d := logfmt.NewDecoder(bytes.NewReader(text)); d.ScanRecord(); {
		for d.ScanKeyval() {
			kv[string(d.Key())] = string(d.Value())
		}
		if d.Err() != nil {
			return false
		}
	}
	when, err := time.Parse(time.RFC3339Nano, kv["time"])
	if err != nil {
		return false
	}
	r := b.rows[when.UnixNano()/int64(b.Every)]
	if r == nil {
		r = &row{sums: map[string]int{}, endings: map[string]int{}, lists: map[string]bool{}}
		b.rows[when.UnixNano()/int64(b.Every)] = r
	}
	switch kv["msg"] {
	case "account":
		for k, v := range kv {
			if n, err := strconv.Atoi(v); err == nil && k != "ms" {
				r.sums[k] += n
			}
		}
	case "appliance":
		r.endings[kv["ending"]]++
		if b.boxes[kv["appliance"]] == nil {
			b.boxes[kv["appliance"]] = map[string]int{}
		}
		b.boxes[kv["appliance"]][kv["ending"]]++
	case "vote":
		b.votes[fmt.Sprintf("build %s stage %s %s: %s", kv["build"], kv["stage"], kv["verdict"], kv["ending"])]++
		ms, _ := strconv.Atoi(kv["ms"])
		b.calls[when.Add(-time.Duration(ms)*time.Millisecond).Unix()]++
	case "list":
		r.lists[agent] = true
	case "watch ended", "list not fetched":
		r.failed++
	}
	return true
}

// PeakCalls is the most votes cast in one second by all agents, and in how many seconds they were more than a rate.
func (b *Book) PeakCalls(rate float64) (peak, over int) {
	for _, n := range b.calls {
		if peak = max(peak, n); float64(n) > rate {
			over++
		}
	}
	return peak, over
}

// Seconds is how many had votes.
func (b *Book) Seconds() int { return len(b.calls) }

// columns are the account's keys, in the order in which they are shown.
var columns = []string{"taken", "settled", "declined", "voided", "left", "submissions", "again", "probes", "dials", "list_calls", "votes", "vote_full"}

// Print writes the tables, the most telling appliances first.
func (b *Book) Print(w io.Writer, boxes int) {
	fmt.Fprintf(w, "%d agents, rows of %v; %d lines that are none of a log\n\nfrom_s\t%s\tagents_with_news_of_the_list\tlist_calls_failed\tendings (a line a second, agent and appliance at most)\n",
		b.Agents, b.Every, b.Odd, strings.Join(columns, "\t"))
	first := int64(0)
	for i, at := range slices.Sorted(maps.Keys(b.rows)) {
		if i == 0 {
			first = at
		}
		r := b.rows[at]
		fmt.Fprintf(w, "%g", (time.Duration(at-first) * b.Every).Seconds())
		for _, k := range columns {
			fmt.Fprintf(w, "\t%d", r.sums[k])
		}
		fmt.Fprintf(w, "\t%d\t%d\t%s\n", len(r.lists), r.failed, words(r.endings))
	}
	if len(b.votes) > 0 {
		peak, _ := b.PeakCalls(0)
		fmt.Fprintf(w, "\nvotes, %d in the busiest second\n", peak)
		for _, k := range slices.Sorted(maps.Keys(b.votes)) {
			fmt.Fprintf(w, "%s\t%d\n", k, b.votes[k])
		}
	}
	names := slices.Sorted(maps.Keys(b.boxes))
	slices.SortStableFunc(names, func(x, y string) int { return total(b.boxes[y]) - total(b.boxes[x]) })
	if len(names) > 0 {
		fmt.Fprintf(w, "\nappliances with the most warnings, of %d\n", len(names))
	}
	for _, name := range names[:min(boxes, len(names))] {
		fmt.Fprintf(w, "%s\t%s\n", name, words(b.boxes[name]))
	}
}

func total(of map[string]int) (n int) {
	for _, k := range of {
		n += k
	}
	return n
}

func words(of map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(of)) {
		out = append(out, fmt.Sprintf("%s %d", k, of[k]))
	}
	return strings.Join(out, ", ")
}
