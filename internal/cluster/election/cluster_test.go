package election

import "testing"

const (
	ms     Micros = 1000
	second        = 1000 * ms
)

func testSettings() Settings {
	return Settings{
		Lease:          2 * second,
		ClockDrift:     0.005,
		MaxVoteDelay:   800 * ms,
		VoteLifetime:   3 * second,
		RollbackQuorum: 1,
	}
}

const (
	clusterSize = 3
	// tickInterval is how often the replicas of a cluster get a tick.
	tickInterval = 20 * ms
	// electionDone is the time by which every test cluster has elected its first leader.
	electionDone = 3 * second
)

// cluster is a group of three replicas. Messages are delivered at once unless the sender or the receiver is partitioned. Votes and probes are
// answered at once unless the rollout controller is stalled.
type cluster struct {
	replicas      []*Replica
	isStalled     bool // the rollout controller answers nothing
	isPartitioned map[int]bool
	votes         map[int][]CastVote // votes cast by each replica
	probes        int                // calls to the rollout controller that change nothing
	now           Micros
}

func newCluster(isFresh bool) *cluster { return newClusterWith(testSettings(), isFresh) }

func newClusterWith(settings Settings, isFresh bool) *cluster {
	c := &cluster{isPartitioned: map[int]bool{}, votes: map[int][]CastVote{}, now: second}
	for i := range clusterSize {
		replica := New(Config{
			ID:       i,
			Members:  InitialMembers(clusterSize),
			Settings: settings,
			IsFresh:  isFresh,
			Now:      c.now,
			Seed:     int64(i + 1),
		})
		c.replicas = append(c.replicas, replica)
		c.execute(i, replica.UpdateRollout(c.now, 1, 0, true))
	}
	return c
}

// execute carries out the commands of a replica. It first copies them, because delivering a message calls replicas again, and a
// replica reuses the slice of its commands.
func (c *cluster) execute(from int, commands []Command) {
	for _, command := range append([]Command(nil), commands...) {
		switch command := command.(type) {
		case SendMessage:
			if !c.isPartitioned[from] && !c.isPartitioned[command.To] {
				c.execute(command.To, c.replicas[command.To].Receive(c.now, from, command.Message))
			}
		case CastVote:
			c.votes[from] = append(c.votes[from], command)
			if !c.isStalled {
				c.execute(from, c.replicas[from].ResolveVote(c.now, command.Record))
			}
		case ProbeController:
			c.probes++
			if !c.isStalled {
				c.execute(from, c.replicas[from].ControllerAnswered(c.now, c.now))
			}
		}
	}
}

func (c *cluster) runUntil(end Micros) {
	for ; c.now < end; c.now += tickInterval {
		for i, replica := range c.replicas {
			c.execute(i, replica.Tick(c.now))
		}
	}
}

// leader returns the replica that leads now, or noReplica.
func (c *cluster) leader() int {
	leader := noReplica
	for i, replica := range c.replicas {
		if replica.IsLeader(c.now) {
			leader = i
		}
	}
	return leader
}

func (c *cluster) recommend(replica int, verdict Verdict) {
	c.execute(replica, c.replicas[replica].Recommend(c.now, Decision{Build: 1, Stage: 0, Verdict: verdict}))
}

func (c *cluster) recommendByAll(verdict Verdict) {
	for i := range c.replicas {
		c.recommend(i, verdict)
	}
}

func (c *cluster) lastVerdict(replica int) Verdict {
	votes := c.votes[replica]
	if len(votes) == 0 {
		return NoVote
	}
	return votes[len(votes)-1].Verdict
}

