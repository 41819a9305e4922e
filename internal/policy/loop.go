// The loop that empties the inboxes, and other machinery that decides nothing.

package policy

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand"
	"slices"
	"sort"
)

// Handle hands an event to the parts, empties the inboxes, and sees that a bell is asked for.
func (g *agent) Handle(now Micros, ev Event) []Command {
	g.now, g.out = now, nil
	_, ring := ev.(TimerFired)
	if ring = ring && now >= g.due; g.began < 0 {
		g.began, ring = now, true
	}
	for _, p := range g.parts {
		p.put(ev) // each takes what concerns it
		if ring {
			p.put(beat{})
		}
	}
	for g.step() {
	}
	next := now + g.desk.rest()
	if ring || next < g.due {
		g.due = next
		g.give(SetTimer{At: next})
	}
	return g.out
}

const (
	ms     Micros = 1000
	second        = 1000 * ms
)

type inbox struct {
	notes []note
	read  int
}

func (b *inbox) put(n note) { b.notes = append(b.notes, n) }

func (b *inbox) next() (n note) {
	if b.read < len(b.notes) {
		n, b.read = b.notes[b.read], b.read+1
		return n
	}
	b.notes, b.read = b.notes[:0], 0
	return nil
}

// put also queues the appliance for the loop, so that emptying the inboxes does not cost a look at each.
func (a *appliance) put(n note) {
	if a.inbox.put(n); !a.queued {
		a.queued, a.line.mail = true, append(a.line.mail, a)
	}
}

type part interface {
	put(note)
	next() note
	take(note)
}

func (l *line) give(o Command) { l.out = append(l.out, o) }

// upTo is a random span below the given one.
func (l *line) upTo(span Micros) Micros { return Micros(l.chance.Int63n(int64(span))) }

