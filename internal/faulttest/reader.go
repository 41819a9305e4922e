package faulttest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/faulttest/netfault"
)

// This file owns how a night is read. All faults of a file are told at once, each with file, line and what was expected.

// ReadNight reads a file.
func ReadNight(path string) (*Night, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseNight(filepath.Base(path), string(text))
}

// reader reads one line's words.
type reader struct {
	night *Night
	line  int
	words []string
	names map[string]bool // bound so far: agents and marks
	errs  []error
	bad   bool // this line is
}

func (r *reader) fail(form string, what ...any) {
	if !r.bad {
		r.errs = append(r.errs, fmt.Errorf("%s:%d: %s", r.night.File, r.line, fmt.Sprintf(form, what...)))
	}
	r.bad = true
}

// word takes the next one; what was expected is told where there is none.
func (r *reader) word(expected string) string {
	if len(r.words) == 0 {
		r.fail("the line ends, expected %s", expected)
		return ""
	}
	w := r.words[0]
	r.words = r.words[1:]
	return w
}

func (r *reader) next(w string) bool {
	if len(r.words) > 0 && r.words[0] == w {
		r.words = r.words[1:]
		return true
	}
	return false
}

// option takes KEY=VALUE from wherever it stands in the rest of the line.
func (r *reader) option(key string) (string, bool) {
	for i, w := range r.words {
		if v, is := strings.CutPrefix(w, key+"="); is {
			r.words = slices.Delete(slices.Clone(r.words), i, i+1)
			return v, true
		}
	}
	return "", false
}

func (r *reader) number(w, what string, least, most float64) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if (err != nil || v < least || v > most) && w != "" {
		r.fail("%s is %q, expected a number from %g to %g", what, w, least, most)
	}
	return v
}

func (r *reader) whole(w, what string, least, most int) int {
	v, err := strconv.Atoi(w)
	if (err != nil || v < least || v > most) && w != "" {
		r.fail("%s is %q, expected a whole number from %d to %d", what, w, least, most)
	}
	return v
}

func (r *reader) span(w, what string) time.Duration {
	v, err := time.ParseDuration(w)
	if (err != nil || v < 0) && w != "" {
		r.fail("%s is %q, expected a time such as 300ms or 2s", what, w)
	}
	return v
}

// numbers reads 1,3..5.
func (r *reader) numbers(w, what string, below int) (out []int) {
	for _, part := range strings.Split(w, ",") {
		first, last, many := strings.Cut(part, "..")
		if !many {
			last = first
		}
		a := r.whole(first, what, 0, below-1)
		b := r.whole(last, what, a, below-1)
		for i := a; i <= b && !r.bad; i++ {
			out = append(out, i)
		}
	}
	return out
}

const whoForm = "agents, agent:0,2..4, agent:NAME or others:NAME"

func (r *reader) who(w string) (who Who) {
	kind, rest, named := strings.Cut(w, ":")
	switch {
	case w == "agents":
	case named && (kind == "agent" || kind == "agents") && rest != "":
		if rest[0] >= '0' && rest[0] <= '9' {
			who.Numbers = r.numbers(rest, "the agent", r.night.Agents)
		} else {
			who.Name = r.bound(rest)
		}
	case named && kind == "others":
		who.Name, who.Not = r.bound(rest), true
	default:
		r.fail("%q names no agents, expected %s", w, whoForm)
	}
	return who
}

func (r *reader) bound(name string) string {
	if !r.names["agent "+name] {
		r.fail("%q is bound by no line before this one, expected a number or a name of a 'name' line", name)
	}
	return name
}

func (r *reader) boxes(w string) (b Boxes) {
	kind, rest, named := strings.Cut(w, ":")
	build, is := strings.CutPrefix(rest, "build=")
	switch {
	case kind != "appliance" && kind != "appliances":
		r.fail("%q names no appliances, expected appliances, appliance:3, appliance:0..5 or appliances:build=8", w)
	case !named:
	case is:
		b.Build = r.whole(build, "the build", 1, 65535)
	default:
		b.Numbers = r.numbers(rest, "the appliance", appliancesMost)
	}
	return b
}

func (r *reader) party() (p Party) {
	w := r.word("an end of a link: agents, appliances, discovery or launcher")
	switch {
	case w == "discovery":
		p.Discovery = true
	case w == "launcher":
		p.Launcher = true
	case strings.HasPrefix(w, "appliance"):
		b := r.boxes(w)
		p.Boxes = &b
	default:
		a := r.who(w)
		p.Agents = &a
	}
	return p
}

