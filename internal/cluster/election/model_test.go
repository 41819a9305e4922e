package election

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// modelCluster is a group of agents, a bag of messages that may be delivered in any order, doubled or lost, and one true time.
type modelCluster struct {
	replicas  []*Replica
	persisted []*DurableState // what each has on its disk
	isPaused  []bool
	inFlight  []envelope
	now       Micros
	castVotes []observedCast
	lastSeed  int64
	// unknown tells of a cast that was not recorded.
	quorumViolation string
}

type envelope struct {
	from, to int
	message  Message
}

type observedCast struct {
	replica int
	CastVote
	at Micros
}

// agents of the machine; the last is let in by a change only.
const modelReplicas, modelInitialMembers, maxInFlight = 4, 3, 400

func (w *modelCluster) startReplica(i int, durableState *DurableState, fresh bool) {
	members := InitialMembers(modelInitialMembers)
	if i >= modelInitialMembers {
		members = Members{}
	}
	w.lastSeed++
	w.replicas[i] = New(i, members, durableState, testSettings, DisabledGuards{}, fresh, w.now, w.lastSeed)
	w.isPaused[i] = false
	w.execute(i, w.replicas[i].UpdateRollout(w.now, 1, 0, true))
}

func (w *modelCluster) execute(i int, commands []Command) {
	kept := false
	for _, command := range append([]Command(nil), commands...) {
		switch command := command.(type) {
		case Persist:
			kept, w.persisted[i] = true, &command.DurableState
		case SendMessage:
			if len(w.inFlight) < maxInFlight {
				w.inFlight = append(w.inFlight, envelope{i, command.To, command.Message})
			}
		case CastVote:
			w.castVotes = append(w.castVotes, observedCast{i, command, w.now})
			know, members := 0, w.replicas[i].members // most of those who count know it, or something newer
			for j, d := range w.replicas {
				if members.Contains(j) && !command.isNewerThan(d.newestRecord) {
					know++
				}
			}
			if 2*know <= members.Count() {
				w.quorumViolation = fmt.Sprintf("%+v was cast, %d of %d know", command, know, members.Count())
			}
			if w.persisted[i] == nil && !kept {
				panic("a cast of one that has kept nothing")
			}
		}
	}
}

func (w *modelCluster) checkInvariants(t *rapid.T) {
	leads := []int{}
	for i, d := range w.replicas {
		if !w.isPaused[i] && d.IsLeader(w.now) {
			leads = append(leads, i)
		}
	}
	if len(leads) > 1 {
		t.Fatalf("at %d agents %v lead", w.now, leads)
	}
	for i := range w.castVotes {
		c := w.castVotes[len(w.castVotes)-1]
		command := w.castVotes[i]
		if command.replica != c.replica && command.Build == c.Build && command.Stage == c.Stage && command.Verdict != c.Verdict && c.at < command.at+testSettings.MaxVoteDelay+testSettings.VoteLifetime {
			t.Fatalf("%+v beside %+v", c, command)
		}
	}
	if w.quorumViolation != "" {
		t.Fatal(w.quorumViolation)
	}
}

