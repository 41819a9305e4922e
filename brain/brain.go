// Package brain holds every decision of a switchfork agent: which build and
// which appliance a txn goes to, when it is sent again, declined or voided,
// and how the agent votes on a release.
//
// Use: make one Router an agent with New and hand it each event, in order,
// with the clock in whole microseconds; carry out the orders that Handle
// returns before the next event. Events, orders and what is read at the start
// are in port.go. A Router does no I/O and reads no clock; one caller drives
// it. The same events give the same orders.
package brain

import (
	"math"
	"math/rand"
	"sort"
)

const (
	ms     Micros = 1000
	second        = 1000 * ms
)

// Parts talk by notes put into inboxes; Handle's loop empties them. Events
// serve as notes too; the others are these.
type (
	note any
	// sent tells an appliance that a submission is on its way to it.
	sent struct{ work float64 }
	// beat is the tick by which parts look at the time.
	beat struct{}
	// told is an outcome with the record of the appliance that gave it.
	told struct {
		Ended
		by      *appliance
		product int
		sla     Micros
	}
	// wrong is a client's report on an answer of this appliance.
	wrong struct{ by *appliance }
	// dragged tells an appliance how long an answer took against before.
	dragged struct{ times float64 }
)

type load struct {
	at   Micros
	work float64
}

type inbox struct{ notes []note }

func (b *inbox) put(n note) { b.notes = append(b.notes, n) }

func (b *inbox) next() (note, bool) {
	if len(b.notes) == 0 {
		return nil, false
	}
	n := b.notes[0]
	if b.notes = b.notes[1:]; len(b.notes) == 0 {
		b.notes = nil
	}
	return n, true
}

type part interface {
	next() (note, bool)
	take(note)
}

// line is what the loop lends each part: time, chance and the outgoing orders.
type line struct {
	now    Micros
	began  Micros
	chance *rand.Rand
	out    []Order
}

func (l *line) give(o Order) { l.out = append(l.out, o) }

type agent struct {
	*line
	fleet  *fleet
	desk   *desk
	judge  *judge
	lister *lister
	parts  []part
	begun  bool
}

// New starts an agent's decisions from what it is told at its start.
func New(st Station, products []Product, plan LaunchPlan, polling Polling, count Exposure, cold ColdStart,
	hand Handover, may Licence, fares Fares) Router {
	l := &line{chance: rand.New(rand.NewSource(st.Seed))}
	f := &fleet{line: l, byID: map[uint32]*appliance{}, probes: may.Probe, cold: cold}
	j := &judge{line: l, fleet: f, polling: polling, wave: wave{spoiled: map[int]bool{}, plan: plan}}
	d := &desk{line: l, fleet: f, judge: j, products: products, hand: hand, cold: cold, zone: st.Zone,
		agents: st.Agents, wave: wave{spoiled: map[int]bool{}, plan: plan}, txns: map[uint64]*txn{},
		bound: map[uint64]int{}, count: count, homeward: 1 + 40*fares.CrossZone}
	d.taken = make([][]tick, len(products))
	for _, p := range products {
		d.usual = max(d.usual, float64(p.SLA)/4) // until answers tell
	}
	r := &lister{line: l, ask: may.Ask}
	return &agent{line: l, fleet: f, desk: d, judge: j, lister: r, parts: []part{f, j, d, r}}
}

// beatEvery is how often held txns and votes are looked at: well inside the shortest SLA time and grace.
const beatEvery = 10 * ms

func (g *agent) Handle(now Micros, ev Event) []Order {
	g.now, g.out = now, nil
	if !g.begun {
		g.begun, g.began = true, now
		g.give(Wake{At: now + beatEvery})
		g.lister.put(beat{})
	}
	switch ev := ev.(type) {
	case Listed:
		g.fleet.put(ev)
		g.lister.put(ev)
	case Probed, Flagged:
		g.fleet.put(ev)
	case Ended:
		g.desk.put(ev)
	case Staged:
		g.judge.put(ev)
		g.desk.put(ev)
	case Bell:
		for _, p := range []interface{ put(note) }{g.fleet, g.judge, g.desk, g.lister} {
			p.put(beat{})
		}
		g.give(Wake{At: now + beatEvery})
	case Taken, Begun, Abandoned:
		g.desk.put(ev)
	}
	for g.step() {
	}
	return g.out
}

