package faulttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// This file owns the far ends: discovery and launcher for many agents, each told in its own addresses, and what all far ends
// keep of each connection, so that what they saw can be set beside what a relay saw.

// hop is a connection as a far end counts it.
type hop struct {
	net.Conn
	who, port     int // whose relay dialled, and from which port
	ledger        *ledger
	read, written atomic.Int64
	began         atomic.Int64 // bytes read before the request that is served now
	turned        atomic.Bool  // the last thing was an answer's part: what comes next begins a request
	reset         atomic.Bool
	atEnd         atomic.Int64 // written when the other side's end came in, and 1 more; what is written later may be lost
}

func (h *hop) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 && h.turned.Swap(false) {
		h.began.Store(h.read.Load())
	}
	h.read.Add(int64(n))
	if err != nil {
		h.atEnd.CompareAndSwap(0, h.written.Load()+1)
		if err != io.EOF {
			h.reset.Store(true)
		}
	}
	return n, err
}

func (h *hop) Write(b []byte) (int, error) {
	n, err := h.Conn.Write(b)
	h.written.Add(int64(n))
	h.turned.Store(true)
	if err != nil {
		h.reset.Store(true)
	}
	return n, err
}

// ledger is a listener that keeps what it accepted.
type ledger struct {
	net.Listener
	mu   sync.Mutex
	hops []*hop
}

func listen() (*ledger, error) {
	l, err := fakes.Listen()
	return &ledger{Listener: l}, err
}

func (l *ledger) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &hop{Conn: c, who: netfault.Party(c.RemoteAddr()), port: c.RemoteAddr().(*net.TCPAddr).Port, ledger: l}
	l.mu.Lock()
	l.hops = append(l.hops, h)
	l.mu.Unlock()
	return h, nil
}

func (l *ledger) all() []*hop {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*hop(nil), l.hops...)
}

type hopKey struct{}

func withHop(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, hopKey{}, c)
}

func hopOf(r *http.Request) *hop { h, _ := r.Context().Value(hopKey{}).(*hop); return h }

// Told is a word that a far end wrote to an agent: it has it when so many bytes of that connection were handed to it.
type Told struct {
	Agent  int
	Bytes  int64
	At     netfault.Micros // written by the far end
	Serial int             // of the list or the news
	hop    *hop
}

// stream is one that stands open.
type stream struct {
	who   int
	words chan int // serials to be told; the newest counts
}

// streams are those of one place; each is told by its own goroutine.
type streams struct {
	mu    sync.Mutex
	open  map[*stream]bool
	told  []Told
	calls []Call
	now   netfault.Clock
}

// Call is something that an agent asked a place for.
type Call struct {
	Agent int
	At    netfault.Micros
	What  string
}

func (s *streams) called(who int, what string) {
	s.mu.Lock()
	s.calls = append(s.calls, Call{who, s.now(), what})
	s.mu.Unlock()
}

func (s *streams) allCalls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

func (s *streams) tellAll(serial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.open {
		select {
		case st.words <- serial:
		default: // a reader that is so far behind is cut: it asks again and is told all
			delete(s.open, st)
			close(st.words)
		}
	}
}

// serve keeps an answer open: text tells a serial, sign is what it says when there is nothing to tell.
func (s *streams) serve(w http.ResponseWriter, r *http.Request, first int, text func(who, serial int) string, sign string, every time.Duration) {
	h := hopOf(r)
	st := &stream{h.who, make(chan int, 256)}
	s.mu.Lock()
	s.open[st] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.open, st)
		s.mu.Unlock()
	}()
	say := func(serial int) {
		io.WriteString(w, text(h.who, serial))
		at := s.now()
		w.(http.Flusher).Flush()
		s.mu.Lock()
		s.told = append(s.told, Told{h.who, h.written.Load(), at, serial, h})
		s.mu.Unlock()
	}
	say(first)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case serial, more := <-st.words:
			if !more {
				return
			}
			say(serial)
		case <-tick.C:
			io.WriteString(w, sign)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// Row is an appliance as a version of the list has it.
type Row struct {
	Box    int
	Health string // active, leaving; left: not in the list any more
	Build  int
	Born   int64 // Unix ms; 0: long ago
}

