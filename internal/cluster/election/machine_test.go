package election

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// machine is a group of agents, a bag of messages that may be delivered in any order, doubled or lost, and one true time.
type machine struct {
	all    []*Replica
	kept   []*DurableState // what each has on its disk
	stands []bool
	bag    []mail
	now    Micros
	casts  []casted
	seed   int64
	// unknown tells of a cast that was not recorded.
	unknown string
}

type mail struct {
	from, to int
	m        Message
}

type casted struct {
	by int
	CastVote
	at Micros
}

// agents of the machine; the last is let in by a change only.
const machineAgents, machineMembers, bagMost = 4, 3, 400

func (w *machine) start(i int, memory *DurableState, fresh bool) {
	members := InitialMembers(machineMembers)
	if i >= machineMembers {
		members = Members{}
	}
	w.seed++
	w.all[i] = New(i, members, memory, terms, DisabledGuards{}, fresh, w.now, w.seed)
	w.stands[i] = false
	w.carry(i, w.all[i].UpdateRollout(w.now, 1, 0, true))
}

func (w *machine) carry(i int, orders []Command) {
	kept := false
	for _, o := range append([]Command(nil), orders...) {
		switch o := o.(type) {
		case Persist:
			kept, w.kept[i] = true, &o.DurableState
		case SendMessage:
			if len(w.bag) < bagMost {
				w.bag = append(w.bag, mail{i, o.To, o.Message})
			}
		case CastVote:
			w.casts = append(w.casts, casted{i, o, w.now})
			know, members := 0, w.all[i].members // most of those who count know it, or something newer
			for j, d := range w.all {
				if members.Contains(j) && !o.Record.newer(d.known) {
					know++
				}
			}
			if 2*know <= members.Count() {
				w.unknown = fmt.Sprintf("%+v was cast, %d of %d know", o, know, members.Count())
			}
			if w.kept[i] == nil && !kept {
				panic("a cast of one that has kept nothing")
			}
		}
	}
}

func (w *machine) check(t *rapid.T) {
	leads := []int{}
	for i, d := range w.all {
		if !w.stands[i] && d.IsLeader(w.now) {
			leads = append(leads, i)
		}
	}
	if len(leads) > 1 {
		t.Fatalf("at %d agents %v lead", w.now, leads)
	}
	for i := range w.casts {
		c := w.casts[len(w.casts)-1]
		o := w.casts[i]
		if o.by != c.by && o.Build == c.Build && o.Stage == c.Stage && o.Verdict != c.Verdict && c.at < o.at+terms.MaxVoteDelay+terms.VoteLifetime {
			t.Fatalf("%+v beside %+v", c, o)
		}
	}
	if w.unknown != "" {
		t.Fatal(w.unknown)
	}
}