// step empties one note. Appliances come first, so that no pick reads a record with mail waiting.
func (g *agent) step() bool {
	for _, a := range g.fleet.all {
		if n, ok := a.next(); ok {
			a.take(n)
			return true
		}
	}
	for _, p := range g.parts {
		if n, ok := p.next(); ok {
			p.take(n)
			return true
		}
	}
	return false
}

// mix spreads a number over 64 bits (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Fixed salts, alike on all agents and unlike each other: with one salt the slice's keys would crowd one arc.
const (
	sliceSalt = 0x51ce
	ringSalt  = 0x2176
)

// fleet keeps the records, one an appliance, found by id.
type fleet struct {
	inbox
	*line
	byID   map[uint32]*appliance
	all    []*appliance
	probes bool
	cold   ColdStart
	judge  *judge
}

func (f *fleet) take(n note) {
	switch n := n.(type) {
	case Listed:
		if n.Full {
			for _, a := range f.all {
				a.listed = false
			}
		}
		for _, row := range n.Rows {
			a := f.byID[row.ID]
			if a == nil {
				a = &appliance{line: f.line, Row: Row{ID: row.ID}, probes: f.probes, cold: f.cold, limit: firstLimit, drag: 1}
				a.lay()
				f.byID[row.ID], f.all = a, append(f.all, a)
			}
			a.listed = true
			a.put(row)
		}
		for _, a := range f.all {
			if n.Full && !a.listed {
				a.put(Row{ID: a.ID, Build: a.Build, Zone: a.Zone, Cell: a.Cell, State: Gone, Weight: a.Weight})
			}
		}
	case beat:
		for _, a := range f.all {
			a.put(n)
		}
	case Probed:
		if a := f.byID[n.Appliance]; a != nil {
			a.put(n)
		}
	}
}

// appliance is one record and the small actor that keeps it.
type appliance struct {
	inbox
	*line
	Row
	listed  bool
	points  []uint64
	probes  bool
	cold    ColdStart
	out     int     // own submissions that have no outcome yet
	heard   Micros  // its last answer
	limit   float64 // own submissions that it may hold
	cutAt   Micros
	drag    float64 // answer times against those before the release, moving
	strikes int     // silent outcomes in a row
	full    Micros  // turned work away: left alone until then
	aside   Micros  // set aside until then
	asking  bool    // a probe is out
	sends   []load  // while cold: own submissions of the counted span
}

// ringPoints: at 64 points the arcs' spread is about an eighth, near what a score of appliances needs; the
// paper's formula shows that more buys little.
const ringPoints = 64

func (a *appliance) lay() {
	a.points = make([]uint64, ringPoints)
	for i := range a.points {
		a.points[i] = mix(mix(uint64(a.ID)^ringSalt) + uint64(i))
	}
	sort.Slice(a.points, func(i, j int) bool { return a.points[i] < a.points[j] })
}

// reach is the way clockwise from a spot to this appliance's nearest point.
func (a *appliance) reach(spot uint64) float64 {
	i := sort.Search(len(a.points), func(i int) bool { return a.points[i] >= spot })
	return float64(a.points[i%len(a.points)]-spot) + 1
}

// pace is the part of its capacity that a starting appliance surely has.
func (a *appliance) pace() float64 {
	if a.Started <= 0 || a.cold.Warm <= 0 {
		return 1
	}
	return min(1, a.cold.From+(1-a.cold.From)*float64(max(0, a.now-a.Started))/float64(a.cold.Warm))
}

func (a *appliance) weight() float64 {
	w := a.Weight
	if w <= 0 {
		w = 1
	}
	return w * a.pace()
}