// A partitioned leader loses its leadership and casts no more votes. The next leader delays a contrary vote until no vote of the
// old leader can count.
func TestNewLeaderDelaysContraryVote(t *testing.T) {
	c := newCluster(false)
	c.runUntil(electionDone)
	oldLeader := c.leader()
	if oldLeader < 0 {
		t.Fatal("no leader was elected")
	}
	c.recommend(oldLeader, Advance)
	if len(c.votes[oldLeader]) != 1 || c.votes[oldLeader][0].Verdict != Advance {
		t.Fatalf("the cluster cast %+v, want one vote of the first leader to advance", c.votes)
	}
	c.isPartitioned[oldLeader] = true
	partitionedAt := c.now
	c.recommendByAll(Rollback)
	votesBefore := len(c.votes[oldLeader])
	c.runUntil(c.now + 4*second)
	newLeader := c.leader()
	if newLeader < 0 || newLeader == oldLeader {
		t.Fatalf("the leader after the partition is replica %d, want one other than %d", newLeader, oldLeader)
	}
	if len(c.votes[oldLeader]) != votesBefore {
		t.Errorf("the partitioned leader cast %+v, want no further vote", c.votes[oldLeader][votesBefore:])
	}
	for c.now < partitionedAt+12*second && len(c.votes[newLeader]) == 0 {
		c.recommendByAll(Rollback)
		c.runUntil(c.now + tickInterval)
	}
	if len(c.votes[newLeader]) == 0 || c.votes[newLeader][0].Verdict != Rollback {
		t.Fatalf("the new leader cast %+v, want a rollback first", c.votes[newLeader])
	}
	if c.now < partitionedAt+testSettings().VoteLifetime+testSettings().MaxVoteDelay {
		t.Errorf("the contrary vote was cast %d us after the partition, when the first vote may still count", c.now-partitionedAt)
	}
}

// A leader's vote may be carried out whenever a rollout controller that stands still goes on. The next leader casts no contrary vote before the
// controller has answered it and the first vote can no longer count, however long that takes. It asks the controller again and again.
func TestContraryVoteWaitsForController(t *testing.T) {
	c := newCluster(false)
	c.runUntil(electionDone)
	oldLeader := c.leader()
	c.isStalled = true
	c.recommend(oldLeader, Advance)
	c.execute(oldLeader, c.replicas[oldLeader].Leave(c.now))
	newLeader := c.leader()
	runRecommending := func(end Micros) {
		for c.now < end && len(c.votes[newLeader]) == 0 {
			c.recommend(newLeader, Rollback)
			c.runUntil(c.now + 100*ms)
		}
	}
	runRecommending(60 * second)
	if len(c.votes[oldLeader]) != 1 || len(c.votes[newLeader]) != 0 || c.leader() != newLeader {
		t.Fatalf("cast %+v while the controller stood still, want the one vote of the first leader", c.votes)
	}
	leases := int(c.now / testSettings().Lease)
	if c.probes < leases || c.probes > 4*leases {
		t.Errorf("got %d probes in %d leases, want about three a lease", c.probes, leases)
	}
	c.isStalled = false
	goesOnAt := c.now
	runRecommending(c.now + 10*second)
	if len(c.votes[newLeader]) != 1 || c.votes[newLeader][0].Verdict != Rollback {
		t.Fatalf("cast %+v after the controller went on, want a rollback of the second leader", c.votes)
	}
	waited := c.now - goesOnAt
	if waited < testSettings().effectWindow() || waited > testSettings().effectWindow()+testSettings().Lease {
		t.Errorf("the contrary vote was cast %d us after the controller went on, want %d and up to a lease more", waited, testSettings().effectWindow())
	}
	probes := c.probes
	c.runUntil(c.now + 10*second)
	if c.probes != probes {
		t.Errorf("got %d more probes when no answer was needed", c.probes-probes)
	}
}

// Replicas that have lost their state elect no leader while the rollout controller stands still: a vote of which they know nothing may be
// carried out as soon as it goes on.
func TestFreshReplicasWaitForController(t *testing.T) {
	c := newCluster(true)
	c.isStalled = true
	c.runUntil(60 * second)
	if leader := c.leader(); leader >= 0 || c.probes == 0 {
		t.Errorf("got leader %d and %d probes while the controller stood still, want no leader and probes", leader, c.probes)
	}
	c.isStalled = false
	c.runUntil(c.now + testSettings().effectWindow())
	if leader := c.leader(); leader >= 0 {
		t.Errorf("replica %d leads before unknown votes can no longer count", leader)
	}
	c.runUntil(c.now + 3*second)
	if c.leader() < 0 {
		t.Error("no leader was elected after the replicas had stopped abstaining")
	}
}

// After a restart without durable state, a replica abstains until all leases that it may have accepted have ended, and the votes
// cast under them can no longer count.
func TestFreshReplicasAbstain(t *testing.T) {
	c := newCluster(true)
	c.runUntil(second + testSettings().Lease + testSettings().MaxVoteDelay + testSettings().VoteLifetime)
	if leader := c.leader(); leader >= 0 {
		t.Errorf("replica %d leads while all replicas should abstain", leader)
	}
	c.runUntil(c.now + 3*second)
	if c.leader() < 0 {
		t.Error("no leader was elected after the replicas had stopped abstaining")
	}
}

