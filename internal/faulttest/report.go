package faulttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// writeFiles writes the logs, timeline, verdict and records of a run into a folder named after the scenario.
func (v *Verdict) writeFiles(d *deployment, parent string, records *Records) {
	dir, err := makeReportDir(parent, strings.TrimSuffix(v.Scenario, filepath.Ext(v.Scenario)))
	if err == nil {
		v.Folder = dir
		err = d.writeReport(dir, v, records)
	}
	if err != nil {
		v.addError("logs and records can't be written: " + err.Error())
		v.Passed = false
	}
}

// makeReportDir creates the folder parent/name. If parent is the empty string, it creates a temporary folder instead.
func makeReportDir(parent, name string) (string, error) {
	if parent == "" {
		return os.MkdirTemp("", "switchfork-faulttest-"+name+"-")
	}
	dir := filepath.Join(parent, name)
	return dir, os.MkdirAll(dir, 0o755)
}

func (d *deployment) writeReport(dir string, v *Verdict, records *Records) error {
	create := func(name string) (io.WriteCloser, error) { return os.Create(filepath.Join(dir, name)) }
	if err := d.agents.writeLogs(create); err != nil {
		return err
	}
	if err := writeTimeline(create, d.timeline(records)); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "verdict.json"), v); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "records.json"), records)
}

func writeTimeline(create func(name string) (io.WriteCloser, error), events []event) error {
	file, err := create("timeline.txt")
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, e := range events {
		_, _ = fmt.Fprintf(w, "%10.3f  %-18s %s\n", seconds(e.at), e.source, e.text) // Flush reports the first error
	}
	err = w.Flush()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// timeline returns the events of a run, ordered by time: what the deployment did, what agents received, their votes, the failed requests, and
// what agents logged. Without records it contains only what the deployment did and what agents logged.
func (d *deployment) timeline(records *Records) []event {
	events := d.events.snapshot()
	if records != nil {
		events = append(events, records.receiptEvents()...)
		events = append(events, records.voteEvents()...)
		events = append(events, records.failureEvents()...)
	}
	events = append(events, d.logEvents()...)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func (r *Records) receiptEvents() (out []event) {
	for agent := range r.ReceivedLists {
		for _, receipt := range r.ReceivedLists[agent] {
			out = append(out, event{receipt.At, serverDiscovery, fmt.Sprintf("agent %d received endpoint list %d", agent, receipt.Version+1)})
		}
		for _, receipt := range r.ReceivedStages[agent] {
			s := r.Stages[receipt.Version]
			out = append(out, event{receipt.At, serverRollout, fmt.Sprintf("agent %d received the rollout state: build %d stage %d %s cap %g", agent, s.Build, s.Stage, s.Phase, s.Cap)})
		}
	}
	return out
}

func (r *Records) voteEvents() (out []event) {
	for _, v := range r.Votes {
		out = append(out, event{v.At, serverRollout, fmt.Sprintf("agent %d voted %s on build %d stage %d", v.Agent, recommendationWord(v.Recommendation), v.Build, v.Stage)})
	}
	return out
}

func (r *Records) failureEvents() (out []event) {
	for _, request := range r.Requests {
		if request.Outcome != outcomeFailed {
			continue
		}
		last := request.lastAttempt()
		out = append(out, event{last.EndedAt, sourceClient, fmt.Sprintf("%s %s of agent %d failed: status %d %s, after %d attempts",
			last.Class, last.ID, last.Agent, last.Status, last.Err, len(request.Attempts))})
	}
	return out
}

func (d *deployment) logEvents() (out []event) {
	for _, a := range d.agents.all {
		for _, line := range strings.Split(a.log.String(), "\n") {
			if at, hasTime := parseLogTime(line); hasTime {
				out = append(out, event{netfault.Micros(at.Sub(d.startedAt) / time.Microsecond), fmt.Sprintf("agent %d", a.number), line})
			}
		}
	}
	return out
}

// parseLogTime reads the timestamp of a line of an agent's log, which is in JSON or in key=value form.
func parseLogTime(line string) (at time.Time, hasTime bool) {
	end := `"`
	_, text, isJSON := strings.Cut(line, `"time":"`)
	if !isJSON {
		var isText bool
		if text, isText = strings.CutPrefix(line, "time="); !isText {
			return time.Time{}, false
		}
		end = " "
	}
	text, _, _ = strings.Cut(text, end)
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}