// Whatever gets lost, doubled, late or out of order, whoever stands still, restarts from its disk, joins, goes or leaves: one
// leads at the most, what is cast was recorded, and contrary casts of two agents are never close.
func TestClusterInvariants(t *testing.T) {
	castCount, changeCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &modelCluster{replicas: make([]*Replica, modelReplicas), persisted: make([]*DurableState, modelReplicas), isPaused: make([]bool, modelReplicas), now: second}
		for i := range w.replicas {
			w.startReplica(i, nil, false)
		}
		anyReplica := rapid.IntRange(0, modelReplicas-1)
		deliver := func(n int) {
			for ; n > 0 && len(w.inFlight) > 0; n-- {
				at := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which")
				m := w.inFlight[at]
				if !rapid.Bool().Draw(t, "again") {
					w.inFlight = append(w.inFlight[:at], w.inFlight[at+1:]...)
				}
				if !w.isPaused[m.to] {
					w.execute(m.to, w.replicas[m.to].Receive(w.now, m.from, m.message))
				}
			}
		}
		runFor := func(span Micros) {
			for ; span > 0; span -= 50 * ms {
				w.now += 50 * ms
				for i, d := range w.replicas {
					if !w.isPaused[i] {
						w.execute(i, d.Tick(w.now))
					}
				}
				w.checkInvariants(t)
			}
		}
		// calm delivers everything in order: without such times nobody would ever lead.
		runReliably := func(span Micros) {
			for ; span > 0; span -= 50 * ms {
				runFor(50 * ms)
				for len(w.inFlight) > 0 {
					m := w.inFlight[0]
					if w.inFlight = w.inFlight[1:]; !w.isPaused[m.to] {
						w.execute(m.to, w.replicas[m.to].Receive(w.now, m.from, m.message))
						w.checkInvariants(t)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"calm":    func(t *rapid.T) { runReliably(Micros(rapid.IntRange(1, 40).Draw(t, "beats")) * 50 * ms) },
			"pass":    func(t *rapid.T) { runFor(Micros(rapid.IntRange(1, 60).Draw(t, "beats")) * 50 * ms) },
			"deliver": func(t *rapid.T) { deliver(rapid.IntRange(1, 10).Draw(t, "n")) },
			"lose": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					w.inFlight = w.inFlight[rapid.IntRange(1, len(w.inFlight)).Draw(t, "n"):]
				}
			},
			"wish": func(t *rapid.T) {
				i, v := anyReplica.Draw(t, "who"), Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
				if !w.isPaused[i] {
					w.execute(i, w.replicas[i].Recommend(w.now, Decision{1, 0, v}))
				}
			},
			"stand": func(t *rapid.T) { w.isPaused[anyReplica.Draw(t, "who")] = true },
			"wake":  func(t *rapid.T) { w.isPaused[anyReplica.Draw(t, "who")] = false },
			"restart": func(t *rapid.T) {
				if i := anyReplica.Draw(t, "who"); w.persisted[i] != nil {
					w.startReplica(i, w.persisted[i], false)
				}
			},
			"change": func(t *rapid.T) {
				for i, d := range w.replicas {
					if !w.isPaused[i] && d.IsLeader(w.now) {
						commands, err := d.ChangeMembers(w.now, d.members.Mask^1<<anyReplica.Draw(t, "member"))
						if w.execute(i, commands); err == nil {
							changeCount++
						}
					}
				}
			},
			"leave": func(t *rapid.T) {
				if i := anyReplica.Draw(t, "who"); !w.isPaused[i] && w.persisted[i] != nil {
					w.execute(i, w.replicas[i].Leave(w.now))
				}
			},
			"": w.checkInvariants,
		})
		castCount += len(w.castVotes)
	})
	if castCount == 0 || changeCount == 0 {
		t.Errorf("%d casts and %d changes of members: this has checked nothing", castCount, changeCount)
	}
}

// With nobody to decide, an agent whose judge wishes to go back stops by itself, and goes on when it wishes otherwise.
func TestSelfStopWithoutLeader(t *testing.T) {
	stops := []string{}
	d := New(0, InitialMembers(3), nil, testSettings, DisabledGuards{}, false, second, 1)
	collectStops := func(commands []Command) {
		for _, command := range commands {
			if a, is := command.(SelfStop); is {
				stops = append(stops, fmt.Sprint(a.Stop, a.Decision))
			}
		}
	}
	collectStops(d.UpdateRollout(second, 8, 1, true))
	collectStops(d.Recommend(second, Decision{8, 1, Advance}))
	if len(stops) != 0 {
		t.Fatalf("said %v without a bad build", stops)
	}
	collectStops(d.Recommend(2*second, Decision{8, 1, RollBack}))
	collectStops(d.Tick(2*second + 100*ms))
	collectStops(d.Recommend(3*second, Decision{8, 1, NoVote}))
	if want := []string{"true {8 1 back}", "false {8 1 back}"}; fmt.Sprint(stops) != fmt.Sprint(want) {
		t.Errorf("said %v, want %v", stops, want)
	}
	// With a lead in force it leaves that to the one that leads.
	c := newCluster(false)
	c.runUntil(3 * second)
	for i := range c.replicas {
		if c.replicas[i].IsLeader(c.now) {
			continue
		}
		for _, command := range c.replicas[i].Recommend(c.now, Decision{1, 0, RollBack}) {
			if a, is := command.(SelfStop); is {
				t.Errorf("agent %d says %+v while another leads", i, a)
			}
		}
	}
}
