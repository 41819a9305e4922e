package trial

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

	"switchfork/rehearsal/standin"
	"switchfork/rehearsal/trial/links"
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
	now      links.Clock
	ctx      context.Context
	list     *catalog
	desk     *desk
	group    *group
	agents   []*agent
	crowd    *crowd
	mesh     *links.Mesh

	mu     sync.Mutex
	boxes  []*standin.Appliance
	toBox  [][]*links.Stream // agent, box
	peers  [][]*links.Stream // from, to; nil where agents don't speak over TCP
	toList [][]*links.Stream // agent; the one in force is the last
	toDesk [][]*links.Stream
	story  []Moment
	load   context.CancelFunc
}

// Moment is something that the rig did or saw, for the time line.
type Moment struct {
	At   links.Micros
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
	log               *standin.Log
	proc              *standin.Agent
	lives             []Life
	told              []startWord
	moved             int // how often discovery or launcher have moved
}

// startWord is what a process was told at its start.
type startWord struct {
	at         links.Micros
	list, news int
}

const memoryMB = 192

// build sets all up, and starts the agents together.
func build(ctx context.Context, n *Night, dir string, programs map[string]string, direct bool) (r *Rig, err error) {
	r = &Rig{night: n, dir: dir, programs: programs, direct: direct, began: time.Now(), ctx: ctx}
	r.now = func() links.Micros { return time.Since(r.began).Microseconds() }
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
		a := &agent{number: i, dir: filepath.Join(dir, fmt.Sprintf("agent-%d", i)), log: &standin.Log{}}
		// A path of a Unix socket is short.
		a.state, a.admin = filepath.Join(a.dir, "state"), filepath.Join(dir, fmt.Sprintf("a%d", i))
		if err = os.MkdirAll(a.dir, 0o700); err != nil {
			return r, err
		}
		for _, to := range []*string{&a.listen, &a.datagram, &a.stream} {
			if *to, err = standin.Free(); err != nil {
				return r, err
			}
		}
		r.agents = append(r.agents, a)
		urls, datagrams = append(urls, "http://"+a.listen), append(datagrams, a.datagram)
	}
	if n.Talk == "datagrams" && !direct {
		if r.mesh, err = links.NewMesh(datagrams, n.Seed*7919, r.now); err != nil {
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
			var s *links.Stream
			if n.Talk == "tcp" && i != j && !direct {
				if s, err = links.NewStream(i, r.agents[j].stream, n.Seed*104_729+int64(i)*256+int64(j), r.now); err != nil {
					return r, err
				}
			}
			r.peers[i] = append(r.peers[i], s)
		}
	}
	if err = r.addBoxes(n.Appliances, n.Build); err != nil {
		return r, err
	}
	r.crowd = newCrowd(r.now, urls, r.living)
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
func (r *Rig) move(agent int, relays *[]*links.Stream, target string, salt int64) error {
	if r.direct {
		return nil
	}
	s, err := links.NewStream(agent, target, r.night.Seed*6151+int64(agent)*64+salt+int64(len(*relays))*32, r.now)
	if err == nil {
		r.mu.Lock()
		*relays = append(*relays, s)
		r.mu.Unlock()
	}
	return err
}

