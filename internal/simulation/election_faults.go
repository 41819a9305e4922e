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
func (n *electionRun) scheduleEvents() {
	for i := range n.agents {
		n.schedule(n.random.Int63n(500*ms), func() { n.recommendRepeatedly(i, election.Advance) })
	}
	if n.Calm {
		n.schedule(n.end()/3, n.endLeadership)
		return
	}
	n.schedule(n.end()*2/3, func() { n.badSince = n.now })
	for range minFaults + n.random.Intn(maxExtraFaults+1) {
		n.scheduleFault()
	}
	for range n.random.Intn(maxStageChanges + 1) {
		n.schedule(n.random.Int63n(n.end()), n.nextStage)
	}
}

// recommendRepeatedly makes an agent repeat its recommendation, as its release analyzer would. In schedules with faults the
// recommendations alternate.
func (n *electionRun) recommendRepeatedly(i int, verdict election.Verdict) {
	if n.badSince > 0 {
		verdict = election.RollBack
	} else if !n.Calm && n.random.Float64() < alternatingRate {
		verdicts := []election.Verdict{election.Advance, election.RollBack, election.Hold}
		verdict = verdicts[n.random.Intn(len(verdicts))]
	}
	n.recommend(i, verdict)
	n.schedule(n.now+electionSettings.Lease/4+n.random.Int63n(200*ms), func() { n.recommendRepeatedly(i, verdict) })
}

func (n *electionRun) recommend(i int, verdict election.Verdict) {
	n.agents[i].recommendation = election.Decision{Build: n.build, Stage: n.stage, Verdict: verdict}
	n.run(i, func(a *electionAgent) {
		n.execute(i, a.replica.Recommend(n.clock(a), a.recommendation))
		if n.VoteIndependently && verdict != election.NoVote {
			n.writeVote(i, election.CastVote{Record: election.Record{Term: 1, Decision: a.recommendation}, WriteBefore: 1 << 60})
		}
	})
}

// endLeadership is the one event of a calm schedule: the build turns bad, and the leader crashes or leaves.
func (n *electionRun) endLeadership() {
	n.badSince = n.now
	if n.NoFaults {
		return
	}
	i := n.leaderOrAny()
	if n.LeaderLeaves {
		n.execute(i, n.agents[i].replica.Leave(n.clock(n.agents[i])))
		return
	}
	n.agents[i].isDown = true
	n.schedule(n.now+n.end()/4, func() { n.start(i, true) })
}

// leaderOrAny returns the agent that leads now, or else a random one.
func (n *electionRun) leaderOrAny() int {
	for i, a := range n.agents {
		if !a.isDown && a.replica.IsLeader(n.clock(a)) {
			return i
		}
	}
	return n.random.Intn(n.Agents)
}

func (n *electionRun) scheduleFault() {
	at := n.random.Int63n(n.end() * 9 / 10)
	span := n.random.Int63n(maxFaultSpan) + minFaultSpan
	fault := electionFault(n.random.Intn(int(randomFaults)))
	if n.changesMembers && n.random.Float64() < memberFaultRate {
		fault = changeMembers
	}
	n.schedule(at, func() { n.inject(fault, span) })
}

func (n *electionRun) inject(fault electionFault, span int64) {
	i := n.random.Intn(n.Agents)
	if n.random.Float64() < leaderFaultRate {
		i = n.leaderOrAny()
	}
	switch fault {
	case isolateAgent:
		n.partition(span, func(from, to int) bool { return from == i || to == i })
	case cutOneDirection:
		isInbound := n.random.Float64() < 0.5
		n.partition(span, func(from, to int) bool { return from == i && !isInbound || to == i && isInbound })
	case splitInHalves:
		n.partition(span, func(from, to int) bool { return from%2 != to%2 })
	case loseMessages:
		n.lossRate = n.random.Float64() * maxLossRate
		n.schedule(n.now+span, func() { n.lossRate = 0 })
	case delayMessages:
		n.maxDelay = 1 + n.random.Int63n(maxFaultDelay)
		n.schedule(n.now+span, func() { n.maxDelay = defaultDelay })
	case pauseAgent:
		n.pause(i, span)
	case crashAgent:
		n.agents[i].isDown = true
		n.agents[i].epoch++
		n.schedule(n.now+span/4, func() { n.start(i, true) })
	case stallController:
		n.controllerStalledUntil = n.now + span
		n.pause(i, span/2)
	case changeMembers:
		for range 1 + n.random.Intn(maxChangesAtATime) {
			n.changeMember()
		}
	}
}

// partition cuts connections for a time. The end of any partition heals all connections.
func (n *electionRun) partition(span int64, isApart func(from, to int) bool) {
	for from := range n.isCut {
		for to := range n.isCut[from] {
			if isApart(from, to) {
				n.isCut[from][to] = true
			}
		}
	}
	n.schedule(n.now+span, func() {
		for from := range n.isCut {
			clear(n.isCut[from])
		}
	})
}

// pause makes an agent stand still; what comes in meanwhile is handled at the end.
func (n *electionRun) pause(i int, span int64) {
	a := n.agents[i]
	if a.isDown {
		return
	}
	a.pausedUntil = max(a.pausedUntil, n.now+span)
	epoch := a.epoch
	n.schedule(a.pausedUntil, func() {
		if a.epoch != epoch || n.now < a.pausedUntil {
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
func (n *electionRun) changeMember() {
	i := n.leaderOrAny()
	a := n.agents[i]
	if a.isDown || n.now < a.pausedUntil {
		return
	}
	changed := n.random.Intn(len(n.agents))
	mask := a.replica.Status(n.clock(a)).Members.Mask ^ 1<<changed
	if mask == 0 {
		return
	}
	commands, err := a.replica.ChangeMembers(n.clock(a), mask)
	n.execute(i, commands)
	if err == nil {
		n.result.MemberChanges++
	}
}

// nextStage moves the rollout on; votes on the stage before are moot. Agents notice it one after the other.
func (n *electionRun) nextStage() {
	n.stage++
	n.votes = nil
	for i := range n.agents {
		n.schedule(n.now+n.random.Int63n(300*ms), func() {
			n.run(i, func(a *electionAgent) {
				n.execute(i, a.replica.UpdateRollout(n.clock(a), n.build, n.stage, true))
			})
		})
	}
}