// When a leader leaves, the replica with the next ID leads at once, and the old leader casts no more votes.
func TestLeaveTransfersLeadership(t *testing.T) {
	c := newCluster(false)
	c.runUntil(electionDone)
	oldLeader := c.leader()
	c.execute(oldLeader, c.replicas[oldLeader].Leave(c.now))
	if newLeader := c.leader(); newLeader != (oldLeader+1)%clusterSize {
		t.Errorf("replica %d leads after replica %d has left, want the replica with the next ID", newLeader, oldLeader)
	}
	c.recommend(oldLeader, Advance)
	c.runUntil(c.now + second)
	if len(c.votes[oldLeader]) > 0 {
		t.Errorf("the replica that has left cast %+v, want no votes", c.votes[oldLeader])
	}
}

// When the recommendation alternates every tenth of a second, a rollback is cast at once, and no advance is cast during the
// rollback's lifetime.
func TestAlternatingRecommendations(t *testing.T) {
	c := newCluster(false)
	c.runUntil(electionDone)
	leader := c.leader()
	c.recommend(leader, Rollback)
	startedAt := c.now
	for verdict := Advance; c.now < startedAt+testSettings().VoteLifetime; verdict = Advance + Rollback - verdict {
		c.recommend(leader, verdict)
		c.runUntil(c.now + 100*ms)
	}
	votes := c.votes[leader]
	if len(votes) == 0 || len(votes) > 3 {
		t.Fatalf("%d votes in a vote's lifetime, want 1 to 3", len(votes))
	}
	for _, vote := range votes {
		if vote.Verdict != Rollback {
			t.Errorf("cast %+v during the lifetime of a rollback, want only rollbacks", vote)
		}
	}
	for c.now < startedAt+3*testSettings().VoteLifetime && c.lastVerdict(leader) == Rollback {
		c.recommend(leader, Advance)
		c.runUntil(c.now + 100*ms)
	}
	if got := c.lastVerdict(leader); got != Advance {
		t.Errorf("the last verdict cast is %v after only advances were recommended, want an advance", got)
	}
}

// One replica's recommendation to roll back prevents an advance, even if a rollback needs the recommendations of several
// replicas.
func TestRollbackRecommendationBlocksAdvance(t *testing.T) {
	settings := testSettings()
	settings.RollbackQuorum = 2
	c := newClusterWith(settings, false)
	c.runUntil(electionDone)
	leader := c.leader()
	c.recommend((leader+1)%clusterSize, Rollback)
	c.recommend(leader, Advance)
	if len(c.votes[leader]) != 0 {
		t.Errorf("cast %+v although one replica recommends a rollback, want no vote", c.votes[leader])
	}
	c.recommend((leader+2)%clusterSize, Rollback)
	c.runUntil(c.now + 100*ms)
	if got := c.lastVerdict(leader); got != Rollback {
		t.Errorf("the last verdict cast is %v after two replicas, which are enough, recommended a rollback, want a rollback", got)
	}
}

// If most replicas lose their state, the records of the next leader look newer than those that another replica has kept from before. A leader
// that the latter elects later would otherwise not know of the votes between.
func TestTermsRiseAfterLossOfState(t *testing.T) {
	c := newCluster(false)
	c.runUntil(electionDone)
	kept := c.leader()
	c.recommend(kept, Advance)
	before := c.replicas[kept].Status(c.now).Newest
	c.isPartitioned[kept] = true
	for i := range c.replicas {
		if i != kept {
			c.replicas[i] = New(Config{
				ID: i, Members: InitialMembers(clusterSize), Settings: testSettings(), IsFresh: true, FirstRound: uint64(c.now / ms), Now: c.now, Seed: int64(i + 1),
			})
			c.execute(i, c.replicas[i].UpdateRollout(c.now, 1, 0, true))
		}
	}
	c.runUntil(c.now + 12*second)
	leader := c.leader()
	if leader < 0 || leader == kept {
		t.Fatalf("replica %d leads, want one of those that have lost their state", leader)
	}
	c.recommend(leader, Rollback)
	if after := c.replicas[leader].Status(c.now).Newest; after.Verdict != Rollback || !after.isNewerThan(before) {
		t.Errorf("the record %+v after the loss of state is not newer than %+v", after, before)
	}
}
