package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/cluster/coordinator"
	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// This file owns how a night is played: its steps in their time, and its verdict.

// Playing is how a night is to be played.
type Playing struct {
	Programs map[string]string // by name; firstProgram's is the one that agents start as
	Seed     int64             // 0: the night's own
	Agents   int               // 0: the night's own
	Keep     string            // a folder for logs and records; none: kept only where the night fails
	Idle     bool              // relays are told to do nothing
	Direct   bool              // no relays
	Progress func(done, of int, text string)
	Checks   map[string]func(Seats) error // what a test looks at itself, by the name that its night calls it by
}

// Seats are what a test's own checks may look at.
type Seats struct {
	Program      string
	Admin, State []string // by agent
	Names        map[string]int
}

// player plays one night.
type player struct {
	*Rig
	how    Playing
	names  map[string]int             // agents
	marks  map[string]netfault.Micros // moments
	faults []*faultLine
	lines  []Line
}

// Play plays a night. The context's end interrupts it; whatever happens, nothing that it started is left.
func Play(ctx context.Context, n *Night, how Playing) (v *Verdict) {
	if how.Seed != 0 {
		copied := *n
		copied.Seed = how.Seed
		n = &copied
	}
	if how.Agents != 0 {
		copied := *n
		copied.Agents = how.Agents
		n = &copied
	}
	start := time.Now()
	v = &Verdict{Night: n.File, Seed: n.Seed}
	defer func() { v.TookMS = time.Since(start).Milliseconds() }()
	dir, err := os.MkdirTemp("", "sf-trial") // short: sockets of the admin address lie in it
	if err != nil {
		v.Error = err.Error()
		return v
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithTimeoutCause(ctx, n.Bound+readyWithin, fmt.Errorf("the night is over its bound of %v", n.Bound))
	defer stop()
	rig, err := build(ctx, n, dir, how.Programs, how.Direct)
	if err != nil {
		v.Error = fmt.Sprintf("%s: the rig does not stand: %v", n.File, err)
		if rig != nil && rig.agents != nil {
			v.keep(rig, how.Keep, nil)
		}
		return v
	}
	p := &player{Rig: rig, how: how, names: map[string]int{}, marks: map[string]netfault.Micros{}}
	p.note("rig", "all serve")
	p.marks["start"] = p.now()
	err = p.steps()
	p.stopLoad()
	p.crowd.finish()
	p.endFaults(nil)
	records := p.records()
	p.verdict(v, records, err)
	p.close()
	p.awaitFarEnds()
	v.Differ = p.differ()
	v.Passed = v.Error == "" && len(v.Breaches) == 0 && len(v.Differ) == 0 && !slices.ContainsFunc(v.Lines, func(l Line) bool { return !l.Passed })
	if how.Keep != "" || !v.Passed {
		v.keep(rig, how.Keep, records)
	}
	return v
}

// errStep is a step that did not come about; the night ends with it.
type errStep struct {
	step Step
	seen string
}

func (e errStep) Error() string { return e.seen }

// zero is where a night's times count from: all serve.
func (p *player) zero() netfault.Micros { return p.marks["start"] }

func (p *player) steps() error {
	last := p.now()
	for i, s := range p.night.Steps {
		at := p.zero() + micros(s.At)
		if s.After {
			at = last + micros(s.At)
		}
		if p.how.Progress != nil {
			p.how.Progress(i, len(p.night.Steps), s.Text)
		}
		if err := p.until(at); err != nil {
			return errStep{s, err.Error()}
		}
		p.note("night", "%d: %s", s.Line, s.Text)
		if err := p.do(s); err != nil {
			return errStep{s, err.Error()}
		}
		last = p.now()
	}
	return nil
}

// until waits for a moment; the night's own end comes first.
func (p *player) until(at netfault.Micros) error {
	timer := time.NewTimer(time.Duration(at-p.now()) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-p.ctx.Done():
		return context.Cause(p.ctx)
	}
}

// look is how often a condition is looked at.
const look = 20 * time.Millisecond

// within waits for a condition; what was seen last is told where it never came.
func (p *player) within(bound time.Duration, is func() (bool, string)) error {
	end := time.Now().Add(bound)
	for {
		ok, seen := is()
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s, for %v", seen, bound)
		}
		select {
		case <-p.ctx.Done():
			return fmt.Errorf("%s, then %w", seen, context.Cause(p.ctx))
		case <-time.After(look):
		}
	}
}

