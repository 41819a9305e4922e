// Package policy holds every decision of a switchfork agent: which build and which appliance a txn goes to,
// when it is sent again, declined or voided, and how the agent votes on a release. New makes a Router an
// agent; Handle takes an event with the clock in whole microseconds and returns the orders to carry out
// before the next. port.go has both, record.go the parts' records, loop.go the loop, without decisions. A
// Router does no I/O and reads no clock; the same events give the same orders.
package policy

import (
	"cmp"
	"math"
	"slices"
)

// beatEvery is how often held txns are looked at: well inside the shortest SLA time and grace; restEvery how
// often votes and set-aside appliances are while none is held, as agents with little traffic are many.
const beatEvery, restEvery = 10 * ms, 50 * ms

// Fixed salts, alike on all agents and unlike each other: with one salt the slice's keys would crowd one arc.
const sliceSalt, ringSalt = 0x51ce, 0x2176

// ringPoints: at 64 the arcs' spread is an eighth; the paper's formula shows that more buys little.
const ringPoints = 64

// pace is the part of its capacity that a starting one surely has; all where no time to push it over is told.
func (a *appliance) pace() float64 {
	if a.Started <= 0 || a.cold.Duration <= 0 || a.cold.OverloadAfter <= 0 {
		return 1
	}
	return min(1, a.cold.InitialCapacity+(1-a.cold.InitialCapacity)*float64(max(0, a.now-a.Started))/float64(a.cold.Duration))
}

// weight is the told size, or else what the reports show that it can do, by what it can do of it while cold.
func (a *appliance) weight() float64 {
	size := a.Weight
	if mean := a.fleet.size; !a.fleet.sized && mean > 0 {
		if size = mean; a.busy >= leastBusy {
			size = min(max(a.rate/a.busy, mean/sizeApart), mean*sizeApart)
		}
	}
	return max(size, 1e-9) * a.pace()
}

// reportFade: some ten reports, as each counts few txns; fleetFade, a hundred of all. leastBusy: three of one
// half busy. sizeApart bounds what reports can make of an appliance.
const reportFade, fleetFade, leastBusy, sizeApart = 0.1, 0.01, 0.15, 3

// measure learns from a load report what the appliance can do: what it serves by how busy that makes it.
func (a *appliance) measure(load []float32, at LoadReportFormat) {
	if at.Utilization == 0 || at.Rate == 0 || len(load) < max(at.Utilization, at.Rate) || a.pace() < 1 {
		return
	}
	busy, rate, f := float64(load[at.Utilization-1]), float64(load[at.Rate-1]), a.fleet
	if a.rate, a.busy = a.rate+(rate-a.rate)*reportFade, a.busy+(busy-a.busy)*reportFade; busy >= leastBusy {
		if f.size == 0 {
			f.size = rate / busy
		}
		f.size += (rate/busy - f.size) * fleetFade
	}
}

// reportTrust: reports of what it holds are late and noisy, and set right what lost messages left.
const reportTrust = 0.2

// correct keeps what the appliance holds of all agents' txns, by one that ended and by what it says, if so.
func (a *appliance) correct(held float64) {
	if a.held = max(0, a.held-1); held >= 0 {
		a.held += (held - a.held) * reportTrust
	}
}

func (a *appliance) healthy() bool {
	return !a.asking && a.now >= max(a.aside, a.full) && float64(a.out)+1 <= max(1, a.limit) &&
		(a.out == 0 || float64(a.now-a.waits) < quietPart*float64(a.sla))
}

const (
	// asideFor and asideSpread: the users' practice; a second is the order of a restart's first signs. fullFor:
	// a full appliance works off a txn or two in this time.
	asideFor, asideSpread, fullFor = 1 * second, 500 * ms, 300 * ms
	// quietPart of the SLA time with submissions out and no answer: no more until it answers. It guards against
	// all that goes quiet (frozen, cut off, stuck) before time-outs tell, and may spare one with a long txn.
	quietPart = 0.8
	// silentStrikes: one time-out may be a heavy txn, one break a connection's; two in a row are its own.
	silentStrikes = 2
	// errFade, errMost, errSome: two errors in a row are some, three set it aside.
	errFade, errMost, errSome = 0.2, 0.45, 0.3
)

// ask has one set aside come back by a probe, where probes are allowed.
func (a *appliance) ask() {
	if a.probes && a.aside > 0 && a.now >= a.aside && !a.asking && a.ready() {
		a.asking = true
		a.give(CheckHealth{EndpointID: a.ID})
	}
}

// answered: an error is an answer too: checks may fail where txns are served.
func (a *appliance) answered(o Outcome) {
	if a.aside = 0; a.asking && o != OK && o != ServerError {
		a.setAside()
	}
	a.asking = false
}

// setAside: it comes back for one txn at a time, as probes may be answered beside a queue that does not move.
func (a *appliance) setAside() {
	a.strikes, a.limit, a.aside = silentStrikes-1, a.least(), a.now+asideFor+a.upTo(asideSpread)
}

const (
	// firstLimit: two in work and two waiting at an appliance not known yet. quickPart and latePart of the SLA
	// time: below the one there is room, above the other too much is open.
	firstLimit, quickPart, latePart = 4, 0.25, 0.45
	// limitCut, at most once in cutEvery: a few late answers from one jam are one sign, not several.
	limitCut, cutEvery = 0.7, 250 * ms
)