// link reads A -> B or A <-> B, and tcp or datagrams.
func (r *reader) link(f *fault) {
	f.from = r.party()
	switch w := r.word("-> or <->"); w {
	case "->":
	case "<->":
		f.both = true
	default:
		r.fail("%q stands between the ends of a link, expected -> or <->", w)
	}
	f.to = r.party()
	for _, k := range []string{"tcp", "datagrams"} {
		if r.next(k) {
			f.kind = k
		}
	}
	among := f.from.Agents != nil && f.to.Agents != nil
	switch {
	case r.bad:
	case f.from.Agents == nil && f.to.Agents == nil:
		r.fail("no link joins these ends, expected agents at one of them")
	case !among && f.kind == "datagrams":
		r.fail("agents send datagrams to agents only, expected agents at both ends")
	case f.datagram && (!among || f.kind == "tcp"):
		r.fail("streams keep their order and lose nothing twice, expected this fault on datagrams between agents")
	case f.streams && f.kind == "datagrams":
		r.fail("datagrams have no connection, expected this fault on streams")
	}
}

func micros(d time.Duration) netfault.Micros { return d.Microseconds() }

func (r *reader) step(w string) any {
	f := fault{}
	switch w {
	case "load":
		l := load{rate: r.number(r.word("txns a second for each agent"), "the load", 0, 5000)}
		if v, is := r.option("posting"); is {
			l.posting = r.number(v, "posting", 0, 1)
		}
		if v, is := r.option("once"); is {
			l.once = r.number(v, "once", 0, 1-l.posting)
		}
		if len(r.words) > 0 {
			l.who = r.who(r.word(whoForm))
		}
		return l
	case "drop":
		f.set = func(f *netfault.Fault) { f.Drop = true }
	case "silent":
		f.streams, f.set = true, func(f *netfault.Fault) { f.Silent = true }
	case "refuse":
		f.streams, f.set = true, func(f *netfault.Fault) { f.Refuse = true }
	case "lose":
		share := r.number(r.word("a share from 0 to 1"), "the share", 0, 1)
		f.set = func(f *netfault.Fault) { f.Lose = share }
	case "slow":
		mean, spread, spreads := strings.Cut(r.word("a delay such as 300ms or 300ms~50ms"), "~")
		d, s := micros(r.span(mean, "the delay")), netfault.Micros(0)
		if spreads {
			if s = micros(r.span(spread, "the spread")); s > d {
				r.fail("the spread is over the delay, expected at most %v", mean)
			}
		}
		f.set = func(f *netfault.Fault) { f.Slow, f.Spread = d, s }
	case "trickle":
		rate := r.whole(r.word("bytes a second"), "the rate", 1, 1<<30)
		f.set = func(f *netfault.Fault) { f.Rate = rate }
	case "reset":
		n := r.whole(r.word("bytes until the reset"), "the bytes", 1, 1<<30)
		f.streams, f.set = true, func(f *netfault.Fault) { f.Reset = n }
	case "double":
		share := r.number(r.word("a share from 0 to 1"), "the share", 0, 1)
		f.datagram, f.set = true, func(f *netfault.Fault) { f.Double = share }
	case "swap":
		share := r.number(r.word("a share from 0 to 0.5"), "the share", 0, 0.5)
		f.datagram, f.set = true, func(f *netfault.Fault) { f.Swap = share }
	case "heal":
		if f.heal = true; r.next("all") {
			return f
		}
	case "stop", "go", "kill", "term", "start", "restart":
		s := signal{verb: w, who: r.who(r.word(whoForm))}
		s.fresh = r.next("fresh")
		if s.program, _ = r.option("program"); strings.ContainsAny(s.program, "/\\. ") {
			r.fail("the program is %q, expected a name, without a path", s.program)
		}
		return s
	case "reload":
		l := reload{who: r.who(r.word(whoForm)), what: r.word("operator, peer, discovery, launcher or spoilt")}
		switch l.what {
		case "operator":
			if l.words, r.words = r.words, nil; len(l.words) == 0 {
				r.fail("the line ends, expected a line of the operator's file")
			}
		case "peer":
			l.peer = r.whole(r.word("an agent"), "the agent", 0, r.night.Agents-1)
		case "discovery", "launcher", "spoilt":
		default:
			r.fail("%q can't be reloaded, expected operator, peer, discovery, launcher or spoilt", l.what)
		}
		return l
	case "drain", "ready", "gone":
		return list{map[string]string{"drain": "leaving", "ready": "active", "gone": "left"}[w], r.boxes(r.word("appliances"))}
	case "add":
		a := add{many: r.whole(r.word("how many appliances"), "the number", 1, appliancesMost)}
		build, is := r.option("build")
		if a.build = r.whole(build, "the build", 1, 65535); !is {
			r.fail("no build is named, expected build=8")
		}
		return a
	case "work":
		return work{r.number(r.word("times its usual work"), "the work", 0, 1000), r.boxes(r.word("appliances"))}
	case "fail":
		return failing{r.number(r.word("a share from 0 to 1"), "the share", 0, 1), r.boxes(r.word("appliances"))}
	case "news":
		n := news{build: r.whole(r.word("a build"), "the build", 1, 65535), stage: r.whole(r.word("a stage"), "the stage", 0, 2), phase: r.word("testing, recalling, live or recalled")}
		if !slices.Contains([]string{"testing", "recalling", "live", "recalled"}, n.phase) {
			r.fail("the phase is %q, expected testing, recalling, live or recalled", n.phase)
		}
		n.ceiling = r.number(r.word("a cap from 0 to 1"), "the cap", 0, 1)
		return n
	case "launcher":
		v := r.word("silent or answers")
		if v != "silent" && v != "answers" {
			r.fail("the launcher is %q, expected silent or answers", v)
		}
		return speech{v == "silent"}
	case "name":
		n := name{name: r.word("a name")}
		if !r.next("lead") {
			r.fail("only who leads can be named, expected lead")
		}
		if v, is := r.option("not"); is {
			who := r.who("agent:" + v)
			n.not = &who
		}
		n.in = r.within()
		r.names["agent "+n.name] = true
		return n
	case "members":
		m := members{verb: r.word("add or remove")}
		if m.verb != "add" && m.verb != "remove" {
			r.fail("members %q, expected add or remove", m.verb)
		}
		m.who = r.who(r.word(whoForm))
		if !r.next("at") {
			r.fail("nobody is asked, expected at and %s", whoForm)
		}
		m.at = r.who(r.word(whoForm))
		m.in = r.within()
		return m
	case "wait":
		a := await{check: r.check(true)}
		a.in = r.within()
		return a
	case "check":
		return checked{r.word("a check's name")}
	case "mark":
		m := mark{r.word("a name")}
		r.names["mark "+m.name] = true
		return m
	default:
		r.fail("%q is no step, expected one of load, drop, silent, refuse, lose, slow, trickle, reset, double, swap, heal, stop, go, kill, term, "+
			"start, restart, reload, drain, ready, gone, add, work, fail, news, launcher, name, members, wait, check, mark", w)
		return nil
	}
	r.link(&f)
	return f
}

