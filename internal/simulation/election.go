package simulation

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"

	"switchfork/internal/cluster/election"
)

// Schedule describes one random run of leader election under faults. In it agents have clocks of their own, pause and restart;
// the network loses, delays, duplicates and partitions; and the rollout controller carries votes out late. The checker sits at
// the rollout controller and trusts no agent.
type Schedule struct {
	Seed              int64
	Agents            int
	Seconds           int
	Without           election.DisabledGuards
	Calm              bool  // no faults but a crash of the leader, at a third of the time
	LeaderLeaves      bool  // a planned leave instead of that crash
	NoFaults          bool  // Calm, and the leader neither crashes nor leaves
	VoteIndependently bool  // every agent votes by itself: the baseline
	Slow              int64 // each message takes this long, and up to a third more or less
}

// Night is the outcome of a schedule. Times are in microseconds.
type Night struct {
	Violations     []string
	Leaderships    int
	LeaderChanges  int
	Gaps           []int64 // periods without a leader
	RollbackAfter  int64   // from the first recommendation to roll back to the vote; -1: never
	Messages       int
	EffectiveVotes int // carried out by the rollout controller
	MemberChanges  int
}

var electionSettings = election.Settings{
	Lease:          2 * second,
	ClockDrift:     0.005,
	MaxVoteDelay:   800 * ms,
	VoteLifetime:   3 * second,
	RollBackQuorum: 1,
}

// NightLease returns the lease of all schedules.
func NightLease() int64 { return electionSettings.Lease }

const (
	// settlingTime after the faults: a bad build is rolled back within a few leases and a vote's lifetime.
	settlingTime = 20 * second
	// spareAgents may be let in, in schedules in which members change.
	spareAgents = 2
	// ticksPerLease of an agent.
	ticksPerLease = 15
	// defaultDelay bounds how long a message takes without faults, and how long an agent needs to write a vote.
	defaultDelay = 2 * ms
	// maxEffectDelay of a vote at the rollout controller, without faults.
	maxEffectDelay = 40 * ms
	// maxViolations are kept of a schedule.
	maxViolations = 5

	memberChangeRate = 0.3 // of the schedules with faults
	diskRate         = 0.5 // of the agents where members don't change
	lateVoteRate     = 0.2
	lostAnswerRate   = 0.1
)

const noAgent = -1

// electionAgent is an agent's process.
type electionAgent struct {
	replica        *election.Replica
	clockRate      float64
	isDown         bool
	pausedUntil    int64
	deferred       []func() // what came in during the pause
	epoch          int      // counts the starts
	recommendation election.Decision
	hasDisk        bool // its durable state survives a restart
	persisted      *election.DurableState
}

// effectiveVote is a vote that the rollout controller has carried out.
type effectiveVote struct {
	agent  int
	record election.Record
	until  int64 // it counts until then
}

// electionRun is the state of a schedule that is being played.
type electionRun struct {
	Schedule
	result *Night
	random *rand.Rand
	now    int64
	events events
	seq    int

	agents         []*electionAgent
	changesMembers bool // each agent then has a disk: without one it would forget the members

	isCut    [][]bool // from, to
	lossRate float64
	maxDelay int64

	build, stage           int32
	controllerStalledUntil int64
	votes                  []effectiveVote
	newestVote             effectiveVote // until is when it took effect
	badSince               int64         // 0: the build is good

	leader       int // the last that led
	gapStartedAt int64
}

// PlayNight plays a schedule.
func PlayNight(schedule Schedule) *Night {
	n := &electionRun{
		Schedule: schedule,
		result:   &Night{RollbackAfter: -1},
		random:   rand.New(rand.NewSource(schedule.Seed)),
		maxDelay: defaultDelay,
		build:    1,
		leader:   noAgent,
	}
	n.makeAgents()
	for i := range n.agents {
		n.start(i, false)
	}
	n.scheduleEvents()
	n.play()
	if n.gapStartedAt > 0 {
		n.result.Gaps = append(n.result.Gaps, n.now-n.gapStartedAt)
	}
	return n.result
}

