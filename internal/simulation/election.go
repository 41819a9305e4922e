package simulation

import (
	"math/rand"
	"slices"

	"switchfork/internal/cluster/election"
)

// ElectionSchedule describes one random run of leader election under faults. In it agents have clocks of their own, pause and
// restart; the network loses, delays, duplicates and partitions; and the rollout controller carries votes out late. The checker
// sits at the rollout controller and trusts no agent.
type ElectionSchedule struct {
	Seed              int64
	Agents            int
	Seconds           int
	DisabledGuards    election.DisabledGuards
	LeaderFaultOnly   bool  // no faults but a crash of the leader, at a third of the time
	LeaderLeaves      bool  // a planned leave instead of that crash
	NoFaults          bool  // LeaderFaultOnly, and the leader neither crashes nor leaves
	VoteIndependently bool  // every agent votes by itself: the baseline
	MessageDelay      int64 // each message takes this long, and up to a third more or less
}

// ElectionResult is the outcome of a schedule. Times are in microseconds.
type ElectionResult struct {
	Violations     []string
	Leaderships    int
	LeaderChanges  int
	Gaps           []int64 // periods without a leader
	RollbackAfter  int64   // from the first recommendation to roll back to the vote; -1: never
	Messages       int
	EffectiveVotes int // carried out by the rollout controller
	MemberChanges  int
}

// electionSettings of all schedules.
var electionSettings = election.Settings{
	Lease:          2 * second,
	ClockDrift:     0.005,
	MaxVoteDelay:   800 * ms,
	VoteLifetime:   3 * second,
	RollbackQuorum: 1,
}

// ElectionLease returns the lease of all schedules.
func ElectionLease() int64 { return electionSettings.Lease }

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
	ElectionSchedule
	timeline
	result *ElectionResult
	random *rand.Rand

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

// PlayElection plays a schedule.
func PlayElection(schedule ElectionSchedule) *ElectionResult {
	r := &electionRun{
		ElectionSchedule: schedule,
		result:           &ElectionResult{RollbackAfter: -1},
		random:           rand.New(rand.NewSource(schedule.Seed)),
		maxDelay:         defaultDelay,
		build:            1,
		leader:           noAgent,
	}
	r.makeAgents()
	for i := range r.agents {
		r.start(i, false)
	}
	r.scheduleEvents()
	r.play()
	if r.gapStartedAt > 0 {
		r.result.Gaps = append(r.result.Gaps, r.now-r.gapStartedAt)
	}
	return r.result
}

func (r *electionRun) makeAgents() {
	count := r.Agents
	r.changesMembers = !r.LeaderFaultOnly && r.Agents > 1 && r.random.Float64() < memberChangeRate
	if r.changesMembers {
		count += spareAgents
	}
	r.agents = make([]*electionAgent, count)
	r.isCut = make([][]bool, count)
	for i := range r.agents {
		r.isCut[i] = make([]bool, count)
		r.agents[i] = &electionAgent{
			clockRate: 1 + (r.random.Float64()*2-1)*electionSettings.ClockDrift,
			hasDisk:   r.changesMembers || r.random.Float64() < diskRate,
		}
	}
}

// play runs all events up to the end. After the faults there is time to roll back what is still bad.
func (r *electionRun) play() {
	end := r.end()
	for len(r.events) > 0 {
		next := r.pop()
		isDone := r.LeaderFaultOnly || r.result.RollbackAfter >= 0
		if next.at > end+settlingTime || next.at > end && isDone {
			return
		}
		r.now = next.at
		next.do()
		r.observeLeader()
	}
}

func (r *electionRun) end() int64 { return int64(r.Seconds) * second }

// clock returns an agent's own time.
func (r *electionRun) clock(a *electionAgent) int64 { return int64(float64(r.now)*a.clockRate) + 1 }

// start starts an agent's process, also again. It has its durable state if that was persisted on a disk.
func (r *electionRun) start(i int, isFresh bool) {
	a := r.agents[i]
	a.epoch++
	a.isDown = false
	a.deferred = nil
	a.pausedUntil = 0
	members := election.InitialMembers(r.Agents)
	if i >= r.Agents {
		members = election.Members{} // it has to be let in first
	}
	var state *election.DurableState
	if a.hasDisk && a.persisted != nil {
		state = a.persisted
		isFresh = false
	}
	seed := r.Seed*31 + int64(i) + int64(a.epoch)*7919
	a.replica = election.New(election.Config{
		ID:             i,
		Members:        members,
		State:          state,
		Settings:       electionSettings,
		DisabledGuards: r.DisabledGuards,
		IsFresh:        isFresh,
		Now:            r.clock(a),
		Seed:           seed,
	})
	r.execute(i, a.replica.UpdateRollout(r.clock(a), r.build, r.stage, true))
	r.execute(i, a.replica.Recommend(r.clock(a), a.recommendation))
	r.scheduleTick(i, a.epoch)
}

