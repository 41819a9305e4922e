package election

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const (
	// modelReplicas is the number of replicas. Replicas with IDs from modelInitialMembers on become members only by a change of
	// the members.
	modelReplicas       = 4
	modelInitialMembers = 3
	// maxInFlight is how many messages may be in flight. Further messages are lost.
	maxInFlight = 400
	// modelStep is the time between two ticks.
	modelStep = 50 * ms
)

// modelCluster is a group of replicas whose clocks all agree, and whose messages may be reordered, duplicated or lost.
type modelCluster struct {
	replicas  []*Replica
	persisted []*DurableState // last persisted state of each replica; nil: none yet
	isPaused  []bool
	inFlight  []envelope
	now       Micros
	votes     []observedVote
	lastSeed  int64

	isStalled bool    // the rollout controller answers nothing and carries out nothing
	probes    []probe // calls to the rollout controller that are not answered yet

	quorumViolation string // describes a vote that was cast before a quorum knew its record; empty: none
	memberChanges   int    // number of accepted changes of the members
}

// envelope is a message in flight.
type envelope struct {
	from, to int
	message  Message
}

// observedVote is a vote, the replica that cast it, and the time of the cast. The rollout controller may carry it out at any time until it
// answers a call that began after the cast, and for MaxVoteDelay from then.
type observedVote struct {
	replica int
	CastVote
	at         Micros
	isBounded  bool   // the rollout controller has answered such a call
	answeredAt Micros // when it did
}

// mayCount reports whether a vote may be in force at the time at, or come into force then.
func (v *observedVote) mayCount(at Micros) bool {
	return !v.isBounded || at < v.answeredAt+testSettings().MaxVoteDelay+testSettings().VoteLifetime
}

// probe is a call to the rollout controller that has begun.
type probe struct {
	replica int
	begunAt Micros
}

func newModelCluster() *modelCluster {
	c := &modelCluster{
		replicas:  make([]*Replica, modelReplicas),
		persisted: make([]*DurableState, modelReplicas),
		isPaused:  make([]bool, modelReplicas),
		now:       second,
	}
	for i := range c.replicas {
		c.startReplica(i)
	}
	return c
}

// startReplica starts a replica with the state that it has persisted.
func (c *modelCluster) startReplica(i int) {
	members := InitialMembers(modelInitialMembers)
	if i >= modelInitialMembers {
		members = Members{}
	}
	c.lastSeed++
	c.replicas[i] = New(Config{
		ID:       i,
		Members:  members,
		State:    c.persisted[i],
		Settings: testSettings(),
		Now:      c.now,
		Seed:     c.lastSeed,
	})
	c.isPaused[i] = false
	c.execute(i, c.replicas[i].UpdateRollout(c.now, 1, 0, true))
}

func (c *modelCluster) execute(i int, commands []Command) {
	for _, command := range append([]Command(nil), commands...) {
		switch command := command.(type) {
		case Persist:
			c.persisted[i] = &command.DurableState
		case SendMessage:
			if len(c.inFlight) < maxInFlight {
				c.inFlight = append(c.inFlight, envelope{i, command.To, command.Message})
			}
		case CastVote:
			c.observeVote(i, command)
		case ProbeController:
			c.probes = append(c.probes, probe{i, c.now})
		}
	}
}

// observeVote checks that a quorum of the caster's members knows the record of a vote, or a newer one, and that the caster has
// persisted its state.
func (c *modelCluster) observeVote(caster int, vote CastVote) {
	if c.persisted[caster] == nil {
		panic("a replica cast a vote before it persisted any state")
	}
	c.votes = append(c.votes, observedVote{replica: caster, CastVote: vote, at: c.now})
	members := c.replicas[caster].election.membership.current
	knownBy := 0
	for i, replica := range c.replicas {
		if members.Contains(i) && !vote.isNewerThan(replica.votes.log.newest) {
			knownBy++
		}
	}
	if 2*knownBy <= members.Count() {
		c.quorumViolation = fmt.Sprintf("%+v was cast when only %d of %d members knew its record", vote, knownBy, members.Count())
	}
}

// checkInvariants fails the test unless at most one replica leads, the last vote is not contrary to a vote of another replica that
// may still count, and the record of each vote was replicated before the vote was cast.
func (c *modelCluster) checkInvariants(t *rapid.T) {
	leaders := []int{}
	for i, replica := range c.replicas {
		if !c.isPaused[i] && replica.IsLeader(c.now) {
			leaders = append(leaders, i)
		}
	}
	if len(leaders) > 1 {
		t.Fatalf("at %d us replicas %v lead at the same time", c.now, leaders)
	}
	for _, earlier := range c.votes {
		last := c.votes[len(c.votes)-1]
		isContrary := earlier.replica != last.replica && earlier.isSameStage(last.Decision) && earlier.Verdict != last.Verdict
		if isContrary && earlier.mayCount(last.at) {
			t.Fatalf("%+v was cast while the contrary vote %+v may still count", last, earlier)
		}
	}
	if c.quorumViolation != "" {
		t.Fatal(c.quorumViolation)
	}
}

func (c *modelCluster) receive(e envelope) {
	if !c.isPaused[e.to] {
		c.execute(e.to, c.replicas[e.to].Receive(c.now, e.from, e.message))
	}
}