func (n *electionRun) makeAgents() {
	count := n.Agents
	n.changesMembers = !n.Calm && n.Agents > 1 && n.random.Float64() < memberChangeRate
	if n.changesMembers {
		count += spareAgents
	}
	n.agents = make([]*electionAgent, count)
	n.isCut = make([][]bool, count)
	for i := range n.agents {
		n.isCut[i] = make([]bool, count)
		n.agents[i] = &electionAgent{
			clockRate: 1 + (n.random.Float64()*2-1)*electionSettings.ClockDrift,
			hasDisk:   n.changesMembers || n.random.Float64() < diskRate,
		}
	}
}

// play runs all events up to the end. After the faults there is time to roll back what is still bad.
func (n *electionRun) play() {
	end := n.end()
	for len(n.events) > 0 {
		next := heap.Pop(&n.events).(event)
		isDone := n.Calm || n.result.RollbackAfter >= 0
		if next.at > end+settlingTime || next.at > end && isDone {
			return
		}
		n.now = next.at
		next.do()
		n.observeLeader()
	}
}

func (n *electionRun) end() int64 { return int64(n.Seconds) * second }

func (n *electionRun) schedule(at int64, do func()) {
	n.seq++
	heap.Push(&n.events, event{max(at, n.now), n.seq, do})
}

// clock returns an agent's own time.
func (n *electionRun) clock(a *electionAgent) int64 { return int64(float64(n.now)*a.clockRate) + 1 }

// start starts an agent's process, also again. It has its durable state if that was persisted on a disk.
func (n *electionRun) start(i int, isFresh bool) {
	a := n.agents[i]
	a.epoch++
	a.isDown = false
	a.deferred = nil
	a.pausedUntil = 0
	members := election.InitialMembers(n.Agents)
	if i >= n.Agents {
		members = election.Members{} // it has to be let in first
	}
	var state *election.DurableState
	if a.hasDisk && a.persisted != nil {
		state = a.persisted
		isFresh = false
	}
	seed := n.Seed*31 + int64(i) + int64(a.epoch)*7919
	a.replica = election.New(i, members, state, electionSettings, n.Without, isFresh, n.clock(a), seed)
	n.execute(i, a.replica.UpdateRollout(n.clock(a), n.build, n.stage, true))
	n.execute(i, a.replica.Recommend(n.clock(a), a.recommendation))
	n.scheduleTick(i, a.epoch)
}

// run lets an agent act, or defers that while the agent is paused.
func (n *electionRun) run(i int, do func(a *electionAgent)) {
	a := n.agents[i]
	switch {
	case a.isDown:
	case n.now < a.pausedUntil:
		a.deferred = append(a.deferred, func() { do(a) })
	default:
		do(a)
	}
}

func (n *electionRun) scheduleTick(i, epoch int) {
	a := n.agents[i]
	n.schedule(n.now+electionSettings.Lease/ticksPerLease, func() {
		if a.epoch != epoch || a.isDown {
			return
		}
		n.run(i, func(a *electionAgent) { n.execute(i, a.replica.Tick(n.clock(a))) })
		n.scheduleTick(i, epoch)
	})
}

func (n *electionRun) execute(i int, commands []election.Command) {
	for _, command := range slices.Clone(commands) {
		switch command := command.(type) {
		case election.SendMessage:
			n.sendMessage(i, command)
		case election.CastVote:
			if !n.VoteIndependently {
				n.writeVote(i, command)
			}
		case election.Persist:
			n.agents[i].persisted = &command.DurableState
		}
	}
}

// sendMessage delivers a message after a delay, at times twice, or loses it.
func (n *electionRun) sendMessage(from int, command election.SendMessage) {
	if n.now <= n.end() {
		n.result.Messages++
	}
	copies := 1
	if n.random.Float64() < n.lossRate/4 {
		copies = 2
	}
	for range copies {
		if n.random.Float64() < n.lossRate || n.isCut[from][command.To] {
			continue
		}
		n.deliver(from, command)
	}
}

func (n *electionRun) deliver(from int, command election.SendMessage) {
	epoch := n.agents[command.To].epoch
	delay := 1 + n.random.Int63n(n.maxDelay)
	if n.Slow > 0 {
		delay += n.Slow*2/3 + n.random.Int63n(n.Slow*2/3)
	}
	n.schedule(n.now+delay, func() {
		if n.agents[command.To].epoch != epoch {
			return
		}
		n.run(command.To, func(a *electionAgent) {
			n.execute(command.To, a.replica.Receive(n.clock(a), from, command.Message))
		})
	})
}