// catalog is discovery.
type catalog struct {
	streams
	l        *ledger
	srv      *http.Server
	lmu      sync.Mutex
	versions [][]Row                     // by serial
	made     []netfault.Micros           // when
	address  func(agent, box int) string // how an agent reaches an appliance
}

func newCatalog(now netfault.Clock, address func(agent, box int) string) (*catalog, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	c := &catalog{streams: streams{open: map[*stream]bool{}, now: now}, l: l, address: address, versions: [][]Row{nil}, made: []netfault.Micros{now()}}
	c.srv = &http.Server{ConnContext: withHop, Handler: http.HandlerFunc(c.answer)}
	go c.srv.Serve(l)
	return c, nil
}

func (c *catalog) answer(w http.ResponseWriter, r *http.Request) {
	h := hopOf(r)
	newest := c.newest()
	if r.URL.Query().Get("stream") != "" {
		c.called(h.who, "watch")
		c.serve(w, r, newest, c.line, "\n", time.Second)
		return
	}
	c.called(h.who, "list")
	text := c.line(h.who, newest)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	at := c.now()
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
	c.mu.Lock()
	c.told = append(c.told, Told{h.who, h.written.Load(), at, newest, h})
	c.mu.Unlock()
}

func (c *catalog) newest() int {
	c.lmu.Lock()
	defer c.lmu.Unlock()
	return len(c.versions) - 1
}

func (c *catalog) rows(serial int) []Row {
	c.lmu.Lock()
	defer c.lmu.Unlock()
	return c.versions[serial]
}

// line is a version as an agent is told it; every line is a whole list.
func (c *catalog) line(who, serial int) string {
	var rows []string
	for _, r := range c.rows(serial) {
		if r.Health != "left" {
			rows = append(rows, fakes.ListEntryStartedAt(boxName(r.Box), c.address(who, r.Box), r.Health, r.Build, r.Born))
		}
	}
	return fakes.ListDocument(serial+1, true, rows...)
}

// change makes a new version and tells it.
func (c *catalog) change(how func(rows []Row) []Row) {
	c.lmu.Lock()
	c.versions = append(c.versions, how(append([]Row(nil), c.versions[len(c.versions)-1]...)))
	c.made = append(c.made, c.now())
	serial := len(c.versions) - 1
	c.lmu.Unlock()
	c.tellAll(serial)
}

func boxName(i int) string { return fmt.Sprintf("s-%d", i) }

// Stage is where a build stands.
type Stage struct {
	Build, Stage int
	Phase        string
	Cap          float64
	At           netfault.Micros
}

// Vote is one as it came.
type Vote struct {
	At           netfault.Micros
	Agent        int
	Build, Stage int
	Opinion      string // on, back, hold, none
}

var inTrade = map[string]string{"approve": "on", "reject": "back", "wait": "hold", "clear": "none"}

// desk is the launcher.
type desk struct {
	streams
	l      *ledger
	srv    *http.Server
	lmu    sync.Mutex
	stages []Stage // by serial
	votes  []Vote
	silent bool
}

func newDesk(now netfault.Clock, build int) (*desk, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	d := &desk{streams: streams{open: map[*stream]bool{}, now: now}, l: l, stages: []Stage{{build, 2, "live", 1, now() - 90_000_000}}}
	d.srv = &http.Server{ConnContext: withHop, Handler: http.HandlerFunc(d.answer)}
	go d.srv.Serve(l)
	return d, nil
}

func (d *desk) newest() (int, Stage) {
	d.lmu.Lock()
	defer d.lmu.Unlock()
	return len(d.stages) - 1, d.stages[len(d.stages)-1]
}

func (d *desk) stage(serial int) Stage {
	d.lmu.Lock()
	defer d.lmu.Unlock()
	return d.stages[serial]
}

func (d *desk) bulletin(_, serial int) string {
	s := d.stage(serial)
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=%d\n\n", s.Build, s.Stage, s.Phase, s.Cap, (d.now()-s.At)/1000)
}

func (d *desk) change(s Stage) {
	d.lmu.Lock()
	s.At = d.now()
	d.stages = append(d.stages, s)
	serial := len(d.stages) - 1
	d.lmu.Unlock()
	d.tellAll(serial)
}

func (d *desk) quiet(on bool) {
	d.lmu.Lock()
	d.silent = on
	d.lmu.Unlock()
}