// learn keeps the limit of open submissions: up by one a round of quick answers, down by a part on late ones.
// It guards against any appliance that answers too slowly (slowed, overloaded, cold, a heavy build): txns
// then go elsewhere. It may harm where a product's own work nears its SLA time.
func (a *appliance) learn(n told) {
	took, sla := float64(n.Elapsed), float64(n.sla)
	switch {
	case n.Outcome == OK && took < quickPart*sla && float64(a.out+1) >= a.limit/2:
		a.limit += min(a.limit, 1/a.limit)
	case n.Outcome == Rejected, n.Outcome == TimedOut && sla > 0, n.Outcome == OK && took > latePart*sla:
		if a.now >= a.cutAt+cutEvery {
			a.limit, a.cutAt = max(a.least(), a.limit*limitCut), a.now
		}
	}
	switch n.Outcome {
	case OK:
		a.strikes, a.heard, a.errs = 0, a.now, a.errs*(1-errFade)
	case ServerError, Malformed:
		if n.own {
			break
		}
		// One that fails fast looks idle and draws ever more. On trial the judge first gets its evidence.
		a.strikes, a.heard, a.errs = 0, a.now, a.errs+(1-a.errs)*errFade
		if a.errs > errMost && (!n.trial || n.Outcome == Malformed || a.said+a.lag >= crossing) {
			a.setAside()
		}
	case Rejected:
		a.full = a.now + fullFor
	case TimedOut, ConnectionLost: // one connection may break for itself; a dead process breaks the next, or refuses it
		a.strikes += int(one(n.Outcome == ConnectionLost || a.heard < a.now-n.Elapsed))
	}
	if n.Outcome == ConnectFailed || a.strikes >= silentStrikes {
		a.setAside()
	}
}

// askAgain, doubled for each failure in a row up to eight times, with a random part: no flood of calls.
const askAgain = 400 * ms

func (r *lister) take(n note) {
	switch n := n.(type) {
	case EndpointUpdate:
		if !n.Failed {
			r.fails = 0
			return
		}
		wait := askAgain << min(r.fails, 3)
		r.fails, r.due = r.fails+1, r.now+wait+r.upTo(wait)
	case beat:
		if r.ask && r.due >= 0 && r.now >= r.due {
			r.due = -1
			r.give(WatchEndpoints{})
		}
	}
}

// capped tells the cap and stage that bind a build, if any do.
func (w *wave) capped(build int) (cap float64, stage int, bound bool) {
	switch {
	case build > w.build: // not announced yet: as in the first stage
		return w.plan.Caps[0], 0, true
	case build == w.build && w.phase != Released:
		return w.cap, w.stage, true
	}
	return 1, len(w.plan.Caps), false
}

const (
	// slowFade: some twenty answers. slowMost: a busy zone that is well is late with a tenth. zoneStep halves a
	// limit in some twenty answers. fewOpen an appliance, of all agents, leave no queue. manyOpen is no limit.
	slowFade, slowMost, zoneStep, fewOpen, openPart, manyOpen = 0.05, 0.25, 0.03, 4, 2, 1e6
)

// feel keeps the zone's limit of own open submissions by the share of late answers. It guards against all
// that loads a zone or the fleet (moved traffic, next tries), where one agent meets none often enough:
// txns go to another zone, or wait and are declined. It may hold back what is late by its own work.
func (z *zone) feel(slow bool, least float64) {
	if z.slow += (one(slow) - z.slow) * slowFade; z.slow > slowMost {
		z.limit = max(least, min(z.limit, float64(z.out+1))*(1-zoneStep))
	} else {
		z.limit = min(z.limit*(1+3*zoneStep), manyOpen)
	}
}

// awayPerFare: at a fare of 0.1 another zone's arcs shrink to a fifth. usualFade: over some fifty txns.
const awayPerFare, usualFade = 40, 0.02

// meet keeps what is usual: the told work, and the time between two txns. To a client who was turned away and
// is back it is the same txn, and its time runs from the first try.
func (d *desk) meet(t *txn) {
	if t.CostHint > 0 {
		d.usual += (float64(t.CostHint) - d.usual) * usualFade
	}
	if last, back := d.gone[t.who]; back {
		t.at = last.first
		delete(d.gone, t.who)
		d.returns += (1 - d.returns) * returnFade
	}
	d.pulse += (float64(min(t.at-d.lastCame, 10*second)) - d.pulse) * usualFade
	d.lastCame = t.at
}

// spot is a txn's place on the ring; a key has its own only where that gains, as a hot one strains it.
func (d *desk) spot(t *txn) uint64 {
	if d.post.KeyAffinity && t.Key != 0 {
		return mix(mix(t.Key^ringSalt) - 1 - d.arc(t.Key)) // never an appliance's own point
	}
	return mix(t.ID ^ ringSalt)
}

const keyPart = 0.3 // of an appliance is the most that one key should fill: its arc carries more

// arc guards against keys that draw more than one appliance can do: an agent takes as many arcs for a key as
// it took its txns in the time in which all agents, alike, fill keyPart of one. It may cost a warm place.
func (d *desk) arc(key uint64) uint64 {
	span := d.usual * float64(d.post.Agents) / keyPart
	r := d.lately(key, Micros(span))
	r.load = r.load*max(0, 1-float64(d.now-r.at)/span) + 1
	r.at, r.seq = d.now, r.seq+1
	d.recent[key] = r
	return (r.seq - 1) % uint64(math.Ceil(r.load))
}

