package simulation

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"

	"switchfork/internal/cluster/election"
)

// This file owns the model in which deciders are tried: agents with clocks of their own that stand still and restart, a
// network that loses, delays, doubles and parts, and a launcher that carries votes out late. The checker sits at the launcher,
// and trusts no agent.

// Schedule is one drawn night.
type Schedule struct {
	Seed    int64
	Agents  int
	Seconds int
	Without election.DisabledGuards
	Calm    bool // no troubles but the crash of whoever leads, at a third of the time
	Planned bool // a hand-over instead of that crash
	Rest    bool // calm, and nobody crashes or leaves
	Each    bool // every agent votes by itself: the baseline
	BadFrom int64
	Slow    int64 // each way takes so long, and up to a third more or less
}

// Night is what came of it.
type Night struct {
	Violations []string
	Terms      int
	HandOvers  int
	Casts      int
	Gaps       []int64 // times without a decider, in microseconds
	BackAfter  int64   // from the first wish to go back to the vote; -1: never
	Messages   int
	Votes      int // carried out at the launcher
	Changes    int // of the members
}

var nightTerms = election.Settings{Lease: 2 * second, ClockDrift: 0.005, MaxVoteDelay: 800 * ms, VoteLifetime: 3 * second, RollBackQuorum: 1}

// NightLease is the lease of the nights.
func NightLease() int64 { return nightTerms.Lease }

type agentOf struct {
	d       *election.Replica
	fast    float64 // how its clock runs
	down    bool
	stands  int64 // until then it does nothing
	mail    []func()
	started int64
	epoch   int
	wish    election.Decision
	disk    bool // its memory survives a restart
	kept    *election.DurableState
}

// calmTail: without troubles what is bad is sent back within a few leases and a vote's life.
const calmTail = 20 * second

// spares are agents that may be let in, in nights in which members change.
const spares = 2

type voteOf struct {
	agent int
	rec   election.Record
	until int64
}

type night struct {
	Schedule
	now    int64
	seq    int
	due    events
	chance *rand.Rand
	agents []*agentOf
	cut    [][]bool // from, to
	loss   float64
	delay  int64
	stalls int64 // the launcher carries nothing out until then
	votes  []voteOf
	build  int32
	stage  int32
	result *Night
	change bool // members change; each agent then has a disk, as its members would be forgotten otherwise
	lead   int
	gapAt  int64
	badAt  int64
	newest voteOf // the last carried out, and when
}

// PlayNight plays a schedule.
func PlayNight(s Schedule) *Night {
	n := &night{Schedule: s, chance: rand.New(rand.NewSource(s.Seed)), result: &Night{BackAfter: -1}, build: 1, lead: -1, delay: 2 * ms}
	all := s.Agents
	if n.change = !s.Calm && s.Agents > 1 && n.chance.Float64() < 0.3; n.change {
		all += spares
	}
	n.agents = make([]*agentOf, all)
	n.cut = make([][]bool, all)
	for i := range n.agents {
		n.cut[i] = make([]bool, all)
		n.agents[i] = &agentOf{fast: 1 + (n.chance.Float64()*2-1)*nightTerms.ClockDrift, disk: n.change || n.chance.Float64() < 0.5}
	}
	for i := range n.agents {
		n.start(i, false)
	}
	n.troubles()
	for len(n.due) > 0 {
		e := heap.Pop(&n.due).(event)
		if over := int64(s.Seconds) * second; e.at > over+calmTail || e.at > over && (s.Calm || n.result.BackAfter >= 0) {
			break // after the troubles there is time to send back what is still bad
		}
		n.now = e.at
		e.do()
		n.watch()
	}
	if n.gapAt > 0 {
		n.result.Gaps = append(n.result.Gaps, n.now-n.gapAt)
	}
	return n.result
}

func (n *night) at(at int64, do func()) {
	n.seq++
	heap.Push(&n.due, event{max(at, n.now), n.seq, do})
}

// clock is an agent's own time.
func (n *night) clock(a *agentOf) int64 { return int64(float64(n.now)*a.fast) + 1 }

func (n *night) start(i int, fresh bool) {
	a := n.agents[i]
	a.epoch++
	a.down, a.mail, a.stands = false, nil, 0
	members := election.InitialMembers(n.Agents)
	if i >= n.Agents {
		members = election.Members{} // it has to be let in first
	}
	var memory *election.DurableState
	if a.disk && a.kept != nil {
		memory, fresh = a.kept, false
	}
	a.d = election.New(i, members, memory, nightTerms, n.Without, fresh, n.clock(a), n.Seed*31+int64(i)+int64(a.epoch)*7919)
	n.carry(i, a.d.UpdateRollout(n.clock(a), n.build, n.stage, true))
	n.carry(i, a.d.Recommend(n.clock(a), a.wish))
	n.tick(i, a.epoch)
}

// run lets an agent act, or puts it off while it stands still.
func (n *night) run(i int, do func(a *agentOf)) {
	a := n.agents[i]
	if a.down {
		return
	}
	if n.now < a.stands {
		a.mail = append(a.mail, func() { do(a) })
		return
	}
	do(a)
}

