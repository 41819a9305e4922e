package election

import "testing"

const ms, second = Micros(1000), Micros(1000 * 1000)

var testSettings = Settings{Lease: 2 * second, ClockDrift: 0.005, MaxVoteDelay: 800 * ms, VoteLifetime: 3 * second, RollBackQuorum: 1}

// cluster is three agents and the messages between them, delivered at once unless cut.
type cluster struct {
	replicas      []*Replica
	isPartitioned map[int]bool
	castVotes     map[int][]CastVote
	now           Micros
}

func newCluster(fresh bool) *cluster {
	r := &cluster{isPartitioned: map[int]bool{}, castVotes: map[int][]CastVote{}, now: second}
	for i := range 3 {
		r.replicas = append(r.replicas, New(i, InitialMembers(3), nil, testSettings, DisabledGuards{}, fresh, r.now, int64(i+1)))
		r.execute(i, r.replicas[i].UpdateRollout(r.now, 1, 0, true))
	}
	return r
}

func (r *cluster) execute(from int, commands []Command) {
	for _, command := range append([]Command(nil), commands...) {
		switch command := command.(type) {
		case SendMessage:
			if !r.isPartitioned[from] && !r.isPartitioned[command.To] {
				r.execute(command.To, r.replicas[command.To].Receive(r.now, from, command.Message))
			}
		case CastVote:
			r.castVotes[from] = append(r.castVotes[from], command)
			r.execute(from, r.replicas[from].ResolveVote(r.now, command.Record))
		}
	}
}

func (r *cluster) runUntil(end Micros) {
	for ; r.now < end; r.now += 20 * ms {
		for i, d := range r.replicas {
			r.execute(i, d.Tick(r.now))
		}
	}
}

func (r *cluster) leader() int {
	leader := -1
	for i, d := range r.replicas {
		if d.IsLeader(r.now) {
			leader = i
		}
	}
	return leader
}

func (r *cluster) recommend(i int, v Verdict) {
	r.execute(i, r.replicas[i].Recommend(r.now, Decision{1, 0, v}))
}

// One leads, and what it casts was recorded first; who is cut off loses its lead and casts no more, and the next one holds a
// contrary decision back until nothing of the first can count.
func TestNewLeaderDelaysContraryVote(t *testing.T) {
	c := newCluster(false)
	c.runUntil(3 * second)
	oldLeader := c.leader()
	if oldLeader < 0 {
		t.Fatal("nobody leads")
	}
	c.recommend(oldLeader, Advance)
	if len(c.castVotes[oldLeader]) != 1 || c.castVotes[oldLeader][0].Verdict != Advance {
		t.Fatalf("cast %+v", c.castVotes)
	}
	c.isPartitioned[oldLeader] = true
	cutAt := c.now
	for i := range c.replicas {
		c.recommend(i, RollBack)
	}
	votesBeforeCut := len(c.castVotes[oldLeader])
	c.runUntil(c.now + 4*second)
	newLeader := c.leader()
	if newLeader < 0 || newLeader == oldLeader {
		t.Fatalf("%d leads after the cut", newLeader)
	}
	if len(c.castVotes[oldLeader]) != votesBeforeCut {
		t.Errorf("who was cut off has cast %+v", c.castVotes[oldLeader][votesBeforeCut:])
	}
	for c.now < cutAt+12*second && len(c.castVotes[newLeader]) == 0 {
		for i := range c.replicas {
			c.recommend(i, RollBack)
		}
		c.runUntil(c.now + 20*ms)
	}
	if len(c.castVotes[newLeader]) == 0 || c.castVotes[newLeader][0].Verdict != RollBack {
		t.Fatalf("the next one has cast %+v", c.castVotes[newLeader])
	}
	if c.now < cutAt+testSettings.VoteLifetime+testSettings.MaxVoteDelay {
		t.Errorf("contrary decision after %d us, when the first may count", c.now-cutAt)
	}
}

// After a restart without a memory an agent answers nothing until what it may have known can't count.
func TestFreshReplicasAbstain(t *testing.T) {
	c := newCluster(true)
	c.runUntil(second + testSettings.Lease + testSettings.MaxVoteDelay + testSettings.VoteLifetime)
	if c.leader() >= 0 {
		t.Error("somebody leads by the word of agents without a memory")
	}
	c.runUntil(c.now + 3*second)
	if c.leader() < 0 {
		t.Error("nobody leads when all may answer again")
	}
}

// A planned hand-over: the next in turn leads at once, and the one that left casts nothing more.
func TestLeaveTransfersLeadership(t *testing.T) {
	c := newCluster(false)
	c.runUntil(3 * second)
	oldLeader := c.leader()
	c.execute(oldLeader, c.replicas[oldLeader].Leave(c.now))
	if newLeader := c.leader(); newLeader != (oldLeader+1)%3 {
		t.Errorf("%d leads after %d has left", newLeader, oldLeader)
	}
	c.recommend(oldLeader, Advance)
	c.runUntil(c.now + second)
	if len(c.castVotes[oldLeader]) > 0 {
		t.Errorf("who has left has cast %+v", c.castVotes[oldLeader])
	}
}

// Evidence that flaps each tenth of a second: back is cast at once, and nothing goes on while that vote lives.
func TestAlternatingRecommendations(t *testing.T) {
	cl := newCluster(false)
	cl.runUntil(3 * second)
	leader := cl.leader()
	cl.recommend(leader, RollBack)
	startedAt := cl.now
	for verdict := Advance; cl.now < startedAt+testSettings.VoteLifetime; verdict = Advance + RollBack - verdict {
		cl.recommend(leader, verdict)
		cl.runUntil(cl.now + 100*ms)
	}
	votes := cl.castVotes[leader]
	if len(votes) == 0 || len(votes) > 3 {
		t.Fatalf("%d casts in a vote's life", len(votes))
	}
	for _, vote := range votes {
		if vote.Verdict != RollBack {
			t.Errorf("cast %+v while a vote to go back lives", vote)
		}
	}
	for cl.now < startedAt+3*testSettings.VoteLifetime && cl.castVotes[leader][len(cl.castVotes[leader])-1].Verdict == RollBack {
		cl.recommend(leader, Advance)
		cl.runUntil(cl.now + 100*ms)
	}
	if vote := cl.castVotes[leader]; vote[len(vote)-1].Verdict != Advance {
		t.Errorf("with nothing but good evidence since, the last cast is %+v", vote[len(vote)-1])
	}
}

// A wish to go back from any agent stops going on, also where more are needed to go back.
func TestRollbackRecommendationBlocksAdvance(t *testing.T) {
	c := newCluster(false)
	for _, d := range c.replicas {
		d.settings.RollBackQuorum = 2
	}
	c.runUntil(3 * second)
	leader := c.leader()
	c.recommend((leader+1)%3, RollBack)
	c.recommend(leader, Advance)
	if len(c.castVotes[leader]) != 0 {
		t.Errorf("cast %+v against a wish to go back", c.castVotes[leader])
	}
	c.recommend((leader+2)%3, RollBack)
	c.runUntil(c.now + 100*ms)
	if n := len(c.castVotes[leader]); n == 0 || c.castVotes[leader][n-1].Verdict != RollBack {
		t.Errorf("two of two wishes, cast %+v", c.castVotes[leader])
	}
}
