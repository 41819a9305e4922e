package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// This file owns what is measured of the records, and how it is held against an expectation. It does no I/O.

// span is a part of a night.
type span struct{ from, to netfault.Micros }

func (s span) has(at netfault.Micros) bool { return at >= s.from && at < s.to }

// chosen tells whether an agent is meant: nil means all.
type chosen func(agent int) bool

// value is a measure in a span; seen says it in words, and ok is false where there was nothing to measure.
func (r *Records) value(m Measure, of chosen, in span) (v float64, seen string, ok bool) {
	count := func(n int, what string) (float64, string, bool) {
		return float64(n), fmt.Sprintf("%d %s", n, what), true
	}
	switch m.Name {
	case "settled", "in-time", "declined", "failed", "offered":
		n, all := 0, 0
		for _, t := range r.Txns {
			if !in.has(t.Came) || !of(t.Agent) || !t.of(m.Product) {
				continue
			}
			all++
			if t.Fate == m.Name || m.Name == "in-time" && t.InTime {
				n++
			}
		}
		if m.Name == "offered" {
			return count(all, "txns offered")
		}
		if all == 0 {
			return 0, "no txn was offered", false
		}
		return float64(n) / float64(all), fmt.Sprintf("%.4f (%d of %d txns)", float64(n)/float64(all), n, all), true
	case "median", "p99":
		var took []float64 // ms from a txn's first try to the last byte of its answer
		for _, t := range r.Txns {
			if in.has(t.Came) && of(t.Agent) && t.of(m.Product) && t.Fate == settled {
				took = append(took, float64(t.Tries[len(t.Tries)-1].Ended-t.Came)/1000)
			}
		}
		if len(took) == 0 {
			return 0, "nothing was settled", false
		}
		slices.Sort(took)
		at := len(took) / 2
		if m.Name == "p99" {
			at = len(took) * 99 / 100
		}
		return took[at], fmt.Sprintf("%.3f ms (of %d answers)", took[at], len(took)), true
	case "votes":
		n := 0
		for _, v := range r.Votes {
			if v.Opinion == m.Arg && in.has(v.At) && of(v.Agent) && (m.Build == 0 || m.Build == v.Build) {
				n++
			}
		}
		return count(n, "votes")
	case "arrivals", "repeats", "busiest":
		n, by := 0, map[int]int{}
		for _, a := range r.Arrivals {
			if in.has(a.At) && (a.Agent < 0 || of(a.Agent)) && m.At.has(a.Box, a.Build) && (m.Name != "repeats" || a.Dropped) {
				n++
				by[a.Box]++
			}
		}
		if m.Name != "busiest" {
			return count(n, m.Name)
		}
		if n == 0 {
			return 0, "nothing arrived", false
		}
		most, many := 0, len(by)
		for _, k := range by {
			most = max(most, k)
		}
		if m.At != nil && len(m.At.Numbers) > 0 {
			many = len(m.At.Numbers)
		}
		v := float64(most) * float64(many) / float64(n)
		return v, fmt.Sprintf("%.3f of the mean (%d txns at %d appliances)", v, n, many), true
	case "calls":
		n := 0
		for _, c := range r.Calls[m.Arg] {
			if in.has(c.At) && of(c.Agent) {
				n++
			}
		}
		return count(n, "calls")
	case "datagrams":
		n := 0
		for i, k := range r.Datagrams {
			if of(i) {
				n += int(k)
			}
		}
		return count(n, "datagrams delivered")
	case "alive":
		n := 0
		for i := range r.Lives {
			if of(i) && r.life(i, in.to-1) != nil {
				n++
			}
		}
		return count(n, "processes")
	}
	return 0, "not measured", false
}

// of tells whether it is a product's; every one has a first try.
func (t *Txn) of(product string) bool { return product == "" || t.Tries[0].Product == product }

func (b *Boxes) has(box, build int) bool {
	return b == nil || (b.Build == 0 || b.Build == build) && (len(b.Numbers) == 0 || slices.Contains(b.Numbers, box))
}

// holds compares.
func (c check) holds(v float64) bool {
	switch c.op {
	case ">=":
		return v >= c.value
	case "<=":
		return v <= c.value
	case ">":
		return v > c.value
	case "<":
		return v < c.value
	default:
		return v == c.value
	}
}

// against holds an expectation against the records.
func (e Expect) against(r *Records, of chosen, in span) (ok bool, seen string) {
	if e.Two != "" {
		found := twoHold(r.claims(), e.Two, in)
		return found == "", found
	}
	spans := []span{in}
	if e.Each > 0 {
		spans = nil
		for at := in.from; at+micros(e.Each) <= in.to; at += micros(e.Each) {
			spans = append(spans, span{at, at + micros(e.Each)})
		}
		if len(spans) == 0 {
			return false, fmt.Sprintf("no span of %v between %.3f and %.3f s", e.Each, float64(in.from)/1e6, float64(in.to)/1e6)
		}
	}
	for _, s := range spans {
		v, words, measured := r.value(e.what, of, s)
		if seen = fmt.Sprintf("%s from %.3f to %.3f s", words, float64(s.from)/1e6, float64(s.to)/1e6); !measured || !e.holds(v) {
			return false, seen
		}
	}
	return true, seen
}
