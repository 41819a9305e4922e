// The loop that empties the inboxes, and other machinery that decides nothing.

package brain

import (
	"math"
	"sort"
)

type inbox struct{ notes []note }

func (b *inbox) put(n note) { b.notes = append(b.notes, n) }

func (b *inbox) next() (n note) {
	if len(b.notes) > 0 {
		n, b.notes = b.notes[0], b.notes[1:]
	}
	return n
}

type part interface {
	put(note)
	next() note
	take(note)
}

func (l *line) give(o Order) { l.out = append(l.out, o) }

// upTo is a random span below the given one.
func (l *line) upTo(span Micros) Micros { return Micros(l.chance.Int63n(int64(span))) }

// step empties one note. Appliances come first, so that no pick reads a record with mail waiting.
func (g *agent) step() bool {
	for _, a := range g.fleet.all {
		if n := a.next(); n != nil {
			a.take(n)
			return true
		}
	}
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
	if d.count.ByProduct {
		return &d.ledger[product]
	}
	return &d.ledger[0]
}

// take keeps the records by the list and hands on what concerns a single one.
func (f *fleet) take(n note) {
	switch n := n.(type) {
	case Listed:
		for _, a := range f.all {
			a.listed = a.listed && !n.Full
		}
		for _, row := range n.Rows {
			a := f.byID[row.ID]
			if a == nil {
				a = &appliance{line: f.line, probes: f.probes, cold: f.cold, least: f.least, points: points(row.ID, f.points, f.salt)}
				f.byID[row.ID], f.all = a, append(f.all, a)
			}
			a.listed = true
			a.put(row)
		}
		for _, a := range f.all {
			if row := a.Row; !a.listed {
				row.State = Gone
				a.put(row)
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
func (w *wave) hear(n Staged) bool {
	if n.Answer && n.Outcome != OK {
		return false
	}
	fresh := n.Build != w.build || n.Stage != w.stage || n.Phase != w.phase
	w.build, w.stage, w.phase, w.cap = n.Build, n.Stage, n.Phase, n.Cap
	w.spoiled[n.Build] = n.Phase == GoingBack || n.Phase == Withdrawn
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