func (a *appliance) ready() bool { return a.State == Ready }
func (a *appliance) healthy() bool {
	return a.ready() && a.now >= a.aside && !a.asking && a.now >= a.full && float64(a.out)+1 <= a.limit
}

const (
	// asideFor and asideSpread: the users' practice of a fixed time with a random part; a second is the
	// order of a restart's first signs, and short against the list's lag.
	asideFor    = 1 * second
	asideSpread = 500 * ms
	// fullFor: a full appliance works off a txn or two in this time; asked again sooner it only says no.
	fullFor = 300 * ms
	// silentStrikes: one time-out may be a heavy txn, two in a row with no answer between are the appliance.
	silentStrikes = 2
)

func (a *appliance) take(n note) {
	switch n := n.(type) {
	case Row:
		if n.Started != a.Started || n.Build != a.Build || n.State == Gone {
			// Another process under the old id: what was known of it is void.
			a.strikes, a.aside, a.asking, a.sends, a.limit, a.drag = 0, 0, false, nil, firstLimit, 1
		}
		a.Row = n
	case sent:
		a.out++
		if a.pace() < 1 {
			a.sends = append(a.sends, load{a.now, n.work})
		}
	case told:
		a.out = max(0, a.out-1)
		a.learn(n)
		switch n.Outcome {
		case OK, Errored:
			a.strikes, a.heard = 0, a.now
		case TurnedOff:
			a.full = a.now + fullFor
		case NoConnect, Broken:
			a.setAside()
		case TimedOut:
			if a.heard < a.now-n.Took {
				a.strikes++
			}
			if a.strikes >= silentStrikes {
				a.setAside()
			}
		}
	case dragged:
		a.drag += (n.times - a.drag) * dragFade
	case beat:
		for len(a.sends) > 0 && a.sends[0].at <= a.now-a.cold.After {
			a.sends = a.sends[1:]
		}
		if a.probes && a.aside > 0 && a.now >= a.aside && !a.asking && a.ready() {
			a.asking = true
			a.give(Probe{Appliance: a.ID})
		}
	case Probed:
		if a.asking {
			if a.asking = false; n.Outcome == OK {
				a.strikes, a.aside = 0, 0
			} else {
				a.setAside()
			}
		}
	}
}

const (
	// firstLimit: two in work and two waiting at an appliance not known yet.
	firstLimit = 4
	// quickPart and latePart of the SLA time: below the one there is room, above the other too much is open.
	quickPart, latePart = 0.5, 0.8
	// limitCut, at most once in cutEvery: a few late answers from one jam are one sign, not several.
	limitCut = 0.7
	cutEvery = 250 * ms
)

// learn keeps the limit of open submissions: up by one a round of quick answers, down by a part on late ones.
// It guards against any appliance that answers too slowly, for whatever reason (slowed, frozen, overloaded,
// cold, a heavy build): txns then wait at the agent, where they can still go elsewhere. It may harm where
// a product's own work nears its SLA time.
func (a *appliance) learn(n told) {
	sla := float64(n.sla)
	switch {
	case n.Outcome == OK && float64(n.Took) < quickPart*sla:
		if float64(a.out+1) >= a.limit/2 {
			a.limit += 1 / a.limit
		}
	case n.Outcome == TurnedOff, n.Outcome == TimedOut, n.Outcome == OK && float64(n.Took) > latePart*sla:
		if sla > 0 && a.now >= a.cutAt+cutEvery {
			a.limit, a.cutAt = max(1, a.limit*limitCut), a.now
		}
	}
}

func (a *appliance) setAside() {
	a.strikes = 0
	a.aside = a.now + asideFor + Micros(a.chance.Int63n(int64(asideSpread)))
}

// lister keeps the agent's subscription where the list must be asked.
type lister struct {
	inbox
	*line
	ask  bool
	due  Micros
	fail int
}

// askAgain: a failed call is asked again after this time, doubled for each failure in a row up to eight
// times, with a random part, so that agents do not flood a list service in trouble.
const askAgain = 400 * ms

