package simulation

import (
	"fmt"
	"math/rand"
	"slices"

	"switchfork/internal/cluster/election"
)

// ElectionSchedule describes one random run of leader election under faults. Each agent has its own clock, may pause and may
// restart. The network loses, delays and duplicates messages, and may be partitioned. The rollout controller may carry votes out
// late. The votes are checked at the rollout controller, independently of the agents' own state.
type ElectionSchedule struct {
	Seed              int64
	Agents            int
	Seconds           int // simulated duration
	DisabledGuards    election.DisabledGuards
	LeaderFaultOnly   bool  // no random faults; the leader crashes when a third of Seconds has passed
	LeaderLeaves      bool  // with LeaderFaultOnly: the leader leaves as planned instead of crashing
	NoFaults          bool  // with LeaderFaultOnly: the leader neither crashes nor leaves
	VoteIndependently bool  // the baseline: every agent casts its own votes, without a leader
	MessageDelay      int64 // added to the delay of each message, varied by up to a third; in microseconds
}

// ElectionResult is the outcome of a schedule. Times are in microseconds.
type ElectionResult struct {
	Violations     []string // descriptions of violations, at most maxViolations
	Leaderships    int      // times that an agent other than the previous leader began to lead
	LeaderChanges  int      // leaderships except the first
	Gaps           []int64  // periods without a leader
	RollbackAfter  int64    // time from when the build turned bad until a vote to roll back took effect; -1: never
	Messages       int      // messages that agents sent before the end of the schedule
	EffectiveVotes int      // votes that the rollout controller carried out
	MemberChanges  int
}

// electionSettings are the settings of the replicas in all schedules.
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
	// settlingTime is how long a schedule may continue after its end for a bad build to be rolled back. A few leases and the
	// lifetime of a vote are enough.
	settlingTime = 20 * second
	// spareAgents is the number of additional agents in schedules that change the members. They are not members at the start.
	spareAgents = 2
	// ticksPerLease is how many times an agent's replica is ticked during a lease.
	ticksPerLease = 15
	// maxEffectDelay bounds the time until the rollout controller carries out a vote, without faults.
	maxEffectDelay = 40 * ms
	// maxViolations bounds the number of violations that are recorded for a schedule.
	maxViolations = 5

	// memberChangeRate is the share of schedules that change the members, among the schedules with random faults.
	memberChangeRate = 0.3
	// diskRate is the fraction of the agents that have a disk, in schedules that don't change the members.
	diskRate = 0.5
	// lateVoteRate is the fraction of the votes that are carried out late.
	lateVoteRate = 0.2
	// lostAnswerRate is the fraction of the votes whose answer is lost.
	lostAnswerRate = 0.1
)

// addViolation records a violation, up to maxViolations.
func (r *ElectionResult) addViolation(format string, arguments ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, arguments...))
	}
}

// electionRun is the state of a schedule while it runs. It connects the agents with the network and the rollout controller.
type electionRun struct {
	ElectionSchedule
	timeline
	result *ElectionResult
	random *rand.Rand
	// probeRandom draws the delays of probes, so that a schedule's other draws do not depend on how often replicas probe.
	probeRandom *rand.Rand

	agents         []*electionAgent
	changesMembers bool // if set, each agent has a disk, because an agent without a disk would forget the members
	network        *electionNetwork
	controller     *rolloutController
	leadership     *leadershipObserver
}