// step empties one note. Appliances come first, so that no pick reads a record with mail waiting.
func (g *agent) step() bool {
	for len(g.mail) > 0 {
		a := g.mail[0]
		if n := a.next(); n != nil {
			a.take(n)
			return true
		}
		a.queued, g.mail = false, g.mail[1:]
	}
	g.mail = nil
	for _, p := range g.parts {
		if n := p.next(); n != nil {
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

// reach is the way clockwise from a spot to this appliance's nearest point.
func (a *appliance) reach(spot uint64) float64 {
	i := sort.Search(len(a.points), func(i int) bool { return a.points[i] >= spot })
	return float64(a.points[i%len(a.points)]-spot) + 1
}

// slot is the ledger that counts for a product.
func (d *desk) slot(product int) *[]entry {
	if d.count.PerClass {
		return &d.ledger[product]
	}
	return &d.ledger[0]
}

// lately is what is remembered of a key. One not met for a span has no load left, so it is as good as forgotten; two
// spans' keys are kept at the most.
func (d *desk) lately(key uint64, span Micros) popular {
	if d.now >= d.forgetAt {
		d.recent, d.before, d.forgetAt = map[uint64]popular{}, d.recent, d.now+span
	}
	if r, met := d.recent[key]; met {
		return r
	}
	return d.before[key]
}

// room is fits, asked once for each state of the ledger: in a jam every txn held asks again at every beat, and with
// a thousand txns a second the count has thousands of entries.
func (d *desk) room(product, build int, cap float64) bool {
	a, l := &d.asked, d.slot(product)
	if now := (answered{l, build, cap, d.entries, false}); *a != now && *a != (answered{l, build, cap, d.entries, true}) {
		now.fits = d.fits(product, build, cap)
		*a = now
	}
	return a.fits
}

// least is the lowest limit: of all agents together, one open a core.
func (a *appliance) least() float64 { return a.fleet.least * a.fleet.carries }

// take keeps the records by the list and hands on what concerns a single one.
func (f *fleet) take(n note) {
	switch n := n.(type) {
	case EndpointUpdate:
		for _, a := range f.all {
			a.listed = a.listed && !n.Full
		}
		for _, row := range n.Endpoints {
			a := f.byID[row.ID]
			if a == nil {
				a = &appliance{line: f.line, fleet: f, probes: f.probes, cold: f.cold, points: points(row.ID, f.points, f.salt)}
				f.byID[row.ID], f.all = a, append(f.all, a)
			}
			a.listed = true
			f.zones = max(f.zones, row.Zone+1)
			a.put(row)
		}
		for _, a := range f.all {
			if row := a.Endpoint; !a.listed && a.State != Gone {
				row.State = Gone
				a.put(row)
			}
		}
		f.all = slices.DeleteFunc(f.all, func(a *appliance) bool {
			if a.State != Gone || a.out > 0 || a.queued {
				return false // it has an outcome to come, or mail
			}
			delete(f.byID, a.ID)
			return true
		})
	case beat:
		for _, a := range f.all {
			if a.aside > 0 || len(a.sends) > 0 { // the others wait for nothing
				a.put(n)
			}
		}
	case HealthCheckResult:
		if a := f.byID[n.EndpointID]; a != nil {
			a.put(n)
		}
	}
}

// points are an appliance's places on the ring, sorted.
func points(id uint32, count int, salt uint64) []uint64 {
	out := make([]uint64, count)
	for i := range out {
		out[i] = mix(mix(uint64(id)^salt) + uint64(i))
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// hear keeps the launcher's news and tells whether build, stage or phase are new.
func (w *wave) hear(n RolloutUpdate) bool {
	if n.IsVoteReply && n.Outcome != OK {
		return false
	}
	fresh := n.Build != w.build || n.Stage != w.stage || n.Phase != w.phase
	w.build, w.stage, w.phase, w.cap = n.Build, n.Stage, n.Phase, n.Cap
	w.spoiled[n.Build] = n.Phase == RollingBack || n.Phase == RolledBack
	return fresh
}

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// newest is the last start among a build's ready appliances.
func (f *fleet) newest(build int) Micros {
	newest := Micros(math.MinInt64 / 2)
	for _, a := range f.all {
		if a.ready() && a.Build == build {
			newest = max(newest, a.Started)
		}
	}
	return newest
}

// highest is the highest build that is ready anywhere, but for some.
func (f *fleet) highest(but map[int]bool) (top int) {
	for _, a := range f.all {
		if a.ready() && !but[a.Build] {
			top = max(top, a.Build)
		}
	}
	return top
}

// count is the number of a build's ready appliances.
func (f *fleet) count(build int) (n int) {
	for _, a := range f.all {
		n += int(one(a.ready() && a.Build == build))
	}
	return n
}

// failing tells whether a ready appliance with an earlier build answers errors for more than the given share.
func (f *fleet) failing(build int, share float64) bool {
	for _, a := range f.all {
		if a.ready() && a.Build < build && a.errs > share {
			return true
		}
	}
	return false
}

// An outcome on its way to a peer takes lineBytes: appliance, build, product, outcome, whole ms, and what it holds.
// A word of the bench is a line too: build, stage, verdict.
const lineBytes, turnedLine, wordLine, wentLine = 10, 0xff, 0xfe, 0xfd

func putLine(to []byte, n told) []byte {
	to = binary.LittleEndian.AppendUint32(to, n.EndpointID)
	to = append(to, byte(n.by.Build), byte(n.product), byte(n.Outcome))
	to = binary.LittleEndian.AppendUint16(to, uint16(min(max(0, n.Elapsed/ms), math.MaxUint16)))
	return append(to, byte(min(max(0, n.held+1), math.MaxUint8))) // 0: it does not say
}

// lines reads a peer's sheet; what is not known here is skipped.
func (j *judge) lines(from int, sheet []byte) (out []note) {
	for ; len(sheet) >= lineBytes; sheet = sheet[lineBytes:] {
		if sheet[6] == turnedLine {
			out = append(out, turned{peer: true})
			continue
		}
		if sheet[6] == wordLine {
			out = append(out, word{from, int(binary.LittleEndian.Uint32(sheet)), int(sheet[4]), Verdict(sheet[5]), j.now})
			continue
		}
		a, p := j.fleet.byID[binary.LittleEndian.Uint32(sheet)], int(sheet[5])
		if a != nil && sheet[6] == wentLine {
			out = append(out, went{to: a, peer: true})
			continue
		}
		if a == nil || byte(a.Build) != sheet[4] || p >= len(j.products) || sheet[6] > byte(Malformed) {
			continue
		}
		out = append(out, told{AttemptResult: AttemptResult{
			EndpointID: a.ID, Outcome: Outcome(sheet[6]),
			Elapsed: Micros(binary.LittleEndian.Uint16(sheet[7:])) * ms,
		}, by: a, product: p, sla: j.products[p].LatencyObjective, peer: true, held: float64(sheet[9]) - 1})
	}
	return out
}

// close forgets a txn, but for one with a submission out: its answer may still bind its key.
func (d *desk) close(t *txn) {
	if t == nil {
		return
	}
	if t.closed = true; t.on == nil {
		delete(d.txns, t.ID)
	}
}

// pass writes an outcome on the sheet for the bench.
func (j *judge) pass(n told) {
	if j.bench == nil || n.product < 0 {
		return
	}
	if len(j.sheet) == 0 {
		j.sheetAt = j.now
	}
	if j.sheet = putLine(j.sheet, n); len(j.sheet) > sheetMost || j.shares {
		j.send()
	}
}

// wordFor is a word as it goes to those who are not on the bench.
func (j *judge) wordFor(v Verdict) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(j.build)), byte(j.stage), byte(v), wordLine, 0, 0, 0)
}

// toll gives a text to all agents but this one.
func (j *judge) toll(text []byte) {
	for i := range j.agents {
		if i != j.me {
			j.give(SendGossip{To: i, Payload: text})
		}
	}
}

// digestBytes is no whole number of lines, so that a digest is known by its length.
const digestBytes = 64

// spotOf is an appliance's bit in a digest.
func spotOf(id uint32) (at int, bit byte) {
	h := mix(uint64(id)) % (8 * digestBytes)
	return int(h / 8), 1 << (h % 8)
}

// most is what more than half of the bench hold of this stage, if their words are new enough.
func (j *judge) most() (Verdict, bool) {
	var says [RollBack + 1]int
	for _, w := range j.words {
		if w.build == j.build && (w.stage == j.stage || w.verdict == RollBack) && w.verdict <= RollBack && j.now-w.at < wordLasts {
			says[max(0, w.verdict)]++
		}
	}
	for v, n := range says {
		if 2*n > seats {
			return Verdict(v), true
		}
	}
	return NoVote, false
}

func (j *judge) send() {
	for _, i := range j.bench {
		if i != j.me {
			j.give(SendGossip{To: i, Payload: j.sheet})
		}
	}
	j.sheet = nil
}

func (d *desk) zone(i int) *zone {
	for len(d.zones) <= i {
		d.zones = append(d.zones, &zone{limit: manyOpen})
	}
	return d.zones[i]
}

func (z *zone) open() bool { return float64(z.out+1) <= z.limit }

// New puts an agent's parts together from what it is told at its start.
func New(st Instance, products []RequestClass, plan RolloutPlan, polling VotingRules, count ExposureLimit, cold SlowStart,
	hand RetryLimits, may Capabilities, fares CostWeights,
) Router {
	g := &agent{line: &line{chance: rand.New(rand.NewSource(st.Seed)), began: -1}}
	g.fleet = &fleet{
		line: g.line, byID: map[uint32]*appliance{}, probes: may.HealthChecks, cold: cold, sized: st.HasWeights,
		points: ringPoints, salt: ringSalt, carries: 1, least: 1 / float64(st.Agents),
	} // one open of all agents together
	g.judge = &judge{
		line: g.line, wave: wave{spoiled: map[int]bool{}, plan: plan}, fleet: g.fleet,
		polling: polling, products: products, agents: st.Agents, me: st.Index, earlier: make([]sampled, len(products)), share: 1, calmShare: 1, calm: make([]float64, len(products)), calmSeen: make([]float64, len(products)),
	}
	if may.Gossip {
		g.judge.seat(st)
	}
	g.desk = &desk{
		line: g.line, wave: wave{spoiled: map[int]bool{}, plan: plan}, fleet: g.fleet, judge: g.judge,
		post: st, products: products, hand: hand, cold: cold, count: count,
		fare: fares.CrossZone, ledger: make([][]entry, len(products)),
		blame: map[int]float64{}, txns: map[uint64]*txn{}, gone: map[uint64]parting{}, returns: returnsFirst, bound: map[uint64]int{}, recent: map[uint64]popular{},
	}
	for _, p := range products {
		g.desk.usual = max(g.desk.usual, float64(p.LatencyObjective)/4) // until txns tell
	}
	g.lister = &lister{line: g.line, ask: may.EndpointPolling}
	g.parts = []part{g.fleet, g.judge, g.desk, g.lister}
	return g
}

func (d *desk) enter(product, build int) {
	l := d.slot(product)
	for len(*l) > 0 && (*l)[0].at < d.now-d.count.Window-windowEdge {
		*l = (*l)[1:]
	}
	*l = append(*l, entry{d.now, build})
	d.entries++
}

// expect counts those turned away who have not come back in the time that they had.
func (d *desk) expect() {
	for len(d.left) > 0 && d.left[0].at < d.now-d.hand.MaxRetryAfter-backWithin {
		if last := d.left[0]; d.gone[last.who] == last {
			delete(d.gone, last.who)
			d.returns *= 1 - returnFade
		}
		d.left = d.left[1:]
	}
}

func (j *judge) inTime(yes bool) {
	j.done += one(yes)
	if j.share += (one(yes) - j.share) * doseFade; j.calmNow() {
		j.calmShare = j.share
	}
}

// time compares an answer with those of the calm, product by product.
func (j *judge) time(n told) {
	p := n.product
	if j.calmNow() {
		j.calmSeen[p]++
		j.calm[p] += (float64(n.Elapsed) - j.calm[p]) * max(calmFade, 1/j.calmSeen[p])
	}
	if j.calmSeen[p] >= leastSeen {
		j.times = append(j.times, float64(n.Elapsed)/j.calm[p])
		j.times = j.times[max(0, len(j.times)-j.lasts()):]
	}
}

// lot draws some of the agents' numbers, the same wherever it is drawn.
func lot(agents, some int, salt uint64) []int {
	all := make([]int, agents)
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(mix(uint64(a)^salt), mix(uint64(b)^salt)) })
	return all[:some]
}