func (r *lister) take(n note) {
	if !r.ask {
		return
	}
	switch n := n.(type) {
	case Listed:
		if !n.Failed {
			r.fail = 0
			return
		}
		wait := askAgain << min(r.fail, 3)
		r.fail++
		r.due = r.now + wait + Micros(r.chance.Int63n(int64(wait)))
	case beat:
		if r.due >= 0 && r.now >= r.due {
			r.due = -1
			r.give(Watch{})
		}
	}
}

// wave is what a part knows of the release in hand.
type wave struct {
	plan    LaunchPlan
	build   int
	stage   int
	phase   Phase
	cap     float64
	spoiled map[int]bool // builds that went back
}

// hear keeps the launcher's news and tells whether build, stage or phase are new.
func (w *wave) hear(n Staged) bool {
	if n.Answer && n.Outcome != OK {
		return false
	}
	fresh := n.Build != w.build || n.Stage != w.stage || n.Phase != w.phase
	w.build, w.stage, w.phase, w.cap = n.Build, n.Stage, n.Phase, n.Cap
	w.spoiled[n.Build] = n.Phase == GoingBack || n.Phase == Withdrawn
	return fresh
}

// capped tells the cap and stage that bind a build, if one does.
func (w *wave) capped(build int) (cap float64, stage int, bound bool) {
	switch {
	case build > w.build: // not announced yet: as in the first stage
		return w.plan.Caps[0], 0, true
	case build == w.build && w.phase != Released:
		return w.cap, w.stage, true
	}
	return 1, len(w.plan.Caps), false
}

type tick struct {
	at    Micros
	build int // taken: -1
}

const takenMark = -1

type txn struct {
	Taken
	at       Micros
	fraction float64
	spot     uint64
	on       *appliance
	sentAt   Micros
	seq      int
	ran      *Row // where it may have run first
	ranAt    Micros
	tried    []*appliance
	begun    bool
}

// desk routes txns and answers them.
type desk struct {
	inbox
	*line
	wave
	fleet    *fleet
	judge    *judge
	products []Product
	hand     Handover
	cold     ColdStart
	zone     int
	agents   int
	count    Exposure
	homeward float64
	taken    [][]tick
	txns     map[uint64]*txn
	held     []*txn
	bound    map[uint64]int // one-way: the build that answered a key
	usual    float64        // moving mean of told work, or else of answer times
}

func (d *desk) take(n note) {
	switch n := n.(type) {
	case Taken:
		h := n.Key
		if h == 0 {
			h = n.ID
		}
		t := &txn{Taken: n, at: d.now, spot: mix(h ^ ringSalt), fraction: float64(mix(h^sliceSalt)>>11) / (1 << 53)}
		d.txns[n.ID] = t
		if n.Work > 0 {
			d.usual += (float64(n.Work) - d.usual) * usualFade
		}
		d.tally(n.Product, takenMark)
		d.route(t)
	case Ended:
		d.ended(n)
	case Abandoned:
		delete(d.txns, n.ID)
	case Begun:
		if t := d.txns[n.ID]; t != nil {
			t.begun = true
		}
	case Staged:
		d.hear(n) // a lower cap binds at once, and what was sent before still counts: never too much
	case beat:
		sort.SliceStable(d.held, func(i, j int) bool {
			return d.products[d.held[i].Product].Revenue > d.products[d.held[j].Product].Revenue
		})
		held := d.held
		d.held = nil
		for _, t := range held {
			d.put(t) // one note each: appliances read their mail in between, or all would go to one
		}
	case *txn:
		d.route(n)
	}
}

func (d *desk) ended(n Ended) {
	a, t := d.fleet.byID[n.Appliance], d.txns[n.ID]
	if a == nil {
		return
	}
	k := told{Ended: n, by: a, product: -1}
	if t != nil {
		k.product, k.sla = t.Product, d.products[t.Product].SLA
	}
	a.put(k)
	d.judge.put(k)
	if n.Outcome == OK && (t == nil || t.Work == 0) {
		d.usual += (float64(n.Took) - d.usual) * usualFade
	}
	if t == nil {
		return
	}
	if n.Outcome == OK && d.plan.OneWay && t.Key != 0 && a.Build > d.bound[t.Key] {
		d.bound[t.Key] = a.Build
	}
	if n.Over {
		delete(d.txns, n.ID)
		return
	}
	t.on = nil
	switch n.Outcome {
	case Errored, TimedOut, Broken, CalledOff:
		if t.ran == nil {
			row := a.Row
			t.ran, t.ranAt = &row, t.sentAt
		}
	}
	t.tried = append(t.tried, a)
	d.route(t)
}

