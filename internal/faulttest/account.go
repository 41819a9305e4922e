package faulttest

import (
	"fmt"
	"slices"

	"switchfork/internal/faulttest/netfault"
)

// This file owns the account of a night: what far ends and rig wrote down, joined with what the relays saw of the same connections.

// relay is one of the streams with its ends.
type relay struct {
	s      *netfault.Stream
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
	out.Born, out.Slots, out.Work = slices.Clone(r.born), r.night.Slots, micros(r.night.Work)
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
func (r *Rig) pairs() (of map[*hop]*netfault.Trace, alone []string) {
	type key struct {
		at        *ledger
		who, port int
	}
	hops := map[key][]*hop{}
	of = map[*hop]*netfault.Trace{}
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
				alone = append(alone, fmt.Sprintf("agent %d to %s: %v", s.from, s.to, netfault.ErrTrace))
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