// answerProbes has the rollout controller answer the open probes, unless it is stalled. Some answers are lost.
func (c *modelCluster) answerProbes(t *rapid.T, mayLose bool) {
	if c.isStalled {
		return
	}
	open := c.probes
	c.probes = nil
	for _, p := range open {
		c.boundVotes(p.begunAt)
		isLost := mayLose && rapid.Bool().Draw(t, "lost")
		if !c.isPaused[p.replica] && !isLost {
			c.execute(p.replica, c.replicas[p.replica].ControllerAnswered(c.now, p.begunAt))
		}
	}
}

// boundVotes records that the rollout controller has answered a call that began at begunAt.
func (c *modelCluster) boundVotes(begunAt Micros) {
	for i := range c.votes {
		vote := &c.votes[i]
		if !vote.isBounded && vote.at <= begunAt {
			vote.isBounded, vote.answeredAt = true, c.now
		}
	}
}

// runFor lets time pass without delivering messages.
func (c *modelCluster) runFor(t *rapid.T, steps int) {
	for range steps {
		c.now += modelStep
		for i, replica := range c.replicas {
			if !c.isPaused[i] {
				c.execute(i, replica.Tick(c.now))
			}
		}
		c.checkInvariants(t)
	}
}

// runReliably lets time pass and delivers all messages in order. Without such periods, no replica would ever lead.
func (c *modelCluster) runReliably(t *rapid.T, steps int) {
	for range steps {
		c.runFor(t, 1)
		for len(c.inFlight) > 0 {
			next := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.receive(next)
			c.checkInvariants(t)
		}
		c.answerProbes(t, false)
		c.checkInvariants(t)
	}
}

// deliverAny delivers up to count messages in any order, some of them more than once.
func (c *modelCluster) deliverAny(t *rapid.T, count int) {
	for ; count > 0 && len(c.inFlight) > 0; count-- {
		index := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "index")
		next := c.inFlight[index]
		if !rapid.Bool().Draw(t, "duplicate") {
			c.inFlight = append(c.inFlight[:index], c.inFlight[index+1:]...)
		}
		c.receive(next)
	}
}

func (c *modelCluster) dropOldest(t *rapid.T) {
	if len(c.inFlight) > 0 {
		c.inFlight = c.inFlight[rapid.IntRange(1, len(c.inFlight)).Draw(t, "count"):]
	}
}

func (c *modelCluster) recommend(i int, verdict Verdict) {
	if !c.isPaused[i] {
		c.execute(i, c.replicas[i].Recommend(c.now, Decision{Build: 1, Stage: 0, Verdict: verdict}))
	}
}

func (c *modelCluster) restart(i int) {
	if c.persisted[i] != nil {
		c.startReplica(i)
	}
}

// changeMember has the leader add or remove any one replica.
func (c *modelCluster) changeMember(t *rapid.T) {
	for i, replica := range c.replicas {
		if c.isPaused[i] || !replica.IsLeader(c.now) {
			continue
		}
		changed := anyReplica().Draw(t, "member")
		commands, err := replica.ChangeMembers(c.now, replica.election.membership.current.Mask^1<<changed)
		c.execute(i, commands)
		if err == nil {
			c.memberChanges++
		}
	}
}

func (c *modelCluster) leave(i int) {
	if !c.isPaused[i] && c.persisted[i] != nil {
		c.execute(i, c.replicas[i].Leave(c.now))
	}
}

func anyReplica() *rapid.Generator[int] { return rapid.IntRange(0, modelReplicas-1) }

// actions returns the events that may happen to a cluster. The invariants are checked after each of them.
func (c *modelCluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"runReliably": func(t *rapid.T) { c.runReliably(t, rapid.IntRange(1, 40).Draw(t, "steps")) },
		"runFor":      func(t *rapid.T) { c.runFor(t, rapid.IntRange(1, 60).Draw(t, "steps")) },
		"deliver":     func(t *rapid.T) { c.deliverAny(t, rapid.IntRange(1, 10).Draw(t, "count")) },
		"drop":        c.dropOldest,
		"recommend": func(t *rapid.T) {
			c.recommend(anyReplica().Draw(t, "replica"), Verdict(rapid.IntRange(0, 3).Draw(t, "verdict")))
		},
		"pause":        func(t *rapid.T) { c.isPaused[anyReplica().Draw(t, "replica")] = true },
		"resume":       func(t *rapid.T) { c.isPaused[anyReplica().Draw(t, "replica")] = false },
		"restart":      func(t *rapid.T) { c.restart(anyReplica().Draw(t, "replica")) },
		"changeMember": c.changeMember,
		"stall":        func(*rapid.T) { c.isStalled = true },
		"goOn":         func(*rapid.T) { c.isStalled = false },
		"answer":       func(t *rapid.T) { c.answerProbes(t, true) },
		"leave":        func(t *rapid.T) { c.leave(anyReplica().Draw(t, "replica")) },
		"":             c.checkInvariants,
	}
}

// The invariants hold when messages are lost, duplicated, delayed or reordered, when replicas pause, restart from their durable state, join
// or leave, and when the rollout controller stands still for any time.
func TestClusterInvariants(t *testing.T) {
	voteCount, changeCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newModelCluster()
		t.Repeat(c.actions())
		voteCount += len(c.votes)
		changeCount += c.memberChanges
	})
	if voteCount == 0 || changeCount == 0 {
		t.Errorf("got %d votes and %d changes of members, want at least one of each, or the checks prove nothing", voteCount, changeCount)
	}
}