func (d *desk) cast() []Vote {
	d.lmu.Lock()
	defer d.lmu.Unlock()
	return append([]Vote(nil), d.votes...)
}

func (d *desk) answer(w http.ResponseWriter, r *http.Request) {
	h := hopOf(r)
	serial, s := d.newest()
	if r.Method == http.MethodGet {
		d.called(h.who, "bulletin")
		w.Header().Set("Content-Type", "text/event-stream")
		d.serve(w, r, serial, d.bulletin, ":\n", time.Second)
		return
	}
	body, err := io.ReadAll(r.Body)
	form, wrong := url.ParseQuery(string(body))
	if err != nil || wrong != nil || inTrade[form.Get("opinion")] == "" {
		w.WriteHeader(http.StatusBadRequest)
		io.WriteString(w, "<Error><Code>ValidationError</Code></Error>")
		return
	}
	v := Vote{At: d.now(), Agent: h.who, Opinion: inTrade[form.Get("opinion")]}
	v.Build, _ = strconv.Atoi(form.Get("image"))
	v.Stage, _ = strconv.Atoi(form.Get("ring"))
	d.called(h.who, "vote")
	d.lmu.Lock()
	d.votes = append(d.votes, v)
	silent := d.silent
	d.lmu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if v.Build != s.Build || v.Stage != s.Stage {
		w.WriteHeader(http.StatusBadRequest)
		io.WriteString(w, "<Error><Code>ConditionFailed</Code></Error>")
		return
	}
	fmt.Fprintf(w, `<?xml version="1.0"?>
<Response><groups><item><image>%d</image><ring>%d</ring><progress>%s</progress><ceiling>%g</ceiling><lag_ms>%d</lag_ms></item></groups></Response>`,
		s.Build, s.Stage, s.Phase, s.Cap, (d.now()-s.At)/1000)
}

// Arrival is a txn as an appliance got it whole.
type Arrival struct {
	At         netfault.Micros
	Box, Build int
	Agent      int
	hop        *hop
	From       int64  // where its first byte stands on its connection
	ID, Key    string // the client's id of this try; what a repeat is known by
	Product    string
	Ran        netfault.Micros // -1: it has not, or its group has dropped it as a repeat
	Dropped    bool
}

// group is the appliances that remember one another's references, and what they saw.
type group struct {
	mu       sync.Mutex
	now      netfault.Clock
	arrivals []*Arrival
	known    map[string]netfault.Micros // when a reference was last known to run
}

func newGroup(now netfault.Clock) *group {
	return &group{now: now, known: map[string]netfault.Micros{}}
}

func (g *group) RequestArrived(a *fakes.Endpoint, r *http.Request) any {
	n, _ := strconv.Atoi(strings.TrimPrefix(a.Name, "s-"))
	product, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	v := &Arrival{At: g.now(), Box: n, Build: a.Build, Agent: -1, ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Product: product, Ran: -1}
	if h := hopOf(r); h != nil {
		v.Agent, v.hop, v.From = h.who, h, h.began.Load()
	}
	if v.Product == once {
		v.Key = r.URL.Query().Get("sid")
	}
	g.mu.Lock()
	g.arrivals = append(g.arrivals, v)
	g.mu.Unlock()
	return v
}

// The products of a night, as the configuration of package standin has them.
const inquiry, posting, once = "lookup", "posting", "fee"

func (g *group) RequestRuns(_ *fakes.Endpoint, came any) bool {
	v, now := came.(*Arrival), g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.Product == posting {
		if at, is := g.known[v.Key]; is && now-at < fakes.DedupWindow.Microseconds() {
			v.Dropped = true
			return false
		}
		g.known[v.Key] = now
	}
	v.Ran = now
	return true
}

func (g *group) all() (out []Arrival) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.arrivals {
		out = append(out, *v)
	}
	return out
}

// known is a list as a configuration holds it.
func (c *catalog) known(who int) string { return strings.TrimSpace(c.line(who, c.newest())) }

// newsJSON is the news as a configuration holds it.
func (d *desk) newsJSON() (int, string) {
	serial, s := d.newest()
	return serial, fakes.RolloutJSON(s.Build, s.Stage, s.Phase, s.Cap, time.Duration(d.now()-s.At)*time.Microsecond)
}