func (d *desk) ended(n AttemptResult) {
	a, t := d.fleet.byID[n.EndpointID], d.txns[n.RequestID]
	if a == nil {
		return
	}
	k, t := d.entitle(n, a, t)
	a.put(k)
	a.measure(n.Load, d.post.LoadReport)
	d.fleet.carries = max(1, d.fleet.size*d.usual/float64(second))
	d.judge.put(k)
	z := d.zone(a.Zone)
	if z.out--; k.sla > 0 && n.Outcome != ServerError && n.Outcome < NotAttempted {
		least := max(fewOpen, openPart*d.fleet.carries) * d.fleet.part(a.Zone, d.post.Agents)
		z.feel(n.Outcome != OK || n.Elapsed > k.sla, max(1, least))
	}
	if t == nil {
		return
	}
	if n.Outcome == OK && t.CostHint == 0 {
		d.usual += (float64(n.Elapsed) - d.usual) * usualFade
	}
	if n.RequestDone {
		delete(d.txns, n.RequestID)
		return
	}
	switch n.Outcome {
	case ServerError, TimedOut, ConnectionLost, Cancelled, Malformed:
		t.errs += int(one(n.Outcome == ServerError))
		if row := a.Endpoint; t.ran == nil {
			t.ran, t.forgets = &row, d.products[t.Class].forgets(t.sentAt)
		}
	}
	t.on, t.tried = nil, append(t.tried, a)
	d.put(t)
}

// windowEdge: two beats longer than the told window, so that no rounding of its ends matters.
const windowEdge = 2 * beatEvery

// fits holds the cap over every window that begins in the last one, whatever comes later.
func (d *desk) fits(product, build int, cap float64) bool {
	if cap < 1 {
		cap *= 1 - 1e-6 // the told cap has seven digits; a whole one is exact
	}
	balance, l := 1.0, *d.slot(product)
	for i := len(l) - 1; i >= 0; i-- {
		if i < len(l)-1 && l[i].at != l[i+1].at && balance > d.count.Allowance {
			break // no window parts what came at one time
		}
		switch l[i].build {
		case build:
			balance++
		case takenMark:
			balance -= cap
		}
	}
	return cap > 0 && balance <= d.count.Allowance
}

// coldShare of the told multiple, for what the estimates of work miss.
const coldShare = 0.8

// may holds the five rules; every submission passes it.
func (d *desk) may(t *txn, a *appliance) bool {
	return d.mayGo(t) && d.mayTry(t, a.Build) && d.mayAt(t, a)
}

// mayGo: rule 1, nothing goes out after the end; rule 2, never two at once.
func (d *desk) mayGo(t *txn) bool {
	return !t.closed && d.txns[t.ID] == t && d.now < t.Deadline && t.on == nil && t.seq < d.hand.MaxAttempts
}

// mayTry: rule 5, the cap, the guarded stages, and the one way.
func (d *desk) mayTry(t *txn, build int) bool {
	if cap, stage, bound := d.capped(build); bound {
		if stage < d.plan.GuardedStages && d.products[t.Class].Idempotency != Idempotent || !d.room(t.Class, build, cap) {
			return false
		}
	}
	b := d.bound[t.Key]
	return t.Key == 0 || build >= b || d.spoiled[b]
}

func (d *desk) mayAt(t *txn, a *appliance) bool {
	// Rule 2: what may have run goes only where a repeat does no harm.
	if p := &d.products[t.Class]; t.ran != nil && p.Idempotency != Idempotent {
		same := p.DedupScope == DedupAll || p.DedupScope == DedupZone && a.Zone == t.ran.Zone ||
			p.DedupScope == DedupCell && a.Cell == t.ran.Cell
		if p.Idempotency == NonIdempotent || !same || d.now >= t.forgets {
			return false
		}
	}
	// Rule 3: the list's word binds at once, well inside the grace.
	if !a.ready() {
		return false
	}
	// Rule 4: each agent keeps to its part of what a cold appliance can take before it falls over.
	if d.turns(a) {
		return d.turn(a)
	}
	work := d.work(t)
	for _, s := range a.sends {
		work += s.work
	}
	return a.pace() == 1 || len(a.sends) == 0 || work <= d.coldPart(a)
}

// coldPart is an agent's part of what a cold appliance can take; where it is under one txn, they take turns.
func (d *desk) coldPart(a *appliance) float64 {
	all := coldShare * d.cold.OverloadMultiple * a.pace() * float64(d.cold.OverloadAfter) * d.fleet.carries
	return all / float64(d.post.Agents)
}

func (d *desk) turns(a *appliance) bool { return a.pace() < 1 && d.coldPart(a) < d.usual }

const coldLoad = 0.6 // what turns give a cold appliance: what a busy fleet carries, well inside any multiple