func (n *night) tick(i, epoch int) {
	a := n.agents[i]
	n.at(n.now+nightTerms.Lease/15, func() {
		if a.epoch != epoch || a.down {
			return
		}
		n.run(i, func(a *agentOf) { n.carry(i, a.d.Tick(n.clock(a))) })
		n.tick(i, epoch)
	})
}

func (n *night) stand(i int, span int64) {
	a := n.agents[i]
	if a.down {
		return
	}
	a.stands = max(a.stands, n.now+span)
	epoch := a.epoch
	n.at(a.stands, func() {
		if a.epoch != epoch || n.now < a.stands {
			return
		}
		mail := a.mail
		a.mail = nil
		for _, do := range mail {
			do()
		}
	})
}

func (n *night) carry(i int, orders []election.Command) {
	for _, o := range slices.Clone(orders) {
		switch o := o.(type) {
		case election.SendMessage:
			n.post(i, o)
		case election.CastVote:
			if !n.Each {
				n.write(i, o)
			}
		case election.Persist:
			n.agents[i].kept = &o.DurableState
		}
	}
}

// post carries a message, or loses it.
func (n *night) post(from int, o election.SendMessage) {
	if n.now <= int64(n.Seconds)*second {
		n.result.Messages++
	}
	copies := 1
	if n.chance.Float64() < n.loss/4 {
		copies = 2
	}
	for range copies {
		if n.chance.Float64() < n.loss || n.cut[from][o.To] {
			continue
		}
		epoch := n.agents[o.To].epoch
		way := 1 + n.chance.Int63n(n.delay)
		if n.Slow > 0 {
			way += n.Slow*2/3 + n.chance.Int63n(n.Slow*2/3)
		}
		n.at(n.now+way, func() {
			if n.agents[o.To].epoch == epoch {
				n.run(o.To, func(a *agentOf) { n.carry(o.To, a.d.Receive(n.clock(a), from, o.Message)) })
			}
		})
	}
}

// write is the vote's way to the launcher. The process may stand still just before it writes; it then sees the time.
func (n *night) write(i int, o election.CastVote) {
	a := n.agents[i]
	n.result.Casts++
	epoch, ordered := a.epoch, n.now
	n.at(n.now+n.chance.Int63n(2*ms)+1, func() {
		if a.epoch != epoch {
			return
		}
		n.run(i, func(a *agentOf) {
			if n.clock(a) >= o.WriteBefore && !n.Without.LeaseExpiry {
				return // written too late: not at all
			}
			late := n.chance.Int63n(40*ms) + 1
			if n.chance.Float64() < 0.2 && !n.Calm {
				late = n.chance.Int63n(nightTerms.MaxVoteDelay - ms)
			}
			lost := !n.Calm && n.chance.Float64() < 0.1
			done := max(n.now+late, min(n.stalls, n.now+nightTerms.MaxVoteDelay-ms))
			n.at(done, func() {
				n.vote(i, o.Record, ordered)
				if !lost {
					n.run(i, func(a *agentOf) {
						if a.epoch == epoch {
							n.carry(i, a.d.ResolveVote(n.clock(a), o.Record))
						}
					})
				}
			})
		})
	})
}

// vote is carried out at the launcher, and looked at by the checker.
func (n *night) vote(i int, r election.Record, ordered int64) {
	if r.Build != n.build || r.Stage != n.stage {
		return // moot
	}
	n.result.Votes++
	n.votes = slices.DeleteFunc(n.votes, func(v voteOf) bool { return v.until <= n.now || v.agent == i })
	for _, v := range n.votes {
		if v.rec.Build == r.Build && v.rec.Stage == r.Stage && v.rec.Verdict != r.Verdict {
			n.violation("at %d us agent %d's %v counts beside agent %d's %v", n.now, i, r, v.agent, v.rec)
		}
	}
	if o := n.newest; o.agent != i && ordered < o.until && r.Verdict == election.Advance && o.rec.Build == r.Build && o.rec.Stage == r.Stage && o.rec.Verdict != r.Verdict {
		n.violation("at %d us deposed agent %d's %v is carried out after %v", n.now, i, r, o.rec)
	}
	n.newest = voteOf{i, r, n.now}
	n.votes = append(n.votes, voteOf{i, r, n.now + nightTerms.VoteLifetime})
	if r.Verdict == election.RollBack && n.badAt > 0 && n.result.BackAfter < 0 {
		n.result.BackAfter = n.now - n.badAt
	}
}

func (n *night) violation(format string, with ...any) {
	if len(n.result.Violations) < 5 {
		n.result.Violations = append(n.result.Violations, fmt.Sprintf(format, with...))
	}
}

