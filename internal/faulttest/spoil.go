package faulttest

import (
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// This file owns which ways a line of a night spoils, and whether that touched anything.

// faultLine is a line that put something wrong on ways.
type faultLine struct {
	step  Step
	ways  map[*netfault.Way]int64 // what each had acted when it began
	acted int64
}

// waysOf are the directions that a fault means, each once.
func (p *player) waysOf(d fault) (out []*netfault.Way) {
	got := map[*netfault.Way]bool{}
	put := func(w *netfault.Way) {
		if !got[w] {
			got[w] = true
			out = append(out, w)
		}
	}
	if d.heal && d.from.Agents == nil && d.to.Agents == nil {
		for _, r := range p.relays() {
			put(r.s.There)
			put(r.s.Back)
		}
		for i := range p.agents {
			for j := range p.agents {
				if p.mesh != nil && i != j {
					put(p.mesh.Way(i, j))
				}
			}
		}
		return out
	}
	way := func(from, to Party) {
		is := func(x Party, r relay) bool { // the relay's far end
			switch {
			case x.Agents != nil:
				return r.peer >= 0 && p.chosen(x.Agents)(r.peer)
			case x.Boxes != nil:
				return r.box >= 0 && x.Boxes.has(r.box, p.boxes[r.box].Build)
			default:
				return x.Discovery && r.to == "discovery" || x.Launcher && r.to == "launcher"
			}
		}
		if d.kind != "datagrams" {
			for _, r := range p.relays() {
				if from.Agents != nil && p.chosen(from.Agents)(r.from) && is(to, r) {
					put(r.s.There)
				}
				if to.Agents != nil && p.chosen(to.Agents)(r.from) && is(from, r) {
					put(r.s.Back)
				}
			}
		}
		if p.mesh != nil && from.Agents != nil && to.Agents != nil && d.kind != "tcp" && !d.streams {
			for _, i := range p.who(*from.Agents) {
				for _, j := range p.who(*to.Agents) {
					if i != j {
						put(p.mesh.Way(i, j))
					}
				}
			}
		}
	}
	if way(d.from, d.to); d.both {
		way(d.to, d.from)
	}
	return out
}

func (p *player) fault(s Step, d fault) {
	ways := p.waysOf(d)
	if d.heal {
		p.endFaults(ways)
		for _, w := range ways {
			w.Set(netfault.Fault{})
		}
		return
	}
	line := &faultLine{step: s, ways: map[*netfault.Way]int64{}}
	for _, w := range ways {
		if p.how.Idle {
			w.Idle()
		}
		f, _, _ := w.Fault()
		d.set(&f)
		line.ways[w] = w.Acted()
		w.Set(f)
	}
	p.faults = append(p.faults, line)
}

// endFaults counts what faults have done on ways that are healed, or on all.
func (p *player) endFaults(healed []*netfault.Way) {
	for _, f := range p.faults {
		for w, before := range f.ways {
			if healed == nil || slices.Contains(healed, w) {
				f.acted += w.Acted() - before
				delete(f.ways, w)
			}
		}
	}
}
