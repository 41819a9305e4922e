package simulation

// noAgent stands for no agent where an agent's index is expected.
const noAgent = -1

// leadershipObserver records who leads and for how long nobody does, and checks that one agent does at most.
type leadershipObserver struct {
	result       *ElectionResult
	leader       int // the last that led
	gapStartedAt int64
}

// observe takes in which agents lead now.
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