// watch keeps the account of who leads.
func (n *night) watch() {
	leader, many := -1, 0
	for i, a := range n.agents {
		if !a.down && n.now >= a.stands && a.d.IsLeader(n.clock(a)) {
			leader, many = i, many+1
		}
	}
	if many > 1 {
		n.violation("at %d us %d agents lead", n.now, many)
	}
	switch {
	case leader < 0 && n.gapAt == 0:
		n.gapAt = n.now
	case leader >= 0:
		if n.gapAt > 0 {
			n.result.Gaps = append(n.result.Gaps, n.now-n.gapAt)
			n.gapAt = 0
		}
		if leader != n.lead {
			n.result.Terms++
			if n.lead >= 0 {
				n.result.HandOvers++
			}
			n.lead = leader
		}
	}
}

// leader is who leads now, or else one by chance.
func (n *night) leader() int {
	for i, a := range n.agents {
		if !a.down && a.d.IsLeader(n.clock(a)) {
			return i
		}
	}
	return n.chance.Intn(n.Agents)
}

// troubles draws the night.
func (n *night) troubles() {
	end := int64(n.Seconds) * second
	wish := func(i int, v election.Verdict) {
		n.agents[i].wish = election.Decision{Build: n.build, Stage: n.stage, Verdict: v}
		n.run(i, func(a *agentOf) {
			n.carry(i, a.d.Recommend(n.clock(a), a.wish))
			if n.Each && v != election.NoVote {
				n.write(i, election.CastVote{Record: election.Record{Term: 1, Decision: a.wish}, WriteBefore: 1 << 60})
			}
		})
	}
	// Each agent tells its wish again and again, as its judge would; in the troubled nights the wishes flap.
	for i := range n.agents {
		var again func()
		verdict := election.Advance
		again = func() {
			if n.badAt > 0 {
				verdict = election.RollBack
			} else if !n.Calm && n.chance.Float64() < 0.15 {
				verdict = []election.Verdict{election.Advance, election.RollBack, election.Hold}[n.chance.Intn(3)]
			}
			wish(i, verdict)
			n.at(n.now+nightTerms.Lease/4+n.chance.Int63n(200*ms), again)
		}
		n.at(n.chance.Int63n(500*ms), again)
	}
	if n.Calm {
		n.at(end/3, func() {
			if n.badAt = n.now; n.Rest {
				return
			}
			i := n.leader()
			if n.Planned {
				n.carry(i, n.agents[i].d.Leave(n.clock(n.agents[i])))
				return
			}
			n.agents[i].down = true
			n.at(n.now+end/4, func() { n.start(i, true) })
		})
		return
	}
	n.at(end*2/3, func() { n.badAt = n.now })
	for range 4 + n.chance.Intn(8) {
		at, span := n.chance.Int63n(end*9/10), n.chance.Int63n(5*second)+50*ms
		kind := n.chance.Intn(8)
		if n.change && n.chance.Float64() < 0.4 {
			kind = 8
		}
		n.at(at, func() {
			i := n.chance.Intn(n.Agents)
			if n.chance.Float64() < 0.6 {
				i = n.leader()
			}
			switch kind {
			case 0: // cut off, and goes on
				n.part(func(from, to int) bool { return from == i || to == i }, span)
			case 1: // one way only
				in := n.chance.Float64() < 0.5
				n.part(func(from, to int) bool { return from == i && !in || to == i && in }, span)
			case 2: // halves
				n.part(func(from, to int) bool { return from%2 != to%2 }, span)
			case 3:
				n.loss = n.chance.Float64() / 2
				n.at(n.now+span, func() { n.loss = 0 })
			case 4:
				n.delay = 1 + n.chance.Int63n(600*ms)
				n.at(n.now+span, func() { n.delay = 2 * ms })
			case 5:
				n.stand(i, span)
			case 6:
				n.agents[i].down = true
				n.agents[i].epoch++
				n.at(n.now+span/4, func() { n.start(i, true) })
			case 8: // in, out, and at times one right after the other
				for range 1 + n.chance.Intn(3) {
					if i = n.leader(); !n.agents[i].down && n.now >= n.agents[i].stands {
						d, at := n.agents[i].d, n.chance.Intn(len(n.agents))
						if mask := d.Status(n.clock(n.agents[i])).Members.Mask ^ 1<<at; mask != 0 {
							orders, err := d.ChangeMembers(n.clock(n.agents[i]), mask)
							if n.carry(i, orders); err == nil {
								n.result.Changes++
							}
						}
					}
				}
			case 7:
				n.stalls = n.now + span
				n.stand(i, span/2)
			}
		})
	}
	// Now and then the release moves on, and votes on the old stage are moot.
	for range n.chance.Intn(3) {
		n.at(n.chance.Int63n(end), func() {
			n.stage++
			n.votes = nil
			for i := range n.agents {
				n.at(n.now+n.chance.Int63n(300*ms), func() {
					n.run(i, func(a *agentOf) { n.carry(i, a.d.UpdateRollout(n.clock(a), n.build, n.stage, true)) })
				})
			}
		})
	}
}

func (n *night) part(apart func(from, to int) bool, span int64) {
	for from := range n.cut {
		for to := range n.cut[from] {
			if apart(from, to) {
				n.cut[from][to] = true
			}
		}
	}
	n.at(n.now+span, func() {
		for from := range n.cut {
			clear(n.cut[from])
		}
	})
}
