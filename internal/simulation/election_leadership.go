package simulation

// noAgent is used in place of an agent's index when there is no agent.
const noAgent = -1

// leadershipObserver records changes of the leader and the periods without a leader, and checks that no two agents lead at the
// same time.
type leadershipObserver struct {
	result       *ElectionResult
	leader       int   // the most recent leader, or noAgent
	gapStartedAt int64 // start of the current period without a leader; 0: there is none
}

// observe records which agents lead at now.
func (o *leadershipObserver) observe(now int64, leaders []int) {
	if len(leaders) > 1 {
		o.result.addViolation("at %d us %d agents lead", now, len(leaders))
	}
	if len(leaders) == 0 {
		if o.gapStartedAt == 0 {
			o.gapStartedAt = now
		}
		return
	}
	o.endGap(now)
	leader := leaders[len(leaders)-1]
	if leader == o.leader {
		return
	}
	o.result.Leaderships++
	if o.leader != noAgent {
		o.result.LeaderChanges++
	}
	o.leader = leader
}

// endGap records the period without a leader that ends now, if there is one.
func (o *leadershipObserver) endGap(now int64) {
	if o.gapStartedAt > 0 {
		o.result.Gaps = append(o.result.Gaps, now-o.gapStartedAt)
		o.gapStartedAt = 0
	}
}