func (p *player) who(w Who) (out []int) {
	for i := range p.night.Agents {
		in := len(w.Numbers) == 0 && w.Name == "" || slices.Contains(w.Numbers, i)
		if w.Name != "" {
			in = (i == p.names[w.Name]) != w.Not
		}
		if in {
			out = append(out, i)
		}
	}
	return out
}

func (p *player) chosen(w *Who) chosen {
	if w == nil {
		return func(int) bool { return true }
	}
	all := p.who(*w)
	return func(agent int) bool { return slices.Contains(all, agent) }
}

func (p *player) those(b Boxes) (out []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, box := range p.boxes {
		if b.has(i, box.Build) {
			out = append(out, i)
		}
	}
	return out
}

// each does something for several agents at one time.
func each(agents []int, do func(i int) error) error {
	failed := make(chan error, len(agents))
	for _, i := range agents {
		go func() { failed <- do(i) }()
	}
	var errs []error
	for range agents {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

func (p *player) do(s Step) error {
	switch d := s.Do.(type) {
	case load:
		p.stopLoad()
		ctx, stop := context.WithCancel(p.ctx)
		p.mu.Lock()
		p.load = stop
		p.mu.Unlock()
		p.crowd.send(ctx, p.who(d.who), d, p.night.Seed*257+int64(s.Line))
	case fault:
		p.fault(s, d)
	case signal:
		return each(p.who(d.who), func(i int) error { return p.signal(i, d) })
	case reload:
		return each(p.who(d.who), func(i int) error { return p.reload(i, d) })
	case list:
		boxes := p.those(d.boxes)
		p.Rig.list.change(func(rows []Row) []Row {
			for i := range rows {
				if slices.Contains(boxes, rows[i].Box) {
					rows[i].Health = d.health
				}
			}
			return rows
		})
	case add:
		return p.addBoxes(d.many, d.build, true)
	case work:
		for _, i := range p.those(d.boxes) {
			p.boxes[i].SetSlowdown(d.times)
		}
	case failing:
		for _, i := range p.those(d.boxes) {
			p.boxes[i].SetErrorShare(d.share)
		}
	case news:
		p.desk.change(Stage{Build: d.build, Stage: d.stage, Phase: d.phase, Cap: d.ceiling})
	case speech:
		p.desk.quiet(d.silent)
	case name:
		not := p.chosen(nil)
		if d.not != nil {
			is := p.chosen(d.not)
			not = func(i int) bool { return !is(i) }
		}
		return p.within(d.in, func() (bool, string) {
			for i, a := range p.agents {
				if !not(i) {
					continue
				}
				if r, err := coordinator.QueryStatus(a.admin); err == nil && r.Leads {
					p.names[d.name] = i
					p.note("night", "%s is agent %d", d.name, i)
					return true, ""
				}
			}
			return false, "nobody leads"
		})
	case members:
		return p.within(d.in, func() (taken bool, seen string) {
			for _, i := range p.who(d.at) { // whoever of them leads takes it
				for _, who := range p.who(d.who) {
					out, err := exec.Command(p.programs[firstProgram], "members", d.verb, strconv.Itoa(who), "--admin", p.agents[i].admin).CombinedOutput()
					if taken, seen = err == nil, strings.TrimSpace(string(out)); !taken {
						break
					}
				}
				if taken {
					return true, ""
				}
			}
			return false, seen
		})

	case await:
		of := p.chosen(d.what.Of)
		return p.within(d.in, func() (bool, string) {
			v, seen, ok := p.asked(d.what, of)
			if !ok {
				v, seen, ok = p.seen().value(d.what, of, span{p.zero(), p.now()})
			}
			return ok && d.holds(v), seen
		})
	case checked:
		seats := Seats{Program: p.programs[firstProgram], Names: p.names}
		for _, a := range p.agents {
			seats.Admin, seats.State = append(seats.Admin, a.admin), append(seats.State, a.state)
		}
		return p.how.Checks[d.name](seats)
	case mark:
		p.marks[d.name] = p.now()
	default:
		return fmt.Errorf("a step of a kind that nobody plays: %T", d)
	}
	return nil
}

// asked asks agents about themselves, for waits only.
func (p *player) asked(m Measure, of chosen) (v float64, seen string, ok bool) {
	n, many := 0, 0
	for i, a := range p.agents {
		if !of(i) {
			continue
		}
		many++
		switch m.Name {
		case "leads":
			if r, err := coordinator.QueryStatus(a.admin); err == nil && r.Leads {
				n++
			}
		case "members": // the least that any of them knows of
			r, err := coordinator.QueryStatus(a.admin)
			if k := len(r.Members); err == nil && (many == 1 || k < n) {
				n = k
			} else if err != nil {
				return 0, "no answer at the admin address", true
			}
		case "healthy":
			if a.proc != nil && !a.proc.HasExited() && a.proc.IsHealthy() {
				n++
			}
		case "log":
			n += strings.Count(a.log.String(), strings.ReplaceAll(m.Arg, "_", " "))
		default:
			return 0, "", false
		}
	}
	return float64(n), fmt.Sprintf("%s is %d", m.Name, n), true
}

func (p *player) stopLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.load != nil {
		p.load()
	}
	p.load = nil
}

func (p *player) signal(i int, d signal) error {
	a := p.agents[i]
	p.mu.Lock()
	proc := a.proc
	var life *Life
	if n := len(a.lives); n > 0 {
		life = &a.lives[n-1]
	}
	p.mu.Unlock()
	if proc == nil {
		if d.verb != "start" {
			return fmt.Errorf("agent %d has no process", i)
		}
		return p.start(a, d.program)
	}
	switch d.verb {
	case "stop", "go":
		if proc.HasExited() {
			return fmt.Errorf("agent %d has no process", i)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if n := len(life.Standstill); d.verb == "stop" {
			life.Standstill = append(life.Standstill, [2]netfault.Micros{p.now(), -1})
			return proc.Pause()
		} else if n > 0 {
			life.Standstill[n-1][1] = p.now()
		}
		return proc.Resume()
	case "kill":
		p.ends(life)
		proc.Kill()
		return nil
	case "term":
		p.mu.Lock()
		life.Left = p.now()
		p.mu.Unlock()
		return proc.Terminate()
	case "restart", "start":
		if !proc.HasExited() && d.verb == "start" { // it was asked to leave
			select {
			case <-proc.Done():
			case <-time.After(leaveWithin):
				return fmt.Errorf("agent %d still runs %v after it was to end", i, leaveWithin)
			}
		}
		if !proc.HasExited() {
			p.ends(life)
			proc.Kill()
		}
		<-proc.Done()
		if d.fresh {
			os.RemoveAll(a.state)
		}
		return p.start(a, d.program)
	}
	return nil
}

// leaveWithin is the longest that a process may take to end after SIGTERM: its longest expiry and what a drain adds, with room.
const leaveWithin = 15 * time.Second

// ends notes that a process is about to be killed: from here on it owes nothing.
func (p *player) ends(l *Life) {
	p.mu.Lock()
	if l.To < 0 {
		l.To = p.now()
	}
	p.mu.Unlock()
}

// reload writes an agent's files anew and has it read them.
func (p *player) reload(i int, d reload) error {
	a := p.agents[i]
	conf, orders := filepath.Join(a.dir, fakes.ConfigName), filepath.Join(a.dir, fakes.OptionsName)
	switch d.what {
	case "spoilt":
		if err := os.WriteFile(conf, []byte(`{"name":"n`), 0o600); err != nil {
			return err
		}
	case "peer":
		a.operator = append(a.operator, p.peerLine(i, d.peer))
		if err := os.WriteFile(orders, []byte(strings.Join(a.operator, "\n")+"\n"), 0o600); err != nil {
			return err
		}
	case "operator":
		line := strings.Join(d.words, " ")
		keep := slices.DeleteFunc(slices.Clone(a.operator), func(l string) bool { return strings.Fields(l)[0] == d.words[0] })
		a.operator = append(keep, line)
		if err := os.WriteFile(orders, []byte(strings.Join(a.operator, "\n")+"\n"), 0o600); err != nil {
			return err
		}
	default:
		to, target := &p.toList[i], p.Rig.list.l.Addr().String()
		if d.what == "launcher" {
			to, target = &p.toDesk[i], p.desk.l.Addr().String()
		}
		if err := p.move(i, to, target, 3); err != nil {
			return err
		}
		text, _, _ := p.file(a)
		if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return a.proc.Reload()
}