func (r *reader) within() time.Duration {
	if !r.next("within") {
		r.fail("no bound on the wait, expected within and a time")
		return 0
	}
	return r.span(r.word("a time"), "the bound")
}

// ParseNight reads a night's text.
func ParseNight(file, text string) (*Night, error) {
	n := &Night{File: file, Agents: 3, Appliances: 6, Slots: 8, Build: 7, Work: 5 * time.Millisecond, Talk: "no", Lease: 600 * time.Millisecond, Seed: 1, Bound: 90 * time.Second}
	r := &reader{night: n, names: map[string]bool{}}
	var expects []int // lines: marks may stand after them
	lines := strings.Split(text, "\n")
	words := func(i int) {
		text, _, _ := strings.Cut(lines[i], "#")
		r.line, r.words, r.bad = i+1, strings.Fields(text), false
	}
	for i := range lines {
		words(i)
		if len(r.words) == 0 {
			continue
		}
		switch w := r.word(""); {
		case w == "expect":
			expects = append(expects, i)
			continue
		case w[0] >= '0' && w[0] <= '9' || w[0] == '+':
			s := Step{Line: r.line, Text: strings.Join(strings.Fields(strings.SplitN(lines[i], "#", 2)[0]), " "), After: w[0] == '+'}
			s.At = r.span(strings.TrimPrefix(w, "+"), "the time")
			s.Do = r.step(r.word("a step"))
			n.Steps = append(n.Steps, s)
		case len(n.Steps) > 0:
			r.fail("%q stands after the first step, expected a time, or expect", w)
		default:
			r.header(w)
		}
		if len(r.words) > 0 {
			r.fail("%q is left over at the line's end", strings.Join(r.words, " "))
		}
	}
	for _, i := range expects {
		words(i)
		r.word("")
		e := r.expect()
		if len(r.words) > 0 {
			r.fail("%q is left over at the line's end", strings.Join(r.words, " "))
		}
		e.Line, e.Text = i+1, strings.Join(strings.Fields(strings.SplitN(lines[i], "#", 2)[0]), " ")
		n.Expects = append(n.Expects, e)
	}
	r.line, r.bad = len(lines), false
	switch {
	case len(n.Expects) == 0 && len(r.errs) == 0:
		r.fail("the night expects nothing, expected a line that begins with expect")
	case n.Decider && n.Talk == "no":
		r.fail("agents who say nothing to each other have no decider, expected talk tcp or talk datagrams")
	case n.Talk == "tcp" && !n.Decider:
		r.fail("only the decider speaks over tcp, expected a line decider")
	}
	return n, errors.Join(r.errs...)
}

