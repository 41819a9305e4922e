package simulation

// electionFault is a kind of fault.
type electionFault int

// The kinds of faults. Those below randomFaults are drawn with equal probability. Changes of members are drawn separately, and
// only in some schedules.
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
	// minFaults is the minimum number of faults in a schedule.
	minFaults = 4
	// maxExtraFaults bounds the number of faults in a schedule in addition to minFaults.
	maxExtraFaults = 7
	// minFaultSpan is the shortest time that a fault lasts.
	minFaultSpan = 50 * ms
	// maxFaultSpan bounds the time that a fault lasts in addition to minFaultSpan.
	maxFaultSpan = 5 * second
	// maxFaultDelay bounds how long a message takes during a delayMessages fault.
	maxFaultDelay = 600 * ms
	// maxLossRate bounds the fraction of the messages that is lost during a loseMessages fault.
	maxLossRate = 0.5
	// leaderFaultRate is the fraction of the faults of one agent that are aimed at the leader, if there is one. The other faults of
	// one agent hit a random agent.
	leaderFaultRate = 0.6
	// controllerStallFactor is how many times longer than other faults a stall of the rollout controller lasts.
	controllerStallFactor = 3
	// inboundRate is the fraction of the cutOneDirection faults that cut what an agent receives. The other cutOneDirection faults
	// cut what an agent sends.
	inboundRate = 0.5

	// memberFaultRate is the fraction of the faults that change the members, in schedules that change the members.
	memberFaultRate = 0.4
	// maxChangesAtATime bounds the number of member changes in one changeMembers fault.
	maxChangesAtATime = 3
)

// faultInjector draws the faults of a schedule and injects them.
type faultInjector struct{ *electionRun }

// scheduleAll draws and schedules all faults of the schedule.
func (f faultInjector) scheduleAll() {
	for range minFaults + f.random.Intn(maxExtraFaults+1) {
		f.scheduleFault()
	}
}

func (f faultInjector) scheduleFault() {
	at := f.random.Int63n(f.end() * 9 / 10)
	span := f.random.Int63n(maxFaultSpan) + minFaultSpan
	fault := electionFault(f.random.Intn(int(randomFaults)))
	if f.changesMembers && f.random.Float64() < memberFaultRate {
		fault = changeMembers
	}
	f.schedule(at, func() { f.inject(fault, span) })
}

// inject injects a fault that lasts for span. An agent that crashes is restarted after a quarter of span. A fault of one agent
// hits the leader or a random agent.
func (f faultInjector) inject(fault electionFault, span int64) {
	i := f.random.Intn(f.Agents)
	if f.random.Float64() < leaderFaultRate {
		i = f.leaderOrAny()
	}
	switch fault {
	case isolateAgent:
		f.network.partition(span, func(from, to int) bool { return from == i || to == i })
	case cutOneDirection:
		f.cutOneDirection(i, span)
	case splitInHalves:
		f.network.partition(span, func(from, to int) bool { return from%2 != to%2 })
	case loseMessages:
		f.network.loseMessages(span)
	case delayMessages:
		f.network.delayMessages(span)
	case pauseAgent:
		f.agents[i].pause(&f.timeline, span)
	case crashAgent:
		f.agents[i].crash()
		f.schedule(f.now+span/4, func() { f.start(i, true) })
	case stallController:
		f.controller.stalledUntil = max(f.controller.stalledUntil, f.now+controllerStallFactor*span)
		f.agents[i].pause(&f.timeline, span/2)
	case changeMembers:
		for range 1 + f.random.Intn(maxChangesAtATime) {
			f.changeMember()
		}
	}
}

// cutOneDirection cuts the connections to an agent, or the connections from it.
func (f faultInjector) cutOneDirection(i int, span int64) {
	isInbound := f.random.Float64() < inboundRate
	f.network.partition(span, func(from, to int) bool {
		if isInbound {
			return to == i
		}
		return from == i
	})
}

// changeMember makes the leader add a random agent to the members, or remove it if it is a member.
func (f faultInjector) changeMember() {
	i := f.leaderOrAny()
	a := f.agents[i]
	if !a.isRunning(f.now) {
		return
	}
	changed := f.random.Intn(len(f.agents))
	mask := a.replica.Status(f.clock(a)).Members.Mask ^ 1<<changed
	if mask == 0 {
		return
	}
	commands, err := a.replica.ChangeMembers(f.clock(a), mask)
	f.execute(i, commands)
	if err == nil {
		f.result.MemberChanges++
	}
}