func (d *desk) slot(product int) int {
	if d.count.ByProduct {
		return product
	}
	return 0
}

// windowEdge: two beats longer than the told window, so that no rounding of its ends matters.
const windowEdge = 2 * beatEvery

func (d *desk) tally(product, build int) {
	i := d.slot(product)
	l := d.taken[i]
	for len(l) > 0 && l[0].at < d.now-d.count.Window-windowEdge {
		l = l[1:]
	}
	d.taken[i] = append(l, tick{d.now, build})
}

// room holds the cap over every window that ends now or begins in the past one, whatever comes later.
func (d *desk) room(product, build int, cap float64) bool {
	balance := 1.0
	l := d.taken[d.slot(product)]
	for i := len(l) - 1; i >= 0; i-- {
		switch l[i].build {
		case build:
			balance++
		case takenMark:
			balance -= cap
		}
		if balance > d.count.Free+1e-9 {
			return false
		}
	}
	return cap > 0
}

// may holds the five rules; every submission passes it.
func (d *desk) may(t *txn, a *appliance) bool {
	p := &d.products[t.Product]
	// Rule 1: nothing goes out after the end. Rule 2: never two at once.
	if d.txns[t.ID] != t || t.begun || d.now >= t.Expires || t.on != nil || t.seq >= d.hand.MaxSubmissions {
		return false
	}
	// Rule 2: what may have run goes only where a repeat does no harm.
	if t.ran != nil && p.Effect != InquiryLike {
		same := p.Group == ScopeAll || p.Group == ScopeZone && a.Zone == t.ran.Zone ||
			p.Group == ScopeCell && a.Cell == t.ran.Cell
		if p.Effect == OnceOnly || !same || d.now >= t.ranAt+p.Memory {
			return false
		}
	}
	// Rule 3: the list's word binds at once, well inside the grace.
	if !a.ready() {
		return false
	}
	// Rule 4: each agent keeps to its part of what a cold appliance can take before it falls over.
	if pace := a.pace(); pace < 1 {
		work := d.work(t)
		for _, w := range a.sends {
			work += w.work
		}
		if work > coldShare*d.cold.Multiple*pace*float64(d.cold.After)/float64(d.agents) && len(a.sends) > 0 {
			return false
		}
	}
	// Rule 5: the cap, the guarded stages, and the one way.
	if cap, stage, bound := d.capped(a.Build); bound {
		if stage < d.plan.Guarded && p.Effect != InquiryLike || !d.room(t.Product, a.Build, cap) {
			return false
		}
	}
	return a.Build >= d.oneWay(t)
}

// coldShare of the told multiple, for what the estimates of work miss.
const coldShare = 0.5

// usualFade: the usual work looks back over some fifty txns.
const usualFade = 0.02

// work is what a txn is expected to need, and never under the usual: hints are rough, and a budget that only
// small ones pass would be filled with those that are not as small as told.
func (d *desk) work(t *txn) float64 { return max(float64(t.Work), d.usual) }

// oneWay is the lowest build that the txn's key may still go to.
func (d *desk) oneWay(t *txn) int {
	if b := d.bound[t.Key]; d.plan.OneWay && t.Key != 0 && !d.spoiled[b] {
		return b
	}
	return 0
}

func (d *desk) submit(t *txn, a *appliance) {
	if !d.may(t, a) {
		return
	}
	t.on, t.sentAt = a, d.now
	t.seq++
	if _, _, bound := d.capped(a.Build); bound {
		d.tally(t.Product, a.Build)
	}
	a.put(sent{d.work(t)})
	d.give(Submit{ID: t.ID, Appliance: a.ID})
}

