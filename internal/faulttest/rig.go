package faulttest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// This file owns what stands in a night: processes, stand-ins, and a relay on each way between them.

// firstProgram is the name of the program that agents start as.
const firstProgram = ""

// Rig is a night's world.
type Rig struct {
	night    *Night
	dir      string
	programs map[string]string
	direct   bool // no relays: for the measure of what they cost
	began    time.Time
	now      netfault.Clock
	ctx      context.Context
	list     *catalog
	desk     *desk
	group    *group
	agents   []*agent
	crowd    *crowd
	mesh     *netfault.Mesh

	mu     sync.Mutex
	boxes  []*fakes.Endpoint
	born   []netfault.Micros    // when each began, cold; -1: long ago
	toBox  [][]*netfault.Stream // agent, box
	peers  [][]*netfault.Stream // from, to; nil where agents don't speak over TCP
	toList [][]*netfault.Stream // agent; the one in force is the last
	toDesk [][]*netfault.Stream
	story  []Moment
	load   context.CancelFunc
}

// Moment is something that the rig did or saw, for the time line.
type Moment struct {
	At   netfault.Micros
	Who  string
	What string
}

// agent is one of the program's seats; it keeps its addresses over restarts.
type agent struct {
	number            int
	dir, admin, state string
	listen, datagram  string
	stream            string // where it hears the decider's streams
	operator          []string
	log               *fakes.Log
	proc              *fakes.Agent
	lives             []Life
	told              []startWord
	moved             int // how often discovery or launcher have moved
}

// startWord is what a process was told at its start.
type startWord struct {
	at         netfault.Micros
	list, news int
}

const memoryMB = 192

// build sets all up, and starts the agents together.
func build(ctx context.Context, n *Night, dir string, programs map[string]string, direct bool) (r *Rig, err error) {
	r = &Rig{night: n, dir: dir, programs: programs, direct: direct, began: time.Now(), ctx: ctx}
	r.now = func() netfault.Micros { return time.Since(r.began).Microseconds() }
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	if r.list, err = newCatalog(r.now, r.address); err != nil {
		return r, err
	}
	if r.desk, err = newDesk(r.now, n.Build); err != nil {
		return r, err
	}
	r.group = newGroup(r.now)
	var urls, datagrams []string
	for i := range n.Agents {
		a := &agent{number: i, dir: filepath.Join(dir, fmt.Sprintf("agent-%d", i)), log: &fakes.Log{}}
		// A path of a Unix socket is short.
		a.state, a.admin = filepath.Join(a.dir, "state"), filepath.Join(dir, fmt.Sprintf("a%d", i))
		if err = os.MkdirAll(a.dir, 0o700); err != nil {
			return r, err
		}
		for _, to := range []*string{&a.listen, &a.datagram, &a.stream} {
			if *to, err = fakes.FreeAddress(); err != nil {
				return r, err
			}
		}
		r.agents = append(r.agents, a)
		urls, datagrams = append(urls, "http://"+a.listen), append(datagrams, a.datagram)
	}
	if n.Talk == "datagrams" && !direct {
		if r.mesh, err = netfault.NewMesh(datagrams, n.Seed*7919, r.now); err != nil {
			return r, err
		}
	}
	for i := range n.Agents {
		r.toBox, r.toList, r.toDesk, r.peers = append(r.toBox, nil), append(r.toList, nil), append(r.toDesk, nil), append(r.peers, nil)
		if err = r.move(i, &r.toList[i], r.list.l.Addr().String(), 1); err != nil {
			return r, err
		}
		if err = r.move(i, &r.toDesk[i], r.desk.l.Addr().String(), 2); err != nil {
			return r, err
		}
		for j := range n.Agents {
			var s *netfault.Stream
			if n.Talk == "tcp" && i != j && !direct {
				if s, err = netfault.NewStream(i, r.agents[j].stream, n.Seed*104_729+int64(i)*256+int64(j), r.now); err != nil {
					return r, err
				}
			}
			r.peers[i] = append(r.peers[i], s)
		}
	}
	if err = r.addBoxes(n.Appliances, n.Build, false); err != nil {
		return r, err
	}
	r.crowd = newCrowd(r.now, urls, r.living, r.killed)
	failed := make(chan error, n.Agents)
	for _, a := range r.agents {
		if a.operator = r.orders(a); slices.Contains(n.Late, a.number) {
			failed <- nil
			continue
		}
		go func() { failed <- r.start(a, firstProgram) }()
	}
	for range r.agents {
		if e := <-failed; e != nil && err == nil {
			err = e
		}
	}
	return r, err
}