// writeVote sends a vote to the rollout controller. The process may pause just before it writes; it then looks at the time.
func (n *electionRun) writeVote(i int, vote election.CastVote) {
	epoch := n.agents[i].epoch
	castAt := n.now
	n.schedule(n.now+n.random.Int63n(defaultDelay)+1, func() {
		if n.agents[i].epoch != epoch {
			return
		}
		n.run(i, func(a *electionAgent) {
			isTooLate := n.clock(a) >= vote.WriteBefore && !n.Without.LeaseExpiry
			if !isTooLate {
				n.carryOut(i, epoch, vote.Record, castAt)
			}
		})
	})
}

// carryOut lets a written vote take effect after a delay, and answers the agent unless the answer is lost.
func (n *electionRun) carryOut(i, epoch int, record election.Record, castAt int64) {
	delay := n.random.Int63n(maxEffectDelay) + 1
	if n.random.Float64() < lateVoteRate && !n.Calm {
		delay = n.random.Int63n(electionSettings.MaxVoteDelay - ms)
	}
	isAnswerLost := !n.Calm && n.random.Float64() < lostAnswerRate
	stalledUntil := min(n.controllerStalledUntil, n.now+electionSettings.MaxVoteDelay-ms)
	n.schedule(max(n.now+delay, stalledUntil), func() {
		n.checkVote(i, record, castAt)
		if isAnswerLost {
			return
		}
		n.run(i, func(a *electionAgent) {
			if a.epoch == epoch {
				n.execute(i, a.replica.ResolveVote(n.clock(a), record))
			}
		})
	})
}

// checkVote takes a vote into effect at the rollout controller. It must not be contrary to another agent's that counts, nor
// advance the build when it was cast before another agent's contrary vote took effect.
func (n *electionRun) checkVote(i int, record election.Record, castAt int64) {
	if record.Build != n.build || record.Stage != n.stage {
		return // moot
	}
	n.result.EffectiveVotes++
	n.votes = slices.DeleteFunc(n.votes, func(v effectiveVote) bool { return v.until <= n.now || v.agent == i })
	for _, other := range n.votes {
		if isContrary(other.record, record) {
			n.reportViolation("at %d us agent %d's %v counts beside agent %d's %v", n.now, i, record, other.agent, other.record)
		}
	}
	newest := n.newestVote
	if newest.agent != i && castAt < newest.until && record.Verdict == election.Advance && isContrary(newest.record, record) {
		n.reportViolation("at %d us deposed agent %d's %v is carried out after %v", n.now, i, record, newest.record)
	}
	n.newestVote = effectiveVote{agent: i, record: record, until: n.now}
	n.votes = append(n.votes, effectiveVote{agent: i, record: record, until: n.now + electionSettings.VoteLifetime})
	if record.Verdict == election.RollBack && n.badSince > 0 && n.result.RollbackAfter < 0 {
		n.result.RollbackAfter = n.now - n.badSince
	}
}

// isContrary reports whether two records decide differently on the same stage.
func isContrary(a, b election.Record) bool {
	return a.Build == b.Build && a.Stage == b.Stage && a.Verdict != b.Verdict
}

func (n *electionRun) reportViolation(format string, arguments ...any) {
	if len(n.result.Violations) < maxViolations {
		n.result.Violations = append(n.result.Violations, fmt.Sprintf(format, arguments...))
	}
}

// observeLeader keeps the account of who leads, and checks that one agent does at most.
func (n *electionRun) observeLeader() {
	leader, count := noAgent, 0
	for i, a := range n.agents {
		if !a.isDown && n.now >= a.pausedUntil && a.replica.IsLeader(n.clock(a)) {
			leader = i
			count++
		}
	}
	if count > 1 {
		n.reportViolation("at %d us %d agents lead", n.now, count)
	}
	if leader == noAgent {
		if n.gapStartedAt == 0 {
			n.gapStartedAt = n.now
		}
		return
	}
	if n.gapStartedAt > 0 {
		n.result.Gaps = append(n.result.Gaps, n.now-n.gapStartedAt)
		n.gapStartedAt = 0
	}
	if leader == n.leader {
		return
	}
	n.result.Leaderships++
	if n.leader != noAgent {
		n.result.LeaderChanges++
	}
	n.leader = leader
}