// turn guards a cold appliance against all agents together, also in hot keys and moved traffic: one txn in an
// agent's turn, which comes by the agents' numbers and lasts for the told span. It may leave it idle.
func (d *desk) turn(a *appliance) bool {
	if len(a.sends) > 0 && a.sends[len(a.sends)-1].at > d.now-d.cold.OverloadAfter {
		return false
	}
	// Of agents that take little, few have a txn in their turn, so that more may be in turn at once.
	part := d.share
	if d.rank(a.Build, d.top) != trial {
		part = 1 - part
	}
	some := 1 - math.Exp(-float64(d.cold.OverloadAfter)*part/max(1, d.pulse))
	load := d.fleet.carries * min(coldLoad/max(some, 1e-9), max(coldLoad, coldShare*d.cold.OverloadMultiple))
	_, place := math.Modf(float64(d.post.Index)*math.Phi + float64(mix(uint64(a.ID))>>40)/(1<<24))
	due := func(age float64) float64 {
		age = max(0, age)
		paced := age * (d.cold.InitialCapacity + (1-d.cold.InitialCapacity)*age/2/float64(d.cold.Duration))
		return math.Floor(place + load*paced/d.usual/float64(d.post.Agents))
	}
	age := float64(d.now - a.Started)
	return due(age) > due(age-float64(d.cold.OverloadAfter))
}

// work is what a txn is expected to need, never under the usual: a budget would fill with the falsely small.
func (d *desk) work(t *txn) float64 { return max(float64(t.CostHint), d.usual) }

func (d *desk) submit(t *txn, a *appliance) {
	if !d.may(t, a) {
		return
	}
	t.on, t.sentAt, t.seq = a, d.now, t.seq+1
	if _, _, bound := d.capped(a.Build); bound {
		d.enter(t.Class, a.Build)
	}
	d.zone(a.Zone).out++
	a.put(sent{d.work(t), d.products[t.Class].LatencyObjective})
	d.judge.put(went{to: a})
	d.give(SendAttempt{RequestID: t.ID, EndpointID: a.ID, Timeout: d.patience(t), WriteBefore: t.forgets})
}

const (
	// returnFade: the last ten clients turned away. backWithin, after the longest wait that they follow.
	returnFade, backWithin, returnsFirst = 0.1, 500 * ms, 0.5
	// fewReturn: below it, ending late work frees more than next tries cost. Those who are spread over a zone's
	// agents come back to any of them, so that one sees only its part.
	fewReturn = 0.3
)

// patience: to the client's expiry, or, where clients turned away do not come back, to the SLA time.
func (d *desk) patience(t *txn) Micros {
	few := fewReturn * min(1, float64(d.fleet.zones)/float64(d.post.Agents))
	if left := t.at + d.products[t.Class].LatencyObjective - d.now; d.returns < few && left > 0 {
		return min(left, t.Deadline-d.now)
	}
	return 0
}

func (d *desk) rank(build, top int) int {
	switch {
	case d.spoiled[build] || build == d.build && d.phase == Evaluating && build < top:
		return leaving
	case build == top && build >= d.build && build > 0:
		return trial
	}
	return earlier
}

const turnsPart = 0.3 // with turns a cold appliance gets less than its arc: the warm ones would get the rest

// sliceOfCap is the design's: the slice stays this far inside the cap, so repeats find room in the count.
const sliceOfCap = 0.8

// slice is the top build and the fraction of txns that go to it.
func (d *desk) slice() (top int, share float64) {
	top = d.fleet.highest(d.spoiled)
	var ready [leaving + 1]float64
	for _, a := range d.fleet.all {
		if a.ready() {
			ready[d.rank(a.Build, top)] += a.weight() * (1 - one(d.turns(a))*(1-turnsPart))
		}
	}
	places := max(ready[trial], ready[earlier])
	if d.plan.ReplacesInPlace {
		places = ready[trial] + ready[earlier]
	}
	share = ready[trial] / max(places, 1e-9)
	if cap, _, bound := d.capped(top); bound {
		share = min(share, sliceOfCap*cap)
	}
	return top, share
}

func (d *desk) route(t *txn) {
	if t.closed || d.txns[t.ID] != t || t.on != nil {
		return
	}
	if d.now >= t.at+d.products[t.Class].LatencyObjective && (t.seq > 0 || d.now-d.jammed < jamFor) {
		d.answer(t) // too late to go again, or at all in a jam: more work for no worth
		return
	}
	top, share := d.slice()
	d.top, d.share = top, share
	order := [...]int{earlier, trial, leaving}
	if t.fraction < share {
		order[0], order[1] = trial, earlier
	}
	for _, want := range order {
		if a := d.pick(t, want, top); a != nil && t.errs < d.errsMost(t) {
			d.submit(t, a)
			return
		}
	}
	if !d.hopeless(t) {
		d.held = append(d.held, t)
		return
	}
	d.jammed = d.now
	d.answer(t)
}

const holdPart, jamFor = 0.5, 1 * second // a txn is held for that part of its SLA time; one given up is a jam

// blameFade: a customer's last twenty endings. ownErrors: a bad build or machine fails fewer of them.
const blameFade, ownErrors, blamesMost = 0.05, 0.2, 1000

// owns guards healthy appliances against customers whose txns fail wherever they go: they were all set aside.
// An error of a customer with many is its own. It may spare a machine that fails all, while few are well.
func (d *desk) owns(t *txn, o Outcome, trial bool) bool {
	if len(d.blame) > blamesMost {
		clear(d.blame)
	}
	own := o == ServerError && d.blamed(t)
	if !trial && (o == OK || o == ServerError) { // a bad build's errors are its own
		d.blame[t.Tenant] += (one(o == ServerError) - d.blame[t.Tenant]) * blameFade
	}
	return own
}

func (d *desk) blamed(t *txn) bool { return d.blame[t.Tenant]-d.luckiest() > ownErrors }