const (
	trial   = iota // the newest build in the list, on trial or just released
	earlier        // builds to go to otherwise
	leaving        // builds that went back
)

func (d *desk) rank(build, top int) int {
	switch {
	case d.spoiled[build]:
		return leaving
	case build == top && build >= d.build && build > 0:
		return trial
	case build == d.build && d.phase == OnTrial:
		return leaving // a later build is there: this one is being taken off
	}
	return earlier
}

// top is the highest build in the list that has not gone back.
func (d *desk) top() int {
	top := 0
	for _, a := range d.fleet.all {
		if a.ready() && !d.spoiled[a.Build] {
			top = max(top, a.Build)
		}
	}
	return top
}

// sliceOfCap is the design's: the slice stays this far inside the cap, so that repeats find room in the count.
const sliceOfCap = 0.8

// slice is the fraction of txns that go to the top build.
func (d *desk) slice(top int) float64 {
	var fresh, old float64
	for _, a := range d.fleet.all {
		if a.ready() {
			switch d.rank(a.Build, top) {
			case trial:
				fresh += a.weight()
			case earlier:
				old += a.weight()
			}
		}
	}
	places := max(fresh, old)
	if d.plan.InPlace {
		places = fresh + old
	}
	if fresh == 0 {
		return 0
	}
	share := min(1, fresh/places)
	if cap, _, bound := d.capped(top); bound {
		share = min(share, sliceOfCap*cap)
	}
	return share
}

func (d *desk) route(t *txn) {
	if d.txns[t.ID] != t || t.on != nil {
		return
	}
	if t.seq > 0 && d.now >= t.at+d.products[t.Product].SLA {
		d.answer(t) // too late to go again: more work for no worth
		return
	}
	top := d.top()
	order := []int{earlier, trial, leaving}
	if t.fraction < d.slice(top) {
		order = []int{trial, earlier, leaving}
	}
	for _, want := range order {
		if a := d.pick(t, want, top); a != nil {
			d.submit(t, a)
			return
		}
	}
	if d.hopeless(t) {
		d.answer(t)
		return
	}
	d.held = append(d.held, t)
}

// holdPart of its SLA time is the longest that a txn is held: the rest is for its answer.
const holdPart = 0.5

// hopeless: no appliance may take the txn now and none will in time.
func (d *desk) hopeless(t *txn) bool {
	p := &d.products[t.Product]
	return t.seq >= d.hand.MaxSubmissions || d.now >= t.Expires-2*beatEvery || d.now >= t.at+Micros(holdPart*float64(p.SLA)) ||
		t.ran != nil && (p.Effect == OnceOnly || p.Effect == Referenced && d.now >= t.ranAt+p.Memory)
}

// loadSlack lets an appliance hold a quarter more than its part before the ring goes on: the usual figure for
// consistent hashing with bounded loads.
const loadSlack = 1.25

// pick walks the ring of one rank: the eligible appliance with the nearest point clockwise. A point's way
// counts by the weight, so a ramping appliance's arcs are short.
func (d *desk) pick(t *txn, want, top int) *appliance {
	var open []*appliance
	var held, weight float64
	for _, a := range d.fleet.all {
		if a.healthy() && d.rank(a.Build, top) == want && d.may(t, a) {
			open = append(open, a)
			held += float64(a.out)
			weight += a.weight()
		}
	}
	var best *appliance
	bestBy := math.Inf(1)
	for _, a := range open {
		by := a.reach(t.spot) / a.weight()
		if a.Zone != d.zone {
			by *= d.homeward
		}
		// Past its part of the load, or tried before: only when nothing else is open.
		if float64(a.out) >= math.Ceil(loadSlack*(held+1)*a.weight()/weight) {
			by *= 1 << 20
		}
		for _, b := range t.tried {
			if a == b {
				by *= 1 << 20
			}
		}
		if by < bestBy {
			best, bestBy = a, by
		}
	}
	return best
}

