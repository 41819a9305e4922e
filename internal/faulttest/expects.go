package faulttest

import (
	"slices"
	"strings"
	"time"
)

// This file owns how expectations and what waits wait for are read.

// ofTxns are the measures that are counted by txn, and so by product.
var ofTxns = []string{"settled", "in-time", "declined", "failed", "offered", "median", "p99"}

// check reads MEASURE[:ARG] OP VALUE of= at= build= product=.
func (r *reader) check(mayAsk bool) (c check) {
	w := r.word("a measure")
	c.what.Name, c.what.Arg, _ = strings.Cut(w, ":")
	m, known := measures[c.what.Name]
	switch {
	case !known:
		r.fail("%q is no measure, expected one of settled, in-time, median, p99, declined, failed, offered, votes:, arrivals, busiest, datagrams, calls:, alive, "+
			"repeats, and after wait leads, members, healthy, log:", w)
	case m.asks && !mayAsk:
		r.fail("%q is what agents say of themselves, expected a measure of stand-ins or relays", w)
	case m.arg != (c.what.Arg != ""):
		r.fail("%q, expected votes:on, votes:back, votes:hold, votes:none, calls:discovery, calls:launcher, log:TEXT, and no word behind the others", w)
	case c.what.Name == "votes" && !slices.Contains(opinions, c.what.Arg):
		r.fail("%q is no verdict, expected on, back, hold or none", c.what.Arg)
	case c.what.Name == "calls" && c.what.Arg != "discovery" && c.what.Arg != "launcher":
		r.fail("%q takes no calls, expected discovery or launcher", c.what.Arg)
	}
	if v, is := r.option("of"); is {
		if who := r.who(v); m.of {
			c.what.Of = &who
		} else {
			r.fail("%s is not counted by agent, expected no of=", c.what.Name)
		}
	}
	if v, is := r.option("at"); is {
		if b := r.boxes(v); m.at {
			c.what.At = &b
		} else {
			r.fail("%s is not counted by appliance, expected no at=", c.what.Name)
		}
	}
	if v, is := r.option("build"); is {
		if c.what.Build = r.whole(v, "the build", 1, 65535); !m.build {
			r.fail("%s is not counted by build, expected no build=", c.what.Name)
		}
	}
	if v, is := r.option("product"); is {
		if c.what.Product = v; !slices.Contains(ofTxns, c.what.Name) {
			r.fail("%s is not counted by product, expected no product=", c.what.Name)
		} else if v != inquiry && v != posting && v != once {
			r.fail("product %q is not known, expected %s, %s or %s", v, inquiry, posting, once)
		}
	}
	if c.op = r.word(">=, <=, = , > or <"); !slices.Contains([]string{">=", "<=", "=", ">", "<"}, c.op) {
		r.fail("%q compares nothing, expected >=, <=, =, > or <", c.op)
	}
	c.value = r.number(r.word("a number"), "the value", -1e12, 1e12)
	return c
}

func (r *reader) time(w string) *Time {
	mark, plus, has := strings.Cut(w, "+")
	if w != "" && w[0] >= '0' && w[0] <= '9' {
		return &Time{Plus: r.span(w, "the time")}
	}
	t := Time{Mark: mark}
	if has {
		t.Plus = r.span(plus, "the time")
	}
	if !r.names["mark "+mark] {
		r.fail("%q is no time, expected one such as 2s, or a mark of this night such as cut or cut+2s", w)
	}
	return &t
}

func (r *reader) expect() (e Expect) {
	if r.next("never") {
		if r.next("two") {
			if !r.next("hold") {
				r.fail("expected hold and what is held")
			}
			for len(r.words) > 0 && r.words[0] != "from" && r.words[0] != "to" {
				e.Two = strings.TrimSpace(e.Two + " " + r.word(""))
			}
			if e.Two == "" {
				r.fail("the line ends, expected what is held, such as vote")
			}
			r.spans(&e)
			return e
		}
		at := 1
		for at < len(r.words) && strings.Contains(r.words[at], "=") {
			at++
		}
		r.words = slices.Insert(slices.Clone(r.words), min(at, len(r.words)), "=", "0")
	}
	e.check = r.check(false)
	r.spans(&e)
	return e
}

// spans reads where in the night it is held.
func (r *reader) spans(e *Expect) {
	for len(r.words) > 0 && !r.bad {
		switch w := r.word(""); w {
		case "from":
			e.From = r.time(r.word("a time"))
		case "to":
			e.To = r.time(r.word("a time"))
		case "each":
			if e.Each = r.span(r.word("a time"), "the span"); e.Each < 100*time.Millisecond {
				r.fail("each span is %v, expected at least 100ms", e.Each)
			}
		default:
			r.fail("%q is not understood, expected from, to or each", w)
		}
	}
}
