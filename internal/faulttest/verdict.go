package faulttest

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// This file owns what came of a night.

// Line is a line of a night that was held against what happened.
type Line struct {
	Line   int    `json:"line"`
	Text   string `json:"text"`
	Passed bool   `json:"passed"`
	Seen   string `json:"seen"`
}

// Verdict is what came of a night.
type Verdict struct {
	Night    string   `json:"night"`
	Seed     int64    `json:"seed"`
	Passed   bool     `json:"passed"`
	Error    string   `json:"error,omitempty"` // it could not be played
	Lines    []Line   `json:"lines"`
	Breaches []string `json:"breaches,omitempty"`
	Differ   []string `json:"differ,omitempty"` // stand-ins' records against the relays'
	Txns     int      `json:"txns"`
	TookMS   int64    `json:"took_ms"`
	Folder   string   `json:"folder,omitempty"`
}

// Failures are what is to be told of a night that failed, a line each.
func (v *Verdict) Failures() (out []string) {
	if v.Error != "" {
		out = append(out, v.Error)
	}
	for _, l := range v.Lines {
		if !l.Passed {
			out = append(out, fmt.Sprintf("%s:%d: %s: seen %s", v.Night, l.Line, l.Text, l.Seen))
		}
	}
	for _, b := range v.Breaches {
		out = append(out, fmt.Sprintf("%s: %s", v.Night, b))
	}
	for _, d := range v.Differ {
		out = append(out, fmt.Sprintf("%s: records differ: %s", v.Night, d))
	}
	return out
}

// verdict holds all that was expected against the records.
func (p *player) verdict(v *Verdict, r *Records, err error) {
	v.Txns = len(r.Txns)
	var stopped errStep
	if errors.As(err, &stopped) {
		v.Lines = append(v.Lines, Line{stopped.step.Line, stopped.step.Text, false, stopped.seen})
	} else if err != nil {
		v.Error = err.Error()
	}
	for _, f := range p.faults {
		v.Lines = append(v.Lines, Line{f.step.Line, f.step.Text, f.acted > 0 || err != nil, fmt.Sprintf("it touched %d things", f.acted)})
	}
	if err == nil {
		for _, e := range p.night.Expects {
			in := span{p.zero(), r.End}
			if e.From != nil {
				in.from = p.moment(*e.From)
			}
			if e.To != nil {
				in.to = p.moment(*e.To)
			}
			ok, seen := e.against(r, p.chosen(e.what.Of), in)
			v.Lines = append(v.Lines, Line{e.Line, e.Text, ok, seen})
		}
	}
	if n := p.crowd.lost.Load(); n > 0 {
		v.Error = strings.TrimSpace(v.Error + fmt.Sprintf(" %s: the clients had no place for %d txns: the load is more than they can play", p.night.File, n))
	}
	for _, b := range Judge(r) {
		v.Breaches = append(v.Breaches, b.String())
	}
}

func (p *player) moment(t Time) netfault.Micros {
	if t.Mark == "" {
		return p.zero() + micros(t.Plus)
	}
	return p.marks[t.Mark] + micros(t.Plus)
}

// awaitFarEnds gives the far ends time to read what relays have delivered.
func (p *player) awaitFarEnds() {
	for end := time.Now().Add(2 * time.Second); len(p.differ()) > 0 && time.Now().Before(end); {
		time.Sleep(look)
	}
}