// last is where an agent reaches a place now.
func (r *Rig) last(relays []*links.Stream, direct string) string {
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

// addBoxes starts appliances of a build and lists them.
func (r *Rig) addBoxes(many, build int) error {
	var rows []Row
	for range many {
		l, err := listen()
		if err != nil {
			return err
		}
		r.mu.Lock()
		n := len(r.boxes)
		r.mu.Unlock()
		box := standin.NewApplianceAt(l, boxName(n), build, r.night.Slots, r.night.Work, r.night.Seed*31+int64(n), r.group, withHop)
		var relays []*links.Stream
		for i := range r.agents {
			if r.direct {
				break
			}
			s, err := links.NewStream(i, box.Addr(), r.night.Seed*15_485_863+int64(i)*1024+int64(n), r.now)
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
		rows = append(rows, Row{n, "active", build})
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
	t := standin.Told{Me: a.number, Agents: r.night.Agents, Build: r.night.Build, MemoryMB: memoryMB, Listen: a.listen,
		Discovery: r.last(r.toList[a.number], r.list.l.Addr().String()), Launcher: r.last(r.toDesk[a.number], r.desk.l.Addr().String()),
		Tenants: []string{"beqa"}, Shares: []float64{1}, SLA: SLA, Expiry: Expiry, Once: true}
	list = r.list.newest()
	t.Known = r.list.line(a.number, list)
	news, t.News = r.desk.newsJSON()
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
	a.lives = append(a.lives, Life{From: at, To: -1, Left: -1})
	a.told = append(a.told, startWord{at, list, news})
	r.mu.Unlock()
	p, err := standin.Begin(path, a.dir, text, strings.Join(a.operator, "\n")+"\n", a.listen, a.log)
	if err != nil {
		return err
	}
	r.mu.Lock()
	a.proc = p
	r.mu.Unlock()
	r.note("rig", "agent %d starts%s", a.number, map[bool]string{true: " as " + program}[program != firstProgram])
	go func() {
		<-p.Over()
		r.mu.Lock()
		if l := &a.lives[len(a.lives)-1]; l.To < 0 {
			l.To = r.now()
		}
		r.mu.Unlock()
		r.note("rig", "agent %d's process is over", a.number)
	}()
	for end := time.Now().Add(readyWithin); ; {
		switch {
		case p.Healthy():
			return nil
		case p.Ended():
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
		if p != nil && !p.Ended() {
			p.Kill()
		}
		if p != nil {
			<-p.Over()
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

// relay is one of the streams with its ends.
type relay struct {
	s      *links.Stream
	from   int
	to     string
	peer   int     // -1: no agent
	box    int     // -1: no appliance
	far    *ledger // nil: its far end is a process
	newest bool    // of those from this agent to that place
}

func (r *Rig) relays() (out []relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.toList {
		for n, s := range r.toList[i] {
			out = append(out, relay{s, i, "discovery", -1, -1, r.list.l, n == len(r.toList[i])-1})
		}
		for n, s := range r.toDesk[i] {
			out = append(out, relay{s, i, "launcher", -1, -1, r.desk.l, n == len(r.toDesk[i])-1})
		}
		for b, s := range r.toBox[i] {
			out = append(out, relay{s, i, boxName(b), -1, b, r.boxes[b].Listener().(*ledger), true})
		}
		for j, s := range r.peers[i] {
			if s != nil {
				out = append(out, relay{s, i, fmt.Sprintf("agent %d", j), j, -1, nil, true})
			}
		}
	}
	return out
}

// seen is what far ends and rig have written down so far, without what only traces tell.
func (r *Rig) seen() *Records {
	out := &Records{Agents: r.night.Agents, End: r.now(), Txns: r.crowd.all(), Surplus: int(r.crowd.surplus.Load()), Arrivals: r.group.all(), Votes: r.desk.cast(), Decider: r.night.Decider}
	out.Calls = map[string][]Call{"discovery": r.list.allCalls(), "launcher": r.desk.allCalls()}
	out.Datagrams = make([]int64, r.night.Agents)
	for i := range r.agents {
		for j := range r.agents {
			if r.mesh != nil && i != j {
				out.Datagrams[i] += r.mesh.Way(i, j).Count().Went
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Boxes = len(r.boxes)
	for _, a := range r.agents {
		lives := slices.Clone(a.lives)
		for i := range lives {
			lives[i].Standstill = slices.Clone(lives[i].Standstill)
		}
		out.Lives = append(out.Lives, lives)
	}
	return out
}

// records puts together what all have written down.
func (r *Rig) records() *Records {
	out := r.seen()
	r.desk.lmu.Lock()
	out.Stages = slices.Clone(r.desk.stages)
	r.desk.lmu.Unlock()
	r.list.lmu.Lock()
	out.Lists = slices.Clone(r.list.versions)
	r.list.lmu.Unlock()
	traces, _ := r.pairs()
	r.mu.Lock()
	for _, a := range r.agents {
		var lists, news []Had
		for _, w := range a.told {
			lists, news = append(lists, Had{w.at, w.list}), append(news, Had{w.at, w.news})
		}
		out.HadList, out.HadNews = append(out.HadList, lists), append(out.HadNews, news)
	}
	r.mu.Unlock()
	for _, place := range []struct {
		s  *streams
		to [][]Had
	}{{&r.list.streams, out.HadList}, {&r.desk.streams, out.HadNews}} {
		place.s.mu.Lock()
		told := slices.Clone(place.s.told)
		place.s.mu.Unlock()
		for _, w := range told {
			at := w.At
			if t := traces[w.hop]; t != nil {
				at = t.Told(w.Bytes)
			}
			if at >= 0 && w.Agent >= 0 {
				place.to[w.Agent] = append(place.to[w.Agent], Had{at, w.Serial})
			}
		}
		for i := range place.to {
			slices.SortStableFunc(place.to[i], func(a, b Had) int { return int(a.At - b.At) })
		}
	}
	for _, a := range out.Arrivals {
		at := a.At
		if t := traces[a.hop]; t != nil {
			at = t.Sent(a.From + 1)
		}
		out.SentAt = append(out.SentAt, at)
	}
	return out
}

// pairs finds the relay's trace of each connection that a far end had. A port may serve twice in a night: the first of it here is the
// first of it there. Alone are the traces of connections that no far end had.
func (r *Rig) pairs() (of map[*hop]*links.Trace, alone []string) {
	type key struct {
		at        *ledger
		who, port int
	}
	hops := map[key][]*hop{}
	of = map[*hop]*links.Trace{}
	for _, s := range r.relays() {
		if s.far == nil {
			continue // its far end is a process, which keeps no record that counts
		}
		if s.newest { // the others to this place have the same far end
			for _, h := range s.far.all() {
				if h.who == s.from {
					hops[key{s.far, h.who, h.port}] = append(hops[key{s.far, h.who, h.port}], h)
				}
			}
		}
	}
	for _, s := range r.relays() {
		if s.far == nil {
			continue
		}
		for _, t := range s.s.Traces() {
			if t.Full() {
				alone = append(alone, fmt.Sprintf("agent %d to %s: %v", s.from, s.to, links.ErrTrace))
			}
			delivered, _, _, whole := t.Far()
			k := key{s.far, t.From, t.FarPort()}
			if all := hops[k]; len(all) > 0 {
				of[all[0]], hops[k] = t, all[1:]
			} else if delivered > 0 && whole {
				alone = append(alone, fmt.Sprintf("agent %d to %s: the relay delivered %d bytes on a connection that the far end never had", s.from, s.to, delivered))
			}
		}
	}
	return of, alone
}

// differ compares the relays' account of their far sides with what the far ends counted, connection by connection. Where one
// ended by a reset the far end may have read less.
func (r *Rig) differ() (out []string) {
	of, out := r.pairs()
	for h, t := range of {
		delivered, came, _, whole := t.Far()
		read, written, surely := h.read.Load(), h.written.Load(), h.written.Load()
		if at := h.atEnd.Load(); at > 0 {
			surely = at - 1
		}
		if read > delivered || written < came || whole && !h.reset.Load() && (read != delivered || came < surely) {
			out = append(out, fmt.Sprintf("agent %d, port %d: the relay delivered %d bytes and got %d, the far end read %d and wrote %d", h.who, h.port, delivered, came, read, written))
		}
	}
	slices.Sort(out)
	return out
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
