package election

import "testing"

const ms, second = Micros(1000), Micros(1000 * 1000)

var terms = Settings{Lease: 2 * second, ClockDrift: 0.005, MaxVoteDelay: 800 * ms, VoteLifetime: 3 * second, RollBackQuorum: 1}

// ring is three agents and the messages between them, delivered at once unless cut.
type ring struct {
	all   []*Replica
	cut   map[int]bool
	casts map[int][]CastVote
	now   Micros
}

func newRing(fresh bool) *ring {
	r := &ring{cut: map[int]bool{}, casts: map[int][]CastVote{}, now: second}
	for i := range 3 {
		r.all = append(r.all, New(i, InitialMembers(3), nil, terms, DisabledGuards{}, fresh, r.now, int64(i+1)))
		r.carry(i, r.all[i].UpdateRollout(r.now, 1, 0, true))
	}
	return r
}

func (r *ring) carry(from int, orders []Command) {
	for _, o := range append([]Command(nil), orders...) {
		switch o := o.(type) {
		case SendMessage:
			if !r.cut[from] && !r.cut[o.To] {
				r.carry(o.To, r.all[o.To].Receive(r.now, from, o.Message))
			}
		case CastVote:
			r.casts[from] = append(r.casts[from], o)
			r.carry(from, r.all[from].ResolveVote(r.now, o.Record))
		}
	}
}

func (r *ring) until(end Micros) {
	for ; r.now < end; r.now += 20 * ms {
		for i, d := range r.all {
			r.carry(i, d.Tick(r.now))
		}
	}
}

func (r *ring) leader() int {
	who := -1
	for i, d := range r.all {
		if d.IsLeader(r.now) {
			who = i
		}
	}
	return who
}

func (r *ring) wish(i int, v Verdict) {
	r.carry(i, r.all[i].Recommend(r.now, Decision{1, 0, v}))
}

// One leads, and what it casts was recorded first; who is cut off loses its lead and casts no more, and the next one holds a
// contrary decision back until nothing of the first can count.
func TestHandOverWaits(t *testing.T) {
	r := newRing(false)
	r.until(3 * second)
	old := r.leader()
	if old < 0 {
		t.Fatal("nobody leads")
	}
	r.wish(old, Advance)
	if len(r.casts[old]) != 1 || r.casts[old][0].Verdict != Advance {
		t.Fatalf("cast %+v", r.casts)
	}
	r.cut[old] = true
	cutAt := r.now
	for i := range r.all {
		r.wish(i, RollBack)
	}
	mine := len(r.casts[old])
	r.until(r.now + 4*second)
	next := r.leader()
	if next < 0 || next == old {
		t.Fatalf("%d leads after the cut", next)
	}
	if len(r.casts[old]) != mine {
		t.Errorf("who was cut off has cast %+v", r.casts[old][mine:])
	}
	for r.now < cutAt+12*second && len(r.casts[next]) == 0 {
		for i := range r.all {
			r.wish(i, RollBack)
		}
		r.until(r.now + 20*ms)
	}
	if len(r.casts[next]) == 0 || r.casts[next][0].Verdict != RollBack {
		t.Fatalf("the next one has cast %+v", r.casts[next])
	}
	if r.now < cutAt+terms.VoteLifetime+terms.MaxVoteDelay {
		t.Errorf("contrary decision after %d us, when the first may count", r.now-cutAt)
	}
}

// After a restart without a memory an agent answers nothing until what it may have known can't count.
func TestFreshAgentsAbstain(t *testing.T) {
	r := newRing(true)
	r.until(second + terms.Lease + terms.MaxVoteDelay + terms.VoteLifetime)
	if r.leader() >= 0 {
		t.Error("somebody leads by the word of agents without a memory")
	}
	r.until(r.now + 3*second)
	if r.leader() < 0 {
		t.Error("nobody leads when all may answer again")
	}
}

// A planned hand-over: the next in turn leads at once, and the one that left casts nothing more.
func TestLeaving(t *testing.T) {
	r := newRing(false)
	r.until(3 * second)
	old := r.leader()
	r.carry(old, r.all[old].Leave(r.now))
	if next := r.leader(); next != (old+1)%3 {
		t.Errorf("%d leads after %d has left", next, old)
	}
	r.wish(old, Advance)
	r.until(r.now + second)
	if len(r.casts[old]) > 0 {
		t.Errorf("who has left has cast %+v", r.casts[old])
	}
}

// Evidence that flaps each tenth of a second: back is cast at once, and nothing goes on while that vote lives.
func TestFlappingEvidence(t *testing.T) {
	r := newRing(false)
	r.until(3 * second)
	lead := r.leader()
	r.wish(lead, RollBack)
	began := r.now
	for verdict := Advance; r.now < began+terms.VoteLifetime; verdict = Advance + RollBack - verdict {
		r.wish(lead, verdict)
		r.until(r.now + 100*ms)
	}
	casts := r.casts[lead]
	if len(casts) == 0 || len(casts) > 3 {
		t.Fatalf("%d casts in a vote's life", len(casts))
	}
	for _, c := range casts {
		if c.Verdict != RollBack {
			t.Errorf("cast %+v while a vote to go back lives", c)
		}
	}
	for r.now < began+3*terms.VoteLifetime && r.casts[lead][len(r.casts[lead])-1].Verdict == RollBack {
		r.wish(lead, Advance)
		r.until(r.now + 100*ms)
	}
	if c := r.casts[lead]; c[len(c)-1].Verdict != Advance {
		t.Errorf("with nothing but good evidence since, the last cast is %+v", c[len(c)-1])
	}
}

// A wish to go back from any agent stops going on, also where more are needed to go back.
func TestInDoubtNobodyVotesOn(t *testing.T) {
	r := newRing(false)
	for _, d := range r.all {
		d.terms.RollBackQuorum = 2
	}
	r.until(3 * second)
	lead := r.leader()
	r.wish((lead+1)%3, RollBack)
	r.wish(lead, Advance)
	if len(r.casts[lead]) != 0 {
		t.Errorf("cast %+v against a wish to go back", r.casts[lead])
	}
	r.wish((lead+2)%3, RollBack)
	r.until(r.now + 100*ms)
	if n := len(r.casts[lead]); n == 0 || r.casts[lead][n-1].Verdict != RollBack {
		t.Errorf("two of two wishes, cast %+v", r.casts[lead])
	}
}