// runAgent lets an agent act, or defers that while the agent is paused.
func (r *electionRun) runAgent(i int, do func(a *electionAgent)) {
	a := r.agents[i]
	switch {
	case a.isDown:
	case r.now < a.pausedUntil:
		a.deferred = append(a.deferred, func() { do(a) })
	default:
		do(a)
	}
}

func (r *electionRun) scheduleTick(i, epoch int) {
	a := r.agents[i]
	r.schedule(r.now+electionSettings.Lease/ticksPerLease, func() {
		if a.epoch != epoch || a.isDown {
			return
		}
		r.runAgent(i, func(a *electionAgent) { r.execute(i, a.replica.Tick(r.clock(a))) })
		r.scheduleTick(i, epoch)
	})
}

func (r *electionRun) execute(i int, commands []election.Command) {
	for _, command := range slices.Clone(commands) {
		switch command := command.(type) {
		case election.SendMessage:
			r.sendMessage(i, command)
		case election.CastVote:
			if !r.VoteIndependently {
				r.writeVote(i, command)
			}
		case election.Persist:
			r.agents[i].persisted = &command.DurableState
		}
	}
}

// sendMessage delivers a message after a delay, at times twice, or loses it.
func (r *electionRun) sendMessage(from int, command election.SendMessage) {
	if r.now <= r.end() {
		r.result.Messages++
	}
	copies := 1
	if r.random.Float64() < r.lossRate/4 {
		copies = 2
	}
	for range copies {
		if r.random.Float64() < r.lossRate || r.isCut[from][command.To] {
			continue
		}
		r.deliver(from, command)
	}
}

func (r *electionRun) deliver(from int, command election.SendMessage) {
	epoch := r.agents[command.To].epoch
	delay := 1 + r.random.Int63n(r.maxDelay)
	if r.MessageDelay > 0 {
		delay += r.MessageDelay*2/3 + r.random.Int63n(r.MessageDelay*2/3)
	}
	r.schedule(r.now+delay, func() {
		if r.agents[command.To].epoch != epoch {
			return
		}
		r.runAgent(command.To, func(a *electionAgent) {
			r.execute(command.To, a.replica.Receive(r.clock(a), from, command.Message))
		})
	})
}

// writeVote sends a vote to the rollout controller. The process may pause just before it writes; it then looks at the time.
func (r *electionRun) writeVote(i int, vote election.CastVote) {
	epoch := r.agents[i].epoch
	castAt := r.now
	r.schedule(r.now+r.random.Int63n(defaultDelay)+1, func() {
		if r.agents[i].epoch != epoch {
			return
		}
		r.runAgent(i, func(a *electionAgent) {
			isTooLate := r.clock(a) >= vote.WriteBefore && !r.DisabledGuards.LeaseTimeout
			if !isTooLate {
				r.carryOut(i, epoch, vote.Record, castAt)
			}
		})
	})
}

// carryOut lets a written vote take effect after a delay, and answers the agent unless the answer is lost.
func (r *electionRun) carryOut(i, epoch int, record election.Record, castAt int64) {
	delay := r.random.Int63n(maxEffectDelay) + 1
	if r.random.Float64() < lateVoteRate && !r.LeaderFaultOnly {
		delay = r.random.Int63n(electionSettings.MaxVoteDelay - ms)
	}
	isAnswerLost := !r.LeaderFaultOnly && r.random.Float64() < lostAnswerRate
	stalledUntil := min(r.controllerStalledUntil, r.now+electionSettings.MaxVoteDelay-ms)
	r.schedule(max(r.now+delay, stalledUntil), func() {
		r.checkVote(i, record, castAt)
		if isAnswerLost {
			return
		}
		r.runAgent(i, func(a *electionAgent) {
			if a.epoch == epoch {
				r.execute(i, a.replica.ResolveVote(r.clock(a), record))
			}
		})
	})
}