// move gives an agent one more relay to a place.
func (r *Rig) move(agent int, relays *[]*netfault.Stream, target string, salt int64) error {
	if r.direct {
		return nil
	}
	s, err := netfault.NewStream(agent, target, r.night.Seed*6151+int64(agent)*64+salt+int64(len(*relays))*32, r.now)
	if err == nil {
		r.mu.Lock()
		*relays = append(*relays, s)
		r.mu.Unlock()
	}
	return err
}

// last is where an agent reaches a place now.
func (r *Rig) last(relays []*netfault.Stream, direct string) string {
	if r.direct {
		return direct
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays[len(relays)-1].Addr()
}

// address is how an agent reaches an appliance.
func (r *Rig) address(agent, box int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.direct || agent < 0 {
		return r.boxes[box].Addr()
	}
	return r.toBox[agent][box].Addr()
}

// addBoxes starts appliances of a build, cold or long warm, and lists them.
func (r *Rig) addBoxes(many, build int, cold bool) error {
	var rows []Row
	for range many {
		l, err := listen()
		if err != nil {
			return err
		}
		r.mu.Lock()
		n := len(r.boxes)
		r.mu.Unlock()
		box := fakes.NewEndpointAt(l, boxName(n), build, r.night.Slots, r.night.Work, r.night.Seed*31+int64(n), r.group, withHop)
		var relays []*netfault.Stream
		for i := range r.agents {
			if r.direct {
				break
			}
			s, err := netfault.NewStream(i, box.Addr(), r.night.Seed*15_485_863+int64(i)*1024+int64(n), r.now)
			if err != nil {
				box.Close()
				return err
			}
			relays = append(relays, s)
		}
		r.mu.Lock()
		r.boxes = append(r.boxes, box)
		for i, s := range relays {
			r.toBox[i] = append(r.toBox[i], s)
		}
		r.mu.Unlock()
		row, born := Row{n, "active", build, 0}, netfault.Micros(-1)
		if cold {
			box.SetSlowStart(fakes.InitialCapacity, fakes.SlowStartDuration)
			row.Born, born = time.Now().UnixMilli(), r.now()
		}
		r.mu.Lock()
		r.born = append(r.born, born)
		r.mu.Unlock()
		rows = append(rows, row)
	}
	r.list.change(func(old []Row) []Row { return append(old, rows...) })
	return nil
}

// orders is an agent's operator's file.
func (r *Rig) orders(a *agent) (lines []string) {
	n := r.night
	if n.Decider {
		lines = append(lines, "decider on", "decider-lease "+n.Lease.String(), "admin "+a.admin)
		if n.Folders {
			lines = append(lines, "decider-state "+a.state)
		}
		if n.Talk == "tcp" {
			lines = append(lines, fmt.Sprintf("decider-me %d", a.number), "decider-listen "+a.stream)
			for j := range r.agents {
				if !slices.Contains(n.Late, j) {
					lines = append(lines, r.peerLine(a.number, j))
				}
			}
		}
	}
	return append(lines, n.Orders...)
}

// peerLine names one agent in another's file.
func (r *Rig) peerLine(at, peer int) string {
	address := r.agents[peer].stream
	if peer != at && !r.direct {
		address = r.peers[at][peer].Addr()
	}
	return fmt.Sprintf("decider-peer %d %s", peer, address)
}

// file is an agent's configuration, and the serials of the list and the news that it holds.
func (r *Rig) file(a *agent) (text string, list, news int) {
	t := fakes.AgentConfig{
		Index: a.number, Agents: r.night.Agents, Build: r.night.Build, MemoryMB: memoryMB, Listen: a.listen,
		Discovery: r.last(r.toList[a.number], r.list.l.Addr().String()), Rollout: r.last(r.toDesk[a.number], r.desk.l.Addr().String()),
		Tenants: []string{"beqa"}, Shares: []float64{1}, LatencyObjective: SLA, Timeout: Expiry, HasNonIdempotent: true,
	}
	list = r.list.newest()
	t.Endpoints = r.list.line(a.number, list)
	news, t.RolloutState = r.desk.newsJSON()
	if r.night.Talk == "datagrams" {
		t.PeerListen = a.datagram
		for j, b := range r.agents {
			if r.direct {
				t.Peers = append(t.Peers, b.datagram)
			} else {
				t.Peers = append(t.Peers, r.mesh.Known(a.number, j))
			}
		}
		if !r.direct {
			t.PeersAll = r.mesh.All(a.number)
		}
	}
	return t.File(), list, news
}

// start starts an agent's process and waits until it serves.
func (r *Rig) start(a *agent, program string) error {
	path, is := r.programs[program]
	if !is {
		return fmt.Errorf("program %q is not named", program)
	}
	text, list, news := r.file(a)
	at := r.now()
	r.mu.Lock()
	nth := len(a.lives)
	a.lives = append(a.lives, Life{From: at, To: -1, Left: -1})
	a.told = append(a.told, startWord{at, list, news})
	r.mu.Unlock()
	p, err := fakes.StartAgent(path, a.dir, text, strings.Join(a.operator, "\n")+"\n", a.listen, a.log)
	if err != nil {
		return err
	}
	r.mu.Lock()
	a.proc = p
	r.mu.Unlock()
	r.note("rig", "agent %d starts%s", a.number, map[bool]string{true: " as " + program}[program != firstProgram])
	go func() {
		<-p.Done()
		r.mu.Lock()
		if l := &a.lives[nth]; l.To < 0 { // another may have begun by now
			l.To = r.now()
		}
		r.mu.Unlock()
		r.note("rig", "agent %d's process is over", a.number)
	}()
	for end := time.Now().Add(readyWithin); ; {
		switch {
		case p.IsHealthy():
			return nil
		case p.HasExited():
			return fmt.Errorf("agent %d has ended at its start", a.number)
		case time.Now().After(end):
			return fmt.Errorf("agent %d does not serve %v after its start", a.number, readyWithin)
		}
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// readyWithin is for many processes that start at once on a machine that is busy with other tests.
const readyWithin = 40 * time.Second

// living are the agents whose processes run, as a front that looks at their health would have them.
func (r *Rig) living() (out []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.agents {
		if n := len(a.lives); n > 0 && a.lives[n-1].To < 0 && a.lives[n-1].Left < 0 && a.proc != nil {
			out = append(out, i)
		}
	}
	return out
}

// killed tells whether an agent's newest process is over, or one that was not told to leave and lived at a time: the next may have begun
// by now.
func (r *Rig) killed(agent int, at netfault.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lives := r.agents[agent].lives
	n := len(lives)
	return n == 0 || lives[n-1].To >= 0 || slices.ContainsFunc(lives, func(l Life) bool {
		return l.From <= at && l.To >= at && l.Left < 0
	})
}

func (r *Rig) note(who, form string, what ...any) {
	m := Moment{r.now(), who, fmt.Sprintf(form, what...)}
	r.mu.Lock()
	r.story = append(r.story, m)
	r.mu.Unlock()
}

// close ends all that was started, in whatever state it is.
func (r *Rig) close() {
	r.mu.Lock()
	if r.load != nil {
		r.load()
	}
	r.mu.Unlock()
	for _, a := range r.agents {
		r.mu.Lock()
		p := a.proc
		r.mu.Unlock()
		if p != nil && !p.HasExited() {
			p.Kill()
		}
		if p != nil {
			<-p.Done()
		}
	}
	if r.crowd != nil {
		r.crowd.finish()
	}
	for _, s := range r.relays() {
		s.s.Close()
	}
	if r.mesh != nil {
		r.mesh.Close()
	}
	for _, b := range r.boxes {
		b.Close()
	}
	if r.list != nil {
		r.list.srv.Close()
	}
	if r.desk != nil {
		r.desk.srv.Close()
	}
}

func (r *Rig) logs(write func(name string) (io.WriteCloser, error)) error {
	for _, a := range r.agents {
		w, err := write(fmt.Sprintf("agent-%d.log", a.number))
		if err != nil {
			return err
		}
		_, err = io.WriteString(w, a.log.String())
		if e := w.Close(); err == nil {
			err = e
		}
		if err != nil {
			return err
		}
	}
	return nil
}