// errsMost: an error may be the build's or the machine's, three at different ones are the txn's own; of a
// customer with many, one, as each further try leaves less of the cap to others.
func (d *desk) errsMost(t *txn) int { return 3 - 2*int(one(d.blamed(t))) }

// hopeless: no appliance may take the txn now and none will in time.
func (d *desk) hopeless(t *txn) bool {
	p := &d.products[t.Class]
	last := min(t.Deadline-2*beatEvery, t.at+Micros(holdPart*float64(p.LatencyObjective)))
	return t.seq >= d.hand.MaxAttempts || d.now >= last || t.errs >= d.errsMost(t) ||
		t.ran != nil && (p.Idempotency == NonIdempotent || p.Idempotency == Keyed && d.now >= t.forgets)
}

const (
	// loadSlack: the usual figure for consistent hashing with bounded loads.
	loadSlack = 1.25
	// lastResort puts an appliance behind all others: longer than any way round the ring.
	lastResort = 1 << 20
)

// pick walks the ring of one rank: the nearest point clockwise, its way by the weight, so arcs ramp.
func (d *desk) pick(t *txn, want, top int) *appliance {
	var open []*appliance
	var held, weight, total, room float64
	if !d.mayGo(t) || !d.anyOpen() {
		return nil
	}
	last, fits := -1, false
	for _, a := range d.fleet.all {
		if a.ready() && a.now >= a.aside {
			total, room = total+float64(a.out), room+a.limit
		}
		if a.Build != last {
			last, fits = a.Build, d.rank(a.Build, top) == want && d.mayTry(t, a.Build)
		}
		if fits && a.healthy() && d.zone(a.Zone).open() && d.mayAt(t, a) {
			open, held, weight = append(open, a), held+float64(a.out), weight+a.weight()
		}
	}
	if total+1 > max(1, room) {
		return nil // limits under one each: all agents' ones together would still be a queue
	}
	best, bestBy := (*appliance)(nil), math.Inf(1)
	for _, a := range open {
		by := a.reach(t.spot) / a.weight()
		if d.turns(a) {
			by = 0 // its turn is short, and the next key on its arc may come too late
		} else if a.Zone != d.post.Zone {
			by *= 1 + awayPerFare*d.fare
		}
		if float64(a.out) >= math.Ceil(loadSlack*(held+1)*a.weight()/weight) {
			by *= lastResort // past its part of the load
		}
		if slices.Contains(t.tried, a) || d.fleet.busy(a) {
			by *= lastResort
		}
		if by < bestBy {
			best, bestBy = a, by
		}
	}
	return best
}

// busy tells whether the bench's last digest calls it so.
func (f *fleet) busy(a *appliance) bool {
	at, bit := spotOf(a.ID)
	return len(f.digest) == digestBytes && f.now-f.digestAt < digestLasts && f.digest[at]&bit != 0
}

// answer is the one final answer of a txn that was not settled: a decline where a repeat does no harm.
func (d *desk) answer(t *txn) {
	p := &d.products[t.Class]
	d.close(t)
	d.judge.put(turned{})
	last := parting{d.now, t.at, t.who}
	d.gone[t.who], d.left = last, append(d.left, last)
	if t.ran == nil || p.Idempotency == Idempotent ||
		p.Idempotency == Keyed && p.DedupScope == DedupAll && d.now < t.forgets {
		d.give(Reject{RequestID: t.ID, RetryAfter: d.hand.MaxRetryAfter}) // a jam; nothing sooner would find it gone
	} else {
		d.give(Fail{RequestID: t.ID})
	}
}

// What outcomes are weighed on. A build needs leastAlike appliances, or its lateness may be theirs alone. Of
// the stage's first ripe outcomes lateness counts less.
const failures, lateness, leastAlike, ripe, benchRipe, mostEarlier = 0, 1, 3, 20, 200, 0.25

const (
	leastSeen, crossing = 10, 3
	holdAbove           = 1 // these are the design's figures
	onAfter, stageClock = 3 * second, 5 * second
	youngServer         = 2 * second // "started seconds ago": past the first cold seconds
	// renewAt: votes are renewed with a third of their life left, room for one lost answer.
	renewAt = 0.66
	// blindWait leaves the others time for a drag to count. benchWait: without the bench the others go on later.
	blindWait, benchWait = 10 * second, 5 * second
	// fullPause and voteRetry: after 'full' the launcher gets a second, after other failures a short wait.
	fullPause, voteRetry = 1 * second, 250 * ms
)

// seats: enough that some are left when agents restart in numbers, few enough that telling them costs little.
// sheetEvery and sheetMost: a sheet of outcomes goes out soon, or when it is full.
const seats, sheetEvery, sheetMost = 5, 500 * ms, 256 - lineBytes

// refused puts the next vote off, not all agents in step.
func (j *judge) refused(how Outcome) {
	j.cast, j.quiet = NoVote, j.now+voteRetry+j.upTo(j.queue()+1)
	if how == Rejected {
		j.quiet += fullPause - voteRetry + j.upTo(fullPause)
	}
}

// outcome: a time-out says that something is overloaded, not what: good builds were sent back for it.
func (j *judge) outcome(n told) {
	if !n.own && (n.Outcome == OK || n.Outcome == ServerError) {
		j.weigh(n.by, failures, n.Outcome != OK)
	}
	if n.product < 0 || n.Outcome != OK && n.Outcome != TimedOut {
		return
	}
	j.time(n)
	good := n.Outcome == OK && n.Elapsed <= n.sla
	j.inTime(good)
	// A slow build that still answers: later than the earlier one. Only while that carries most, and warm.
	if j.judges() && j.dose < mostEarlier && n.by.pace() >= 1 {
		j.weigh(n.by, lateness, !good)
	}
	j.dose = (j.dose + one(n.by.Build == j.build)*doseFade) * (1 - doseFade)
}