// answer is the one final answer of a txn that was not settled.
func (d *desk) answer(t *txn) {
	p := &d.products[t.Product]
	harmless := t.ran == nil || p.Effect == InquiryLike ||
		p.Effect == Referenced && p.Group == ScopeAll && d.now < t.ranAt+p.Memory
	delete(d.txns, t.ID)
	if harmless {
		d.give(Decline{ID: t.ID})
	} else {
		d.give(Void{ID: t.ID})
	}
}

// judge weighs the build on trial and votes.
type judge struct {
	inbox
	*line
	wave
	fleet                *fleet
	polling              Polling
	since                Micros // the stage's start, or this agent's if later
	ratio                float64
	seen                 int
	good, bad            float64 // the earlier build's outcomes, fading
	cast                 Verdict
	castAt               Micros
	quiet                Micros
	calm, calmSeen       []float64 // answer times before the release, by product
	done, rate, calmRate float64   // txns completed: since the last beat, a µs now, a µs in the calm
	feltAt               Micros
	slowFrom             Micros // the fleet drags since
}

const (
	// The design's figures.
	rateFloor   = 0.01
	rateTimes   = 3
	leastSeen   = 10
	crossing    = 3
	onAfter     = 3 * second
	stageClock  = 5 * second
	holdAbove   = 1
	youngServer = 2 * second // "started seconds ago": past the first cold seconds
	// baseFade: the earlier build's rate looks back over some hundreds of outcomes.
	baseFade = 0.997
	// renewAt: votes are renewed with a third of their life left, room for one lost answer.
	renewAt = 0.66
	// fullPause and voteRetry: after 'full' the launcher gets a second, after other failures a short wait.
	fullPause = 1 * second
	voteRetry = 250 * ms
)

func (j *judge) take(n note) {
	switch n := n.(type) {
	case Staged:
		if n.Answer && n.Outcome != OK {
			j.cast, j.quiet = NoVote, j.now+voteRetry
			if n.Outcome == TurnedOff {
				j.quiet = j.now + fullPause
			}
		}
		if j.hear(n) {
			j.ratio, j.seen, j.cast = 0, 0, NoVote
			j.since = max(j.now-n.Age, j.began)
		}
	case told:
		// A time-out says that something is overloaded, not what: late in a release there is no earlier
		// build left to compare with, and good builds were sent back for it.
		if n.Outcome == OK || n.Outcome == Errored {
			j.weigh(n.by, n.Outcome != OK)
		}
		if n.Outcome == OK {
			j.done++
		}
		if n.product >= 0 && (n.Outcome == OK || n.Outcome == TimedOut) {
			j.time(n)
		}
	case beat:
		j.feel()
	}
	j.vote()
}

func (j *judge) weigh(a *appliance, failed bool) {
	if a.Build != j.build || j.phase == GoingBack || j.phase == Withdrawn {
		if a.Build < j.build && !j.spoiled[a.Build] {
			j.good, j.bad = j.good*baseFade, j.bad*baseFade
			if failed {
				j.bad++
			} else {
				j.good++
			}
		}
		return
	}
	if a.Started > 0 && j.now-a.Started < youngServer {
		return
	}
	r0 := max(rateFloor, j.bad/max(1, j.good+j.bad))
	r1 := min(rateTimes*max(rateFloor, r0), 0.95)
	r0 = min(r0, r1/1.05)
	j.seen++
	if failed {
		j.ratio += math.Log(r1 / r0)
	} else {
		j.ratio += math.Log((1 - r1) / (1 - r0))
	}
	// A build may turn bad late: good outcomes are not saved up beyond the crossing.
	j.ratio = max(j.ratio, -crossing-1)
}

const (
	// dragFade: an appliance's last five or six answers.
	dragFade = 0.15
	// calmFade: the calm's answer times, from some fifty answers of the product.
	calmFade = 0.02
	// dragMost bounds one answer's say.
	dragMost = 8.0
	// dragTimes for dragLasts: jams of traffic pass in less or touch less than half the fleet.
	dragTimes = 1.6
	dragLasts = 10 * second
	// dragHolds back the vote to go on as soon as this: a delay is cheap.
	dragHolds = 1 * second
	// dragDone: fewer txns completed than this part of the calm's, or it is only more traffic.
	dragDone = 0.8
	// doneSpan and calmSpan: completions are averaged over these times.
	doneSpan = 3 * second
	calmSpan = 10 * second
	// settleAfter its release, a build counts as part of the calm.
	settleAfter = 15 * second
)