// PlayElection runs a schedule.
func PlayElection(schedule ElectionSchedule) *ElectionResult {
	result := &ElectionResult{RollbackAfter: -1}
	r := &electionRun{
		ElectionSchedule: schedule,
		result:           result,
		random:           rand.New(rand.NewSource(schedule.Seed)),
		probeRandom:      rand.New(rand.NewSource(^schedule.Seed)),
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

// play runs all events up to the end of the schedule. If a bad build has not been rolled back by then, play continues for up to
// settlingTime.
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

// runningLeaders returns the agents that are running and lead. A paused agent is not included.
func (r *electionRun) runningLeaders() (leaders []int) {
	for i, a := range r.agents {
		if a.isRunning(r.now) && a.isLeader(r.now) {
			leaders = append(leaders, i)
		}
	}
	return leaders
}

func (r *electionRun) end() int64 { return int64(r.Seconds) * second }

// clock returns the current time by an agent's clock.
func (r *electionRun) clock(a *electionAgent) int64 { return a.clock(r.now) }

// start starts or restarts an agent's process, with the durable state that is on the agent's disk. If there is no durable state,
// isFresh is passed on to the replica.
func (r *electionRun) start(i int, isFresh bool) {
	a := r.agents[i]
	a.reset()
	members := election.InitialMembers(r.Agents)
	if i >= r.Agents {
		members = election.Members{} // a spare agent is not a member until it is added
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
		FirstRound:     uint64(r.now / ms),
		Now:            r.clock(a),
		Seed:           seed,
	})
	r.execute(i, a.replica.UpdateRollout(r.clock(a), r.controller.build, r.controller.stage, true))
	r.execute(i, a.replica.Recommend(r.clock(a), a.recommendation))
	r.scheduleTick(i, a.epoch)
}

// runAgent calls act for an agent. While the agent is paused the call is deferred, and while it is down the call is dropped.
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

// execute carries out the commands of a replica.
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
		case election.ProbeController:
			r.probeController(i)
		}
	}
}

// sendMessage sends a message over the network. A process that is started after the message was sent does not receive it.
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

// writeVote sends a vote to the rollout controller. The process may be paused just before it writes the vote, so the time is
// checked at the moment of writing.
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

// carryOut makes a written vote take effect after a delay, and answers the agent unless the answer is lost.
func (r *electionRun) carryOut(i int, record election.Record, castAt int64) {
	epoch := r.agents[i].epoch
	delay := r.random.Int63n(maxEffectDelay) + 1
	if r.random.Float64() < lateVoteRate && !r.LeaderFaultOnly {
		delay = r.random.Int63n(electionSettings.MaxVoteDelay - ms)
	}
	isAnswerLost := !r.LeaderFaultOnly && r.random.Float64() < lostAnswerRate
	vote := &writtenVote{writtenAt: r.now, carryOut: func() {
		r.controller.carryOut(r.now, i, record, castAt)
		if isAnswerLost {
			return
		}
		r.runAgent(i, func(a *electionAgent) {
			if a.epoch == epoch {
				r.execute(i, a.replica.ResolveVote(r.clock(a), record))
			}
		})
	}}
	r.controller.write(&r.timeline, vote, r.now+delay)
}

// probeController has the rollout controller answer a call that changes nothing, once it is not stalled, unless the answer is lost.
func (r *electionRun) probeController(i int) {
	epoch, begunAt, begunByClock := r.agents[i].epoch, r.now, r.clock(r.agents[i])
	var answer func()
	answer = func() {
		if r.now < r.controller.stalledUntil {
			r.schedule(r.controller.stalledUntil, answer)
			return
		}
		r.controller.answerCall(r.now, begunAt)
		if !r.LeaderFaultOnly && r.probeRandom.Float64() < lostAnswerRate {
			return
		}
		r.schedule(r.now+r.probeRandom.Int63n(defaultDelay)+1, func() {
			r.runAgent(i, func(a *electionAgent) {
				if a.epoch == epoch {
					r.execute(i, a.replica.ControllerAnswered(r.clock(a), begunByClock))
				}
			})
		})
	}
	r.schedule(r.now+r.probeRandom.Int63n(defaultDelay)+1, answer)
}

// leaderOrAny returns an agent that leads, even if it is paused, or a random agent if none leads.
func (r *electionRun) leaderOrAny() int {
	for i, a := range r.agents {
		if a.isLeader(r.now) {
			return i
		}
	}
	return r.random.Intn(r.Agents)
}