// weigh adds an outcome to what its appliance says, on failures or on lateness.
func (j *judge) weigh(a *appliance, on int, failed bool) {
	if j.spoiled[a.Build] || a.Build > j.build {
		return
	}
	// The design's; and the earlier build's rate looks back over some hundreds of outcomes.
	floor, times, fade, ripe := 0.01, 3.0, 0.997, ripe
	if on == lateness {
		floor, times, fade = 0.1, 4, 0.98 // commoner, so it must differ by more; over some fifty, as jams pass
		if j.sits {                       // the bench hears more in the same time
			fade, ripe = 0.998, benchRipe
		}
	}
	if a.Build < j.build {
		j.good[on], j.bad[on] = j.good[on]*fade+one(!failed), j.bad[on]*fade+one(failed)
		return
	}
	if a.Started > 0 && j.now-a.Started < youngServer ||
		on == lateness && (j.good[on]+j.bad[on] < leastSeen || j.fleet.count(a.Build) < leastAlike) {
		return
	}
	r0 := max(floor, j.bad[on]/max(1, j.good[on]+j.bad[on]))
	r1 := min(times*r0, 0.95)
	r0 = min(r0, r1/1.05)
	j.seen++
	step := math.Log((1 - r1) / (1 - r0))
	if failed {
		step = math.Log(r1 / r0)
	}
	if on == lateness {
		step *= min(1, float64(j.seen)/float64(ripe)) // the first late ones may all be of one queue
		// It saves up half of its part of what the ratio counts, so that failures beside it are still seen.
		a.put(say{late: step, least: -(crossing + 1) / 2 / j.parts(a)})
		return
	}
	a.put(say{step: step, least: -(crossing + 1) / j.parts(a)})
	// One appliance of a large build adds no more than one error; past it its good outcomes do not count either.
	most := math.Log(times)
	j.sum = max(j.sum+min(a.fails+step, most)-min(a.fails, most), -crossing-1)
}

// digestEvery, by each of the bench in turn, so that four of the last five may be lost.
const digestEvery, digestLasts = 1 * second, 1 * second

// summarise tells all agents which appliances hold more than their part. Where each agent meets an appliance
// once in a minute, no limit of its own can tell; the bench hears of all. It may be a second old.
func (j *judge) summarise() {
	if i := slices.Index(j.bench, j.me); i < 0 || !j.shares || j.now < j.digestAt+digestEvery {
		return
	} else if j.digestAt == 0 {
		j.digestAt = j.now - digestEvery*Micros(i)/seats // in turn
		return
	}
	text := make([]byte, digestBytes)
	held, weight := j.fleet.load()
	for _, a := range j.fleet.all {
		if a.ready() && a.held > loadSlack*held*a.weight()/weight {
			at, bit := spotOf(a.ID)
			text[at] |= bit
		}
	}
	j.toll(text)
	j.digestAt, j.fleet.digest, j.fleet.digestAt = j.now, text, j.now
}

const (
	// periodFade: the last three or four periods are compared with. periodSays bounds what one adds: two must.
	periodFade, periodSays = 0.7, 2
	// slowTimes is a build that is slow; goodTimes what a good one may be beside warm appliances.
	slowTimes, goodTimes = 1.6, 1.15
)

// survey weighs what the launcher counted in a period over all agents, the same for all: the design's ratio,
// product by product, and the one of answer times, beside an earlier build counted in the same period.
func (j *judge) survey() {
	if len(j.tallies) == 0 {
		return
	}
	beside := j.period()
	fails, late := 0.0, 0.0
	for _, n := range j.tallies {
		e, good, lost := &j.earlier[n.Class], float64(n.Requests-n.Failures), float64(n.Failures)
		if j.besides(n) {
			continue
		}
		mean := e.took / max(1, e.many-e.lost) / j.fleet.warmth(j.build)
		r0 := max(0.01, e.lost/max(1, e.many), math.Exp(-float64(j.products[n.Class].LatencyObjective)/max(1, mean)))
		r1 := min(3*r0, 0.95)
		r0 = min(r0, r1/1.05)
		fails += lost*math.Log(r1/r0) + good*math.Log((1-r1)/(1-r0))
		if usual := goodTimes * mean; usual > 0 {
			late += good * (float64(n.MeanLatency)/usual*(1-1/slowTimes) - math.Log(slowTimes))
		}
	}
	if j.tallies = j.tallies[:0]; beside >= leastSeen && !j.settled() {
		j.poll = max(j.poll+min(fails+max(0, late), periodSays), -crossing-1)
	}
}

// parts is into how many the saved up crossing is parted: a build's appliances, so that all must have spoken
// to go on early; of a large build those heard, as one of many agents meets few of them.
func (j *judge) parts(a *appliance) float64 {
	if n := j.fleet.count(a.Build); n <= largeBuild {
		return float64(max(1, n))
	}
	return float64(j.fleet.heard(a))
}

// largeBuild: over so many appliances failures are one sum, good outcomes saved up to the crossing in all. By
// appliance each saves up a small part of an error there, and of errors that come everywhere most count as
// failing; in a smaller build the sum is too slow: the few errors met have all good outcomes against them.
const largeBuild = 24