// time compares an answer with those before the release, product by product.
func (j *judge) time(n told) {
	p := n.product
	for len(j.calm) <= p {
		j.calm, j.calmSeen = append(j.calm, 0), append(j.calmSeen, 0)
	}
	if j.quietTime() {
		j.calmSeen[p]++
		j.calm[p] += (float64(n.Took) - j.calm[p]) * max(calmFade, 1/j.calmSeen[p])
	}
	if j.calmSeen[p] >= leastSeen {
		n.by.put(dragged{min(dragMost, float64(n.Took)/j.calm[p])})
	}
}

// quietTime: no release is in hand and nothing drags.
func (j *judge) quietTime() bool {
	return j.build == 0 || j.phase != OnTrial && j.settled() && j.slowFrom == 0
}

// settled: the release has been out for a while, or since before this agent came.
func (j *judge) settled() bool { return j.since <= j.began || j.now-j.since > settleAfter }

// feel guards against a release that slows old and new alike, where no comparison of builds can show it: the
// median appliance, so more than half the fleet, answers far slower than before the release, completes less, and goes on so.
// It should catch any harm a release does to what all share. It may send a good build back in a jam of the
// whole fleet that begins during a release and lasts longer than dragLasts.
func (j *judge) feel() {
	var drags []float64
	for _, a := range j.fleet.all {
		if a.ready() && a.pace() >= 1 {
			drags = append(drags, a.drag)
		}
	}
	sort.Float64s(drags)
	age, dt := float64(j.now-j.began)+1, float64(j.now-j.feltAt)
	rate := j.done / max(1, dt)
	j.done, j.feltAt = 0, j.now
	j.rate += (rate - j.rate) * min(1, max(dt/float64(doneSpan), dt/age))
	if j.quietTime() {
		j.calmRate += (rate - j.calmRate) * min(1, max(dt/float64(calmSpan), dt/age))
	}
	if len(drags) == 0 || drags[len(drags)/2] < dragTimes || j.rate > dragDone*j.calmRate {
		j.slowFrom = 0
	} else if j.slowFrom == 0 {
		j.slowFrom = j.now
	}
}

func (j *judge) verdict() Verdict {
	if j.build == 0 || j.phase == GoingBack || j.phase == Withdrawn {
		return NoVote
	}
	if j.seen >= leastSeen && j.ratio >= crossing {
		return Back
	}
	if j.slowFrom > 0 && j.now-j.slowFrom >= dragLasts && (j.phase == OnTrial || !j.settled()) {
		return Back
	}
	if j.polling.Ballot == BallotTimer {
		if j.phase == OnTrial && j.ratio > holdAbove {
			return Hold
		}
		return NoVote
	}
	if j.phase != OnTrial {
		return NoVote
	}
	if j.slowFrom > 0 && j.now-j.slowFrom >= dragHolds {
		return NoVote
	}
	newest := Micros(math.MinInt64 / 2)
	for _, a := range j.fleet.all {
		if a.ready() && a.Build == j.build {
			newest = max(newest, a.Started)
		}
	}
	if j.seen >= leastSeen && j.ratio <= -crossing && j.now-newest >= onAfter ||
		j.now-j.since >= stageClock && j.ratio <= holdAbove {
		return On
	}
	return NoVote
}

func (j *judge) vote() {
	v := j.verdict()
	if j.now < j.quiet || v == j.cast && (v == NoVote || j.now-j.castAt < Micros(renewAt*float64(j.polling.Stands))) {
		return
	}
	j.cast, j.castAt = v, j.now
	j.give(Vote{Build: j.build, Stage: j.stage, Verdict: v})
}
