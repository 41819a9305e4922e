package simulation

import "switchfork/internal/cluster/election"

// electionFault is a kind of fault.
type electionFault int

// The kinds of faults. Those below randomFaults are drawn alike; changes of members are drawn apart, in some schedules only.
const (
	isolateAgent electionFault = iota
	cutOneDirection
	splitInHalves
	loseMessages
	delayMessages
	pauseAgent
	crashAgent
	stallController
	randomFaults
	changeMembers = randomFaults
)

const (
	minFaults       = 4
	maxExtraFaults  = 7
	minFaultSpan    = 50 * ms
	maxFaultSpan    = 5 * second
	maxFaultDelay   = 600 * ms
	maxLossRate     = 0.5
	leaderFaultRate = 0.6 // of the faults hit the leader, if there is one

	memberFaultRate   = 0.4 // of the faults, in schedules in which members change
	maxChangesAtATime = 3
	maxStageChanges   = 2

	alternatingRate = 0.15 // of the recommendations, while the build is good
)

// scheduleEvents draws what happens in the schedule.
func (r *electionRun) scheduleEvents() {
	for i := range r.agents {
		r.schedule(r.random.Int63n(500*ms), func() { r.recommendRepeatedly(i, election.Advance) })
	}
	if r.LeaderFaultOnly {
		r.schedule(r.end()/3, r.endLeadership)
		return
	}
	r.schedule(r.end()*2/3, func() { r.badSince = r.now })
	for range minFaults + r.random.Intn(maxExtraFaults+1) {
		r.scheduleFault()
	}
	for range r.random.Intn(maxStageChanges + 1) {
		r.schedule(r.random.Int63n(r.end()), r.nextStage)
	}
}

// recommendRepeatedly makes an agent repeat its recommendation, as its release analyzer would. In schedules with faults the
// recommendations alternate.
func (r *electionRun) recommendRepeatedly(i int, verdict election.Verdict) {
	if r.badSince > 0 {
		verdict = election.Rollback
	} else if !r.LeaderFaultOnly && r.random.Float64() < alternatingRate {
		verdicts := []election.Verdict{election.Advance, election.Rollback, election.Hold}
		verdict = verdicts[r.random.Intn(len(verdicts))]
	}
	r.recommend(i, verdict)
	r.schedule(r.now+electionSettings.Lease/4+r.random.Int63n(200*ms), func() { r.recommendRepeatedly(i, verdict) })
}

func (r *electionRun) recommend(i int, verdict election.Verdict) {
	r.agents[i].recommendation = election.Decision{Build: r.build, Stage: r.stage, Verdict: verdict}
	r.runAgent(i, func(a *electionAgent) {
		r.execute(i, a.replica.Recommend(r.clock(a), a.recommendation))
		if r.VoteIndependently && verdict != election.NoVote {
			r.writeVote(i, election.CastVote{Record: election.Record{Term: 1, Decision: a.recommendation}, WriteBefore: 1 << 60})
		}
	})
}

// endLeadership is the one event of a schedule with LeaderFaultOnly: the build turns bad, and the leader crashes or leaves.
func (r *electionRun) endLeadership() {
	r.badSince = r.now
	if r.NoFaults {
		return
	}
	i := r.leaderOrAny()
	if r.LeaderLeaves {
		r.execute(i, r.agents[i].replica.Leave(r.clock(r.agents[i])))
		return
	}
	r.agents[i].isDown = true
	r.schedule(r.now+r.end()/4, func() { r.start(i, true) })
}

// leaderOrAny returns the agent that leads now, or else a random one.
func (r *electionRun) leaderOrAny() int {
	for i, a := range r.agents {
		if !a.isDown && a.replica.IsLeader(r.clock(a)) {
			return i
		}
	}
	return r.random.Intn(r.Agents)
}

func (r *electionRun) scheduleFault() {
	at := r.random.Int63n(r.end() * 9 / 10)
	span := r.random.Int63n(maxFaultSpan) + minFaultSpan
	fault := electionFault(r.random.Intn(int(randomFaults)))
	if r.changesMembers && r.random.Float64() < memberFaultRate {
		fault = changeMembers
	}
	r.schedule(at, func() { r.inject(fault, span) })
}

func (r *electionRun) inject(fault electionFault, span int64) {
	i := r.random.Intn(r.Agents)
	if r.random.Float64() < leaderFaultRate {
		i = r.leaderOrAny()
	}
	switch fault {
	case isolateAgent:
		r.partition(span, func(from, to int) bool { return from == i || to == i })
	case cutOneDirection:
		isInbound := r.random.Float64() < 0.5
		r.partition(span, func(from, to int) bool { return from == i && !isInbound || to == i && isInbound })
	case splitInHalves:
		r.partition(span, func(from, to int) bool { return from%2 != to%2 })
	case loseMessages:
		r.lossRate = r.random.Float64() * maxLossRate
		r.schedule(r.now+span, func() { r.lossRate = 0 })
	case delayMessages:
		r.maxDelay = 1 + r.random.Int63n(maxFaultDelay)
		r.schedule(r.now+span, func() { r.maxDelay = defaultDelay })
	case pauseAgent:
		r.pause(i, span)
	case crashAgent:
		r.agents[i].isDown = true
		r.agents[i].epoch++
		r.schedule(r.now+span/4, func() { r.start(i, true) })
	case stallController:
		r.controllerStalledUntil = r.now + span
		r.pause(i, span/2)
	case changeMembers:
		for range 1 + r.random.Intn(maxChangesAtATime) {
			r.changeMember()
		}
	}
}

// partition cuts connections for a time. The end of any partition heals all connections.
func (r *electionRun) partition(span int64, isApart func(from, to int) bool) {
	for from := range r.isCut {
		for to := range r.isCut[from] {
			if isApart(from, to) {
				r.isCut[from][to] = true
			}
		}
	}
	r.schedule(r.now+span, func() {
		for from := range r.isCut {
			clear(r.isCut[from])
		}
	})
}

// pause makes an agent stand still; what comes in meanwhile is handled at the end.
func (r *electionRun) pause(i int, span int64) {
	a := r.agents[i]
	if a.isDown {
		return
	}
	a.pausedUntil = max(a.pausedUntil, r.now+span)
	epoch := a.epoch
	r.schedule(a.pausedUntil, func() {
		if a.epoch != epoch || r.now < a.pausedUntil {
			return
		}
		deferred := a.deferred
		a.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

// changeMember makes the leader let a random agent in, or out.
func (r *electionRun) changeMember() {
	i := r.leaderOrAny()
	a := r.agents[i]
	if a.isDown || r.now < a.pausedUntil {
		return
	}
	changed := r.random.Intn(len(r.agents))
	mask := a.replica.Status(r.clock(a)).Members.Mask ^ 1<<changed
	if mask == 0 {
		return
	}
	commands, err := a.replica.ChangeMembers(r.clock(a), mask)
	r.execute(i, commands)
	if err == nil {
		r.result.MemberChanges++
	}
}

// nextStage moves the rollout on; votes on the stage before are moot. Agents notice it one after the other.
func (r *electionRun) nextStage() {
	r.stage++
	r.votes = nil
	for i := range r.agents {
		r.schedule(r.now+r.random.Int63n(300*ms), func() {
			r.runAgent(i, func(a *electionAgent) {
				r.execute(i, a.replica.UpdateRollout(r.clock(a), r.build, r.stage, true))
			})
		})
	}
}