const oneSays, speakers = 2, 4 // bounds what one of several adds; of a large build a quarter must speak

// ratio adds up what the build's appliances say, on failures and on lateness apart, each bounded: a bad build
// fails, and is late, on most alike. Neither is saved up past the crossing: a build may turn bad late.
func (j *judge) ratio() float64 {
	var saids, lates, lags, good []float64
	fails := 0
	around := j.fleet.failing(j.build, errMost) // then machines that fail here are no sign of the build
	for _, a := range j.fleet.speaking(j.build, around) {
		saids, lates, lags = append(saids, a.said), append(lates, a.late), append(lags, a.lag)
		good = append(good, a.said+min(0, a.lag))
		fails += int(one(a.fails >= holdAbove))
	}
	failing, late := bounded(saids), bounded(lags)
	if len(saids) > largeBuild {
		if failing = j.sum; speakers*fails < len(saids) {
			failing = min(failing, holdAbove) // a few machines' own, however often
		}
		if elders := j.fleet.elders(j.build, around); elders > 0 {
			failing = max(failing, elders)
		}
	}
	if len(lates) > 1 && (j.sits || j.seen >= leastSeen*len(lates)) && lower(lates) <= 0 {
		late = min(late, 0) // half are not late: it is some machines, or their load
	}
	if j.sits && late > 0 { // what it holds all follow, and cold machines that have just warmed are late too
		late = max(0, late-math.Log(float64(j.agents)))
	}
	switch {
	case failing > 0:
		late = max(late, 0) // quick answers do not speak for a build that fails
	case late <= 0 && len(saids) <= largeBuild:
		return bounded(good) // nor twice for one that does not: all appliances must have spoken to go on early
	}
	return failing + late
}

const eldersSay = 0.6 // of the oldest must fail, leastAlike of them at least

// elders adds up what the oldest of a build's appliances say against it, the most over any number of them: a
// build that decays fails there first, while in the one sum all good outcomes of the younger are against it.
// It may harm where the oldest are machines that fail by themselves, which are of any age.
func (f *fleet) elders(build int, around bool) (most float64) {
	old := slices.DeleteFunc(f.speaking(build, around), func(a *appliance) bool { return a.Started <= 0 })
	slices.SortStableFunc(old, func(a, b *appliance) int { return cmp.Compare(a.Started, b.Started) })
	failing, sum := 0.0, 0.0
	for i, a := range old {
		failing, sum = failing+one(a.fails >= holdAbove), sum+min(a.said, oneSays)
		if n := float64(i + 1); n >= leastAlike && failing >= eldersSay*n {
			most = max(most, sum)
		}
	}
	return most
}

// bounded adds up what appliances say, each in its bounds.
func bounded(says []float64) (sum float64) {
	n := float64(len(says))
	for _, said := range says {
		if n > 1 {
			said = min(said, oneSays, speakers*crossing/n)
		}
		sum += max(said, -(crossing+1)/n)
	}
	return sum
}

const (
	// dragLast answers are looked at: two seconds of a busy agent. The bench hears benchLast in less, and their
	// median is known to a tenth. calmFade: some fifty answers of a product.
	dragLast, benchLast, calmFade = 30, 300, 0.02
	// dragTimes slower and fewer txns completed than dragDone of the calm's: either alone is only more traffic.
	dragTimes, dragDone = 1.3, 0.8
	// shareDone of the calm's share in time with rateDone of its completions: more traffic lowers only the one,
	// less only the other. Nothing is released while less than shareDone are in time.
	shareDone, rateDone = 0.6, 0.85
	// collapse need not be told apart from other trouble. A jam that has passed is forgotten dragClears faster.
	collapse, dragClears = 0.5, 4
	// dragAlone is slow enough without a drop; it counts for less.
	dragAlone, aloneCounts = 1.6, 0.7
	// doseFade: the build's part of the answers, over the last fifty.
	doseFade   = 0.02
	wholeFleet = 0.85 // with fewer appliances than this part of the calm's, the rest are slow for that reason
	// dragHolds back a release, dragPauses a stage before, where the build answers pausesFrom of the txns: with
	// less it is more likely a jam of something else. dragLasts outlives most passing jams.
	pausesFrom                       = 0.15
	dragHolds, dragPauses, dragLasts = 0.5e6, 0.2e6, 9e6
	// doneSpan and calmSpan: completions are averaged over these times.
	doneSpan, calmSpan = 3 * second, 10 * second
	// Where the outcomes of all are known, a drag with stepFrom of the txns at the build and less than stepIn of
	// the calm's submissions comes in step with it: it counts stepPart, so that some three seconds are enough.
	stepFrom, stepIn, stepPart = 0.1, 1.2, 3
	// settleAfter its release, a build counts as part of the calm.
	settleAfter = 25 * second
)

// settled: the release has been out for a while, or since before this agent came.
func (j *judge) settled() bool {
	return j.phase != Evaluating && (j.since <= j.began || j.now-j.since > settleAfter)
}

func (j *judge) calmNow() bool { return j.slow == 0 && (j.build == 0 || j.settled()) }