// whole counts the appliances that are there and warm.
func (f *fleet) whole() (n float64) {
	for _, a := range f.all {
		if a.ready() && a.now >= a.aside {
			n += a.pace()
		}
	}
	return n
}

// lasts is how many answers are looked at.
func (j *judge) lasts() int {
	if j.sits {
		return benchLast
	}
	return dragLast
}

func median(of []float64) float64 {
	sorted := slices.Clone(of)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func (d *desk) rest() Micros {
	if len(d.held) > 0 {
		return beatEvery
	}
	return restEvery
}

// part is this agent's part of a zone's ready appliances, were all agents alike.
func (f *fleet) part(zone, agents int) (n float64) {
	for _, a := range f.all {
		n += one(a.ready() && a.Zone == zone)
	}
	return n / float64(agents)
}

// anyOpen tells whether any zone may be sent more.
func (d *desk) anyOpen() bool {
	for i := 0; i < d.fleet.zones; i++ {
		if d.zone(i).open() {
			return true
		}
	}
	return false
}

// judges: alone, or from the bench.
func (j *judge) judges() bool { return j.bench == nil || j.sits }

// lower is the lower of the two in the middle.
func lower(of []float64) float64 {
	sorted := slices.Clone(of)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}

// heard is the number of a build's ready appliances that have said something, this one among them.
func (f *fleet) heard(b *appliance) (n int) {
	for _, a := range f.all {
		n += int(one(a == b || a.spoke && a.ready() && a.Build == b.Build))
	}
	return n
}

// take keeps an appliance's counts and hands its notes to what decides on them.
func (a *appliance) take(n note) {
	switch n := n.(type) {
	case Endpoint:
		if n.Started != a.Started || n.Build != a.Build || n.State == Gone || a.limit == 0 {
			a.health, a.sends = health{limit: firstLimit}, nil
		}
		a.Endpoint = n
	case sent:
		if a.sla = n.sla; a.out == 0 {
			a.waits = a.now
		}
		a.out++
		a.sends = append(a.sends, load{a.now, n.work})
	case went:
		a.held++
	case told:
		if a.correct(n.held); !n.peer {
			a.out, a.waits = max(0, a.out-1), a.now
			a.learn(n)
		}
	case say:
		a.late = max(a.late+n.late, -crossing-1)
		if n.step != 0 {
			a.said, a.fails = max(a.said+n.step, n.least), max(0, a.fails+n.step)
		}
		if n.late != 0 {
			a.lag = max(a.lag+n.late, n.least)
		}
		a.spoke = a.spoke || n.step != 0 || n.late != 0
		if n.anew {
			a.said, a.fails, a.late, a.lag, a.spoke = 0, 0, 0, 0, false
		}
	case beat:
		for len(a.sends) > 0 && a.sends[0].at <= a.now-a.cold.OverloadAfter {
			a.sends = a.sends[1:]
		}
		a.ask()
	case HealthCheckResult:
		a.answered(n.Outcome)
	}
}

func (a *appliance) ready() bool { return a.State == Ready }

// take keeps the desk's books and hands its notes to what decides on them.
func (d *desk) take(n note) {
	switch n := n.(type) {
	case RequestArrived:
		t := &txn{RequestArrived: n, at: cmp.Or(n.ArrivedAt, d.now)}
		h := cmp.Or(n.Key, n.ID)
		t.fraction = float64(mix(h^sliceSalt)>>11) / (1 << 53)
		t.who = mix(mix(h+uint64(n.Class)) + uint64(n.Tenant))
		d.meet(t)
		t.spot = d.spot(t)
		d.txns[n.ID] = t
		d.enter(n.Class, takenMark)
		d.route(t)
	case AttemptResult:
		d.ended(n)
	case RequestCancelled:
		d.close(d.txns[n.RequestID])
	case RolloutUpdate:
		d.hear(n) // a lower cap binds at once, and what was sent before still counts: never too much
	case beat:
		d.expect()
		worth := func(i int) float64 { return d.products[d.held[i].Class].PriorityWeight }
		sort.SliceStable(d.held, func(i, j int) bool { return worth(i) > worth(j) })
		for _, t := range d.held {
			d.put(t) // one note each: appliances read their mail in between, or all would go to one
		}
		d.held = nil
	case *txn:
		d.route(n)
	}
}

// entitle makes an ending the note that appliance and judge get; the txn is none where it was over before.
func (d *desk) entitle(n AttemptResult, a *appliance, t *txn) (told, *txn) {
	if t != nil && n.Outcome == OK && d.plan.KeysNeverGoBack && t.Key != 0 && a.Build > d.bound[t.Key] {
		d.bound[t.Key] = a.Build
	}
	if t != nil && t.closed {
		delete(d.txns, n.RequestID)
		t = nil
	}
	k := told{AttemptResult: n, by: a, product: -1, held: -1}
	if at := d.post.LoadReport.InFlight; at > 0 && at <= len(n.Load) {
		k.held = float64(n.Load[at-1])
	}
	_, _, k.trial = d.capped(a.Build)
	if t != nil {
		k.product, k.sla = t.Class, d.products[t.Class].LatencyObjective
		k.own = d.owns(t, n.Outcome, k.trial)
	}
	return k, t
}

// take hands the judge's notes to what decides on them.
func (j *judge) take(n note) {
	switch n := n.(type) {
	case GossipReceived:
		if len(n.Payload) == digestBytes && slices.Contains(j.bench, n.From) {
			j.fleet.digest, j.fleet.digestAt = n.Payload, j.now
			return
		}
		for _, l := range j.lines(n.From, n.Payload) {
			j.put(l)
		}
	case RolloutUpdate:
		if n.IsVoteReply && n.Outcome != OK {
			j.refused(n.Outcome)
		}
		same := n.Build == j.build && (n.Stage == j.stage || j.polls())
		if j.hear(n) {
			j.cast = NoVote
			for _, a := range j.fleet.all {
				a.put(say{anew: !same}) // a release takes its last stage's evidence along
			}
			j.seen, j.sum = j.seen*int(one(same)), j.sum*one(same)
			if n.Build != j.polled {
				j.poll, j.polled = 0, n.Build
			}
			j.since = max(j.now-n.Age, j.began)
		}
	case told:
		j.ended++
		if n.peer {
			n.by.put(n) // for what it holds
		} else if !n.own {
			j.pass(n)
		}
		j.outcome(n)
	case word:
		if i := slices.Index(j.bench, n.from); i >= 0 {
			j.words[i] = n
		}
	case went:
		if n.to.put(n); !n.peer && j.shares {
			j.pass(told{AttemptResult: AttemptResult{EndpointID: n.to.ID, Outcome: wentLine}, by: n.to})
		}
	case turned:
		if !n.peer {
			j.pass(told{AttemptResult: AttemptResult{Outcome: turnedLine}, by: &appliance{}})
		}
		j.inTime(false)
	case MetricsReport:
		j.counted = j.polling.MetricsInterval > 0
		if j.polls() && n.Requests > 0 && n.Class < len(j.products) && n.Build <= j.build && !j.spoiled[n.Build] {
			j.tallies = append(j.tallies, n)
		}
	case ErrorReport:
		if a := j.fleet.byID[n.EndpointID]; a != nil {
			j.weigh(a, failures, true)
		}
	case beat:
		if len(j.sheet) > 0 && j.now >= j.sheetAt+sheetEvery {
			j.send()
		}
		j.summarise()
		j.survey()
		j.feel()
		j.vote()
	}
}

// seat: where agents are more than seats and may tell each other, a few judge on the outcomes of all. Each
// alone sees too little, and of hundreds the one with the worst luck would decide.
func (j *judge) seat(st Instance) {
	if st.Agents <= seats {
		return
	}
	j.bench = lot(st.Agents, seats, ringSalt)
	j.shares = st.LoadReport.InFlight > 0
	j.sits, j.words = slices.Contains(j.bench, st.Index), make([]word, seats)
}

// load is what all ready appliances hold, and their weight.
func (f *fleet) load() (held, weight float64) {
	for _, a := range f.all {
		if a.ready() {
			held, weight = held+a.held, weight+a.weight()
		}
	}
	return held, weight
}

// warmth is the mean of what a build's ready appliances surely can, by now.
func (f *fleet) warmth(build int) float64 {
	sum, n := 0.0, 0.0
	for _, a := range f.all {
		if a.ready() && a.Build == build {
			sum, n = sum+a.pace(), n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// luckiest is the least share of errors of any customer.
func (d *desk) luckiest() float64 {
	least := 1.0
	for _, other := range d.blame {
		least = min(least, other)
	}
	return least
}

// speak tells the others what this one of the bench holds.
func (j *judge) speak(v Verdict) {
	if v != j.holds || (v != NoVote || j.phase == Evaluating) && j.now >= j.wordAt+wordEvery {
		j.holds, j.wordAt = v, j.now
		j.toll(j.wordFor(v))
	}
}

// speaking are a build's ready appliances of which something was heard; where machines fail all around, without those
// that fail.
func (f *fleet) speaking(build int, around bool) (out []*appliance) {
	for _, a := range f.all {
		if a.ready() && a.Build == build && a.spoke && !(around && a.errs > errSome) {
			out = append(out, a)
		}
	}
	return out
}

// besides tells whether a count is of what the build on trial is held against.
func (j *judge) besides(n MetricsReport) bool { return n.Build < j.build || j.settled() }

// period keeps what the launcher counted in one: of the earlier builds, fading, and how many those are now; of all,
// against the calm.
func (j *judge) period() (beside float64) {
	for p := range j.earlier {
		e := &j.earlier[p]
		*e = sampled{e.many * periodFade, e.lost * periodFade, e.took * periodFade}
	}
	at, took, calm, many := 0.0, 0.0, 0.0, 0.0
	for _, n := range j.tallies {
		e, good := &j.earlier[n.Class], float64(n.Requests-n.Failures)
		many += float64(n.Requests)
		at += float64(n.Requests) * one(n.Build == j.build)
		if j.calmSeen[n.Class] >= leastSeen {
			took, calm = took+good*float64(n.MeanLatency), calm+good*j.calm[n.Class]
		}
		if j.besides(n) {
			*e = sampled{e.many + float64(n.Requests), e.lost + float64(n.Failures), e.took + good*float64(n.MeanLatency)}
			beside += float64(n.Requests)
		}
	}
	j.sampleMiddle, j.sampleDose, j.in = took/max(1, calm), at/many, many
	return beside
}

// flow keeps what is done and begun in a time, now and in the calm, and tells the time since the last beat, the warm
// appliances, and the median of the last answers.
func (j *judge) flow() (dt, whole, middle float64) {
	whole = j.fleet.whole()
	age := float64(j.now-j.began) + 1
	dt = float64(j.now - j.feltAt)
	rate, part := j.done/max(1, dt), min(1, max(dt/float64(doneSpan), dt/age))
	if !j.polls() {
		j.in += (j.ended/max(1, dt) - j.in) * part
	}
	j.done, j.ended, j.feltAt = 0, 0, j.now
	j.rate += (rate - j.rate) * part
	if len(j.times) == j.lasts() {
		if middle = median(j.times); j.calmMiddle == 0 {
			j.calmMiddle = middle
		}
	}
	if j.calmNow() {
		part = min(1, max(dt/float64(calmSpan), dt/age))
		j.calmRate += (rate - j.calmRate) * part
		j.calmIn += (j.in - j.calmIn) * part
		j.calmFleet += (whole - j.calmFleet) * part
		if middle > 0 {
			j.calmMiddle += (middle - j.calmMiddle) * part
		}
	}
	return dt, whole, middle
}
