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

// This file owns what is left of a night to read: each process's log, one time line of all, and the records.

// keep writes all into a folder of the night's own.
func (v *Verdict) keep(r *Rig, under string, records *Records) {
	dir := ""
	var err error
	if under == "" {
		dir, err = os.MkdirTemp("", "switchfork-trial-"+strings.TrimSuffix(v.Night, filepath.Ext(v.Night))+"-")
	} else {
		dir = filepath.Join(under, strings.TrimSuffix(v.Night, filepath.Ext(v.Night)))
		err = os.MkdirAll(dir, 0o755)
	}
	if err == nil {
		v.Folder = dir
		err = r.write(dir, v, records)
	}
	if err != nil {
		v.Error = strings.TrimSpace(v.Error + " what was to be kept can't be written: " + err.Error())
		v.Passed = false
	}
}

func (r *Rig) write(dir string, v *Verdict, records *Records) error {
	create := func(name string) (io.WriteCloser, error) { return os.Create(filepath.Join(dir, name)) }
	if err := r.logs(create); err != nil {
		return err
	}
	f, err := create("timeline.txt")
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, m := range r.timeline(records) {
		fmt.Fprintf(w, "%10.3f  %-10s %s\n", float64(m.At)/1e6, m.Who, m.What)
	}
	if err = w.Flush(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	for name, what := range map[string]any{"verdict.json": v, "records.json": records} {
		text, err := json.MarshalIndent(what, "", " ")
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// timeline is all that happened, merged: what the rig did, what agents were told, votes, what agents logged.
func (r *Rig) timeline(records *Records) (out []Moment) {
	r.mu.Lock()
	out = slices.Clone(r.story)
	r.mu.Unlock()
	if records != nil {
		for i := range records.HadList {
			for _, h := range records.HadList[i] {
				out = append(out, Moment{h.At, "discovery", fmt.Sprintf("agent %d has list %d", i, h.Serial+1)})
			}
			for _, h := range records.HadNews[i] {
				s := records.Stages[h.Serial]
				out = append(out, Moment{h.At, "launcher", fmt.Sprintf("agent %d has the news: build %d stage %d %s cap %g", i, s.Build, s.Stage, s.Phase, s.Cap)})
			}
		}
		for _, v := range records.Votes {
			out = append(out, Moment{v.At, "launcher", fmt.Sprintf("agent %d votes %s on build %d stage %d", v.Agent, v.Opinion, v.Build, v.Stage)})
		}
		for _, t := range records.Txns {
			if t.Fate == failed {
				last := t.Tries[len(t.Tries)-1]
				out = append(out, Moment{last.Ended, "client", fmt.Sprintf("%s %s of agent %d failed: status %d %s, after %d tries", last.Product, last.ID, last.Agent, last.Status, last.Err, len(t.Tries))})
			}
		}
	}
	for _, a := range r.agents {
		for _, line := range strings.Split(a.log.String(), "\n") {
			if at, is := logTime(line); is {
				out = append(out, Moment{netfault.Micros(at.Sub(r.began) / time.Microsecond), fmt.Sprintf("agent %d", a.number), line})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Moment) int { return int(a.At - b.At) })
	return out
}

// logTime reads when a line of an agent's log was written, in either of its forms.
func logTime(line string) (time.Time, bool) {
	_, text, is := strings.Cut(line, `"time":"`)
	end := `"`
	if !is {
		if text, is = strings.CutPrefix(line, "time="); !is {
			return time.Time{}, false
		}
		end = " "
	}
	text, _, _ = strings.Cut(text, end)
	at, err := time.Parse(time.RFC3339Nano, text)
	return at, err == nil
}