// Whatever gets lost, doubled, late or out of order, whoever stands still, restarts from its disk, joins, goes or leaves: one
// leads at the most, what is cast was recorded, and contrary casts of two agents are never close.
func TestMachine(t *testing.T) {
	casts, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &machine{all: make([]*Replica, machineAgents), kept: make([]*DurableState, machineAgents), stands: make([]bool, machineAgents), now: second}
		for i := range w.all {
			w.start(i, nil, false)
		}
		who := rapid.IntRange(0, machineAgents-1)
		deliver := func(n int) {
			for ; n > 0 && len(w.bag) > 0; n-- {
				at := rapid.IntRange(0, len(w.bag)-1).Draw(t, "which")
				m := w.bag[at]
				if !rapid.Bool().Draw(t, "again") {
					w.bag = append(w.bag[:at], w.bag[at+1:]...)
				}
				if !w.stands[m.to] {
					w.carry(m.to, w.all[m.to].Receive(w.now, m.from, m.m))
				}
			}
		}
		pass := func(span Micros) {
			for ; span > 0; span -= 50 * ms {
				w.now += 50 * ms
				for i, d := range w.all {
					if !w.stands[i] {
						w.carry(i, d.Tick(w.now))
					}
				}
				w.check(t)
			}
		}
		// calm delivers everything in order: without such times nobody would ever lead.
		calm := func(span Micros) {
			for ; span > 0; span -= 50 * ms {
				pass(50 * ms)
				for len(w.bag) > 0 {
					m := w.bag[0]
					if w.bag = w.bag[1:]; !w.stands[m.to] {
						w.carry(m.to, w.all[m.to].Receive(w.now, m.from, m.m))
						w.check(t)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"calm":    func(t *rapid.T) { calm(Micros(rapid.IntRange(1, 40).Draw(t, "beats")) * 50 * ms) },
			"pass":    func(t *rapid.T) { pass(Micros(rapid.IntRange(1, 60).Draw(t, "beats")) * 50 * ms) },
			"deliver": func(t *rapid.T) { deliver(rapid.IntRange(1, 10).Draw(t, "n")) },
			"lose": func(t *rapid.T) {
				if len(w.bag) > 0 {
					w.bag = w.bag[rapid.IntRange(1, len(w.bag)).Draw(t, "n"):]
				}
			},
			"wish": func(t *rapid.T) {
				i, v := who.Draw(t, "who"), Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
				if !w.stands[i] {
					w.carry(i, w.all[i].Recommend(w.now, Decision{1, 0, v}))
				}
			},
			"stand": func(t *rapid.T) { w.stands[who.Draw(t, "who")] = true },
			"wake":  func(t *rapid.T) { w.stands[who.Draw(t, "who")] = false },
			"restart": func(t *rapid.T) {
				if i := who.Draw(t, "who"); w.kept[i] != nil {
					w.start(i, w.kept[i], false)
				}
			},
			"change": func(t *rapid.T) {
				for i, d := range w.all {
					if !w.stands[i] && d.IsLeader(w.now) {
						orders, err := d.ChangeMembers(w.now, d.members.Mask^1<<who.Draw(t, "member"))
						if w.carry(i, orders); err == nil {
							changes++
						}
					}
				}
			},
			"leave": func(t *rapid.T) {
				if i := who.Draw(t, "who"); !w.stands[i] && w.kept[i] != nil {
					w.carry(i, w.all[i].Leave(w.now))
				}
			},
			"": w.check,
		})
		casts += len(w.casts)
	})
	if casts == 0 || changes == 0 {
		t.Errorf("%d casts and %d changes of members: this has checked nothing", casts, changes)
	}
}

// With nobody to decide, an agent whose judge wishes to go back stops by itself, and goes on when it wishes otherwise.
func TestStopsAlone(t *testing.T) {
	said := []string{}
	d := New(0, InitialMembers(3), nil, terms, DisabledGuards{}, false, second, 1)
	take := func(orders []Command) {
		for _, o := range orders {
			if a, is := o.(SelfStop); is {
				said = append(said, fmt.Sprint(a.Stop, a.Decision))
			}
		}
	}
	take(d.UpdateRollout(second, 8, 1, true))
	take(d.Recommend(second, Decision{8, 1, Advance}))
	if len(said) != 0 {
		t.Fatalf("said %v without a bad build", said)
	}
	take(d.Recommend(2*second, Decision{8, 1, RollBack}))
	take(d.Tick(2*second + 100*ms))
	take(d.Recommend(3*second, Decision{8, 1, NoVote}))
	if want := []string{"true {8 1 back}", "false {8 1 back}"}; fmt.Sprint(said) != fmt.Sprint(want) {
		t.Errorf("said %v, want %v", said, want)
	}
	// With a lead in force it leaves that to the one that leads.
	r := newRing(false)
	r.until(3 * second)
	for i := range r.all {
		if r.all[i].IsLeader(r.now) {
			continue
		}
		for _, o := range r.all[i].Recommend(r.now, Decision{1, 0, RollBack}) {
			if a, is := o.(SelfStop); is {
				t.Errorf("agent %d says %+v while another leads", i, a)
			}
		}
	}
}
