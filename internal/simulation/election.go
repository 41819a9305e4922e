package simulation

import (
	"fmt"
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
	// spareAgents may become members, in schedules in which members change.
	spareAgents = 2
	// ticksPerLease of an agent.
	ticksPerLease = 15
	// maxEffectDelay of a vote at the rollout controller, without faults.
	maxEffectDelay = 40 * ms
	// maxViolations of a schedule are recorded.
	maxViolations = 5

	// memberChangeRate of the schedules with faults have changes of members.
	memberChangeRate = 0.3
	// diskRate of the agents have a disk, where members don't change.
	diskRate = 0.5
	// lateVoteRate of the votes are carried out late.
	lateVoteRate = 0.2
	// lostAnswerRate of the votes' answers are lost.
	lostAnswerRate = 0.1
)

// addViolation keeps a violation of the rules, unless there are enough.
func (r *ElectionResult) addViolation(format string, arguments ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, arguments...))
	}
}

// electionRun is the state of a schedule that is being played. It connects the agents with the network and the rollout controller.
type electionRun struct {
	ElectionSchedule
	timeline
	result *ElectionResult
	random *rand.Rand

	agents         []*electionAgent
	changesMembers bool // each agent then has a disk: without one it would forget the members
	network        *electionNetwork
	controller     *rolloutController
	leadership     *leadershipObserver
}

// PlayElection plays a schedule.
func PlayElection(schedule ElectionSchedule) *ElectionResult {
	result := &ElectionResult{RollbackAfter: -1}
	r := &electionRun{
		ElectionSchedule: schedule,
		result:           result,
		random:           rand.New(rand.NewSource(schedule.Seed)),
		controller:       &rolloutController{result: result, build: 1},
		leadership:       &leadershipObserver{result: result, leader: noAgent},
	}
	r.makeAgents()
	r.network = newElectionNetwork(&r.timeline, r.random, len(r.agents), schedule.MessageDelay)
	for i := range r.agents {
		r.start(i, false)
	}
	newElectionScript(r).scheduleAll()
	r.play()
	r.leadership.endGap(r.now)
	return result
}

func (r *electionRun) makeAgents() {
	count := r.Agents
	r.changesMembers = !r.LeaderFaultOnly && r.Agents > 1 && r.random.Float64() < memberChangeRate
	if r.changesMembers {
		count += spareAgents
	}
	r.agents = make([]*electionAgent, count)
	for i := range r.agents {
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
		isOver := next.at > end && isDone
		if isOver || next.at > end+settlingTime {
			return
		}
		r.now = next.at
		next.do()
		r.leadership.observe(r.now, r.runningLeaders())
	}
}

// runningLeaders returns the agents that lead, but those that are paused.
func (r *electionRun) runningLeaders() (leaders []int) {
	for i, a := range r.agents {
		if a.isRunning(r.now) && a.isLeader(r.now) {
			leaders = append(leaders, i)
		}
	}
	return leaders
}

func (r *electionRun) end() int64 { return int64(r.Seconds) * second }

// clock returns an agent's own time.
func (r *electionRun) clock(a *electionAgent) int64 { return a.clock(r.now) }

// start starts an agent's process, also again. It has its durable state if that was persisted on a disk.
func (r *electionRun) start(i int, isFresh bool) {
	a := r.agents[i]
	a.reset()
	members := election.InitialMembers(r.Agents)
	if i >= r.Agents {
		members = election.Members{} // it has to be added first
	}
	state := a.restoredState()
	if state != nil {
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
	r.execute(i, a.replica.UpdateRollout(r.clock(a), r.controller.build, r.controller.stage, true))
	r.execute(i, a.replica.Recommend(r.clock(a), a.recommendation))
	r.scheduleTick(i, a.epoch)
}

// runAgent lets an agent act, or defers that while the agent is paused.
func (r *electionRun) runAgent(i int, act func(a *electionAgent)) {
	a := r.agents[i]
	a.run(r.now, func() { act(a) })
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

// execute carries out a replica's commands.
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

// sendMessage hands a message to the network. It does not reach a process that was started after it was sent.
func (r *electionRun) sendMessage(from int, command election.SendMessage) {
	if r.now <= r.end() {
		r.result.Messages++
	}
	epoch := r.agents[command.To].epoch
	r.network.send(from, command.To, func() {
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
				r.carryOut(i, vote.Record, castAt)
			}
		})
	})
}

// carryOut lets a written vote take effect after a delay, and answers the agent unless the answer is lost.
func (r *electionRun) carryOut(i int, record election.Record, castAt int64) {
	epoch := r.agents[i].epoch
	delay := r.random.Int63n(maxEffectDelay) + 1
	if r.random.Float64() < lateVoteRate && !r.LeaderFaultOnly {
		delay = r.random.Int63n(electionSettings.MaxVoteDelay - ms)
	}
	isAnswerLost := !r.LeaderFaultOnly && r.random.Float64() < lostAnswerRate
	stalledUntil := min(r.controller.stalledUntil, r.now+electionSettings.MaxVoteDelay-ms)
	r.schedule(max(r.now+delay, stalledUntil), func() {
		r.controller.carryOut(r.now, i, record, castAt)
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

// leaderOrAny returns the agent that leads now, or else a random one.
func (r *electionRun) leaderOrAny() int {
	for i, a := range r.agents {
		if a.isLeader(r.now) {
			return i
		}
	}
	return r.random.Intn(r.Agents)
}