func (r *reader) header(w string) {
	n := r.night
	switch w {
	case "agents":
		n.Agents = r.whole(r.word("how many"), "the number of agents", 1, AgentsMost)
	case "appliances":
		n.Appliances = r.whole(r.word("how many"), "the number of appliances", 1, appliancesMost)
		if v, is := r.option("slots"); is {
			n.Slots = r.whole(v, "slots", 1, 1000)
		}
		if v, is := r.option("work"); is {
			n.Work = r.span(v, "the work")
		}
		if v, is := r.option("build"); is {
			n.Build = r.whole(v, "the build", 1, 65535)
		}
	case "talk":
		if n.Talk = r.word("datagrams, tcp or no"); !slices.Contains([]string{"datagrams", "tcp", "no"}, n.Talk) {
			r.fail("agents talk by %q, expected datagrams, tcp or no", n.Talk)
		}
	case "decider":
		n.Decider, n.Folders = true, true
		if v, is := r.option("lease"); is {
			n.Lease = r.span(v, "the lease")
		}
		if r.next("no-folders") {
			n.Folders = false
		}
	case "operator":
		n.Orders, r.words = append(n.Orders, strings.Join(r.words, " ")), nil
	case "late":
		n.Late = r.numbers(r.word("agents"), "the agent", n.Agents)
	case "seed":
		n.Seed = int64(r.whole(r.word("a number"), "the seed", 0, 1<<31))
	case "bound":
		n.Bound = r.span(r.word("a time"), "the bound")
	default:
		r.fail("%q begins no line, expected agents, appliances, talk, decider, late, operator, seed, bound, a time, or expect", w)
	}
}

// Programs are the names of other versions that the night starts.
func (n *Night) Programs() (names []string) {
	for _, s := range n.Steps {
		if d, is := s.Do.(signal); is && d.program != firstProgram && !slices.Contains(names, d.program) {
			names = append(names, d.program)
		}
	}
	return names
}

// Playable tells what of a night can't be played in this way.
func (n *Night) Playable(how Playing) error {
	var errs []error
	agents := n.Agents
	if how.Agents > 0 {
		agents = how.Agents
	}
	for _, s := range n.Steps {
		fail := func(form string, what ...any) {
			errs = append(errs, fmt.Errorf("%s:%d: %s", n.File, s.Line, fmt.Sprintf(form, what...)))
		}
		switch d := s.Do.(type) {
		case signal:
			if _, is := how.Programs[d.program]; d.program != firstProgram && !is {
				fail("no program %q, expected one that --program names", d.program)
			}
		case checked:
			if how.Checks[d.name] == nil {
				fail("no check %q is given, expected a night that its own test plays", d.name)
			}
		case fault:
			if how.Direct {
				fail("a fault on a way, expected none without relays")
			}
		}
	}
	if agents < n.Agents {
		errs = append(errs, fmt.Errorf("%s: %d agents asked for, expected at least the night's own %d: its lines name them", n.File, agents, n.Agents))
	}
	return errors.Join(errs...)
}
