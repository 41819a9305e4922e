package simulation

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
	// minFaults of a schedule.
	minFaults = 4
	// maxExtraFaults of a schedule beside those.
	maxExtraFaults = 7
	// minFaultSpan is the shortest time that a fault lasts.
	minFaultSpan = 50 * ms
	// maxFaultSpan is the longest time that a fault lasts beside minFaultSpan.
	maxFaultSpan = 5 * second
	// maxFaultDelay bounds how long a message takes while messages are delayed.
	maxFaultDelay = 600 * ms
	// maxLossRate of the messages are lost while messages are lost.
	maxLossRate = 0.5
	// leaderFaultRate of the faults hit the leader, if there is one.
	leaderFaultRate = 0.6
	// inboundRate of the cuts in one direction are of what an agent receives.
	inboundRate = 0.5

	// memberFaultRate of the faults change members, in schedules in which members change.
	memberFaultRate = 0.4
	// maxChangesAtATime of the members.
	maxChangesAtATime = 3
)

// faultInjector draws the faults of a schedule and lets them happen.
type faultInjector struct{ *electionRun }

// scheduleAll draws all faults of the schedule.
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

// inject lets a fault happen to a random agent or to the leader. It lasts for span.
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
		f.controller.stalledUntil = f.now + span
		f.agents[i].pause(&f.timeline, span/2)
	case changeMembers:
		for range 1 + f.random.Intn(maxChangesAtATime) {
			f.changeMember()
		}
	}
}

// cutOneDirection cuts all that an agent receives, or all that it sends.
func (f faultInjector) cutOneDirection(i int, span int64) {
	isInbound := f.random.Float64() < inboundRate
	f.network.partition(span, func(from, to int) bool {
		if isInbound {
			return to == i
		}
		return from == i
	})
}

// changeMember makes the leader add a random agent to the members, or remove it.
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