// feel guards against a release that slows old and new alike: the median answer is far slower than before it,
// with the fleet whole, and goes on so; counted by the build's part of the txns, and in full where less is
// completed too. It may send a good build back in a jam of the whole fleet that lasts longer than dragLasts.
func (j *judge) feel() {
	dt, whole, middle := j.flow()
	full, part := whole >= wholeFleet*j.calmFleet, j.dose
	if j.sits { // it hears enough to compare medians
		middle /= max(j.calmMiddle, 1e-9)
	} else if j.polls() {
		middle, j.dose = j.sampleMiddle, j.sampleDose
	}
	middle *= one(full)
	if (j.sits || j.polls()) && j.dose >= stepFrom && j.in < stepIn*j.calmIn {
		part = stepPart
	}
	j.middle = middle
	switch {
	case middle >= dragTimes && j.rate < dragDone*j.calmRate,
		j.rate < collapse*j.calmRate && j.share < rateDone*j.calmShare, // not just the agent's traffic that ends
		full && j.share < shareDone*j.calmShare && j.rate < rateDone*j.calmRate:
		j.slow += dt * part
	case middle >= dragAlone:
		j.slow += dt * part * aloneCounts
	default:
		j.slow = max(0, j.slow-dragClears*dt)
	}
}

// bar is the crossing to vote back at: higher for one of many who decide alone, lower where many must agree.
func (j *judge) bar() float64 {
	switch {
	case j.sits:
		return crossing // what they hold decides for all
	case j.bench != nil, j.polls():
		return crossing + math.Log(float64(j.agents))
	}
	return max(holdAbove, crossing-math.Log(float64(max(1, j.polling.VotesToRollBack))))
}

// opinion is the verdict without the clock.
func (j *judge) opinion(ratio float64) Verdict {
	least, bar := leastSeen/max(1, j.polling.VotesToRollBack), j.bar()
	drags, last := !j.settled(), j.stage == len(j.plan.Caps)-1
	switch {
	case j.build == 0 || j.spoiled[j.build]:
		return NoVote
	case j.seen >= least && ratio >= bar, j.polls() && j.poll >= crossing && ratio >= holdAbove,
		drags && j.judges() && j.slow >= dragLasts:
		return RollBack
	case j.phase != Evaluating:
		return NoVote
	case j.polling.Rule == TimedStages && ratio > holdAbove:
		return Hold
	case j.sits && !last && j.dose >= pausesFrom && (j.middle >= dragTimes || j.share < shareDone*j.calmShare):
		return NoVote // it hears all, and that they slow with the build's part: no need to wait how long it lasts
	case j.polling.Rule == TimedStages, drags && !last && j.slow >= dragPauses && j.dose >= pausesFrom,
		last && (drags && j.slow >= dragHolds || j.share < shareDone),
		ratio > holdAbove, j.polls() && j.poll > holdAbove:
		return NoVote
	}
	return Advance
}

// polls tells whether the launcher's counts stand in for what agents who may not talk can't tell each other.
func (j *judge) polls() bool { return j.counted && j.bench == nil }

// wordEvery, wordLasts: two words in a row may be lost.
const wordEvery, wordLasts = 1 * second, 3 * second

// verdict is the agent's own opinion, or off the bench what most of the bench hold; on only by the clock.
func (j *judge) verdict() Verdict {
	ratio, last := j.ratio(), j.stage == len(j.plan.Caps)-1
	v := j.opinion(ratio)
	most, told := j.most()
	if j.sits {
		j.speak(v)
	} else if told && v != RollBack {
		v = most
	}
	if v != Advance {
		return v
	}
	if j.fleet.count(j.build) == 0 {
		return NoVote // its list is behind: to go on unseen takes away the appliances that it knows of
	}
	newest := j.fleet.newest(j.build)
	// The last stage releases: there the clock also runs from the newest start. Elsewhere delay costs more.
	clock := j.now - j.since
	if last {
		clock = min(clock, j.now-newest)
	}
	if last && len(j.times) < j.lasts() && j.polling.VotesToAdvance <= 1 {
		clock -= blindWait // this agent can not feel a drag; where one vote is enough, others may
	}
	if !j.judges() && !told {
		clock -= benchWait
	}
	if j.seen >= leastSeen && ratio <= -crossing && min(clock, j.now-newest) >= onAfter ||
		clock >= stageClock {
		return Advance
	}
	return NoVote
}

// queue is the time in which all who vote can do so at the told rate of calls, counted over all of them.
func (j *judge) queue() Micros {
	voters := j.agents
	if j.sits {
		voters = seats
	}
	if j.polling.CallsPerSecond <= 0 {
		return 0 // none told
	}
	return min(j.polling.VoteLifetime, Micros(float64(voters)*float64(second)/j.polling.CallsPerSecond))
}

// turn keeps those not on the bench, when it is silent, from voting all in one moment: a few suffice.
func (j *judge) turn() Micros {
	if j.judges() {
		return 0
	}
	return Micros(float64(mix(uint64(j.me)^uint64(j.build+j.stage)<<20)>>11) / (1 << 53) * float64(j.queue()))
}

func (j *judge) vote() {
	v, life := j.verdict(), Micros(renewAt*float64(j.polling.VoteLifetime))
	if v != j.want {
		j.want, j.wantAt = v, j.now
	}
	if j.now >= max(j.quiet, j.wantAt+j.turn()) && (v != j.cast || v != NoVote && j.now-j.castAt >= life) {
		j.cast, j.castAt = v, j.now
		j.give(Vote{Build: j.build, Stage: j.stage, Verdict: v})
	}
}
